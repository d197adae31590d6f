#include "simulation.hpp"

#include "cuminpitch/core/hash.hpp"
#include "cuminpitch/wire/consensus_codec.hpp"

#include <algorithm>

namespace cuminpitch::consensus {
namespace {

constexpr std::uint16_t first_port = 9000;
constexpr absl::Duration step = absl::Milliseconds(5);
constexpr std::size_t snapshot_padding_bytes = 600;

core::endpoint endpoint_of(std::size_t number)
{
    return {"127.0.0.1", static_cast<std::uint16_t>(first_port + number)};
}

std::string text_of(const entry& it)
{
    std::string out =
        std::to_string(it.index.value()) + "/" + std::to_string(it.term.value());
    if (const auto* c = std::get_if<command>(&it.payload)) {
        return out + "/" + c->bytes;
    }
    return out + (std::holds_alternative<member_set>(it.payload) ? "/members" : "/none");
}

} // namespace

simulation::simulation(
    std::uint64_t seed, std::size_t voters, replica_options options, std::size_t extra)
    : random(seed), options_(options)
{
    member_set members;
    nodes_.resize(voters + extra);
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        nodes_[i].number = i;
        replace_disk(nodes_[i]);
        if (i < voters) {
            members.put(as_member(nodes_[i]));
        }
    }
    if (!form_group(*nodes_[0].storage, members)) {
        violations.emplace_back("form_group() failed");
    }
    for (auto& it : nodes_) {
        start(it);
    }
}

simulation::node* simulation::leader()
{
    node* best = nullptr;
    for (auto& it : nodes_) {
        if (it.replica && !it.frozen && it.replica->role() == role::leader &&
            (best == nullptr || it.replica->term() > best->replica->term())) {
            best = &it;
        }
    }
    return best;
}

void simulation::start(node& target)
{
    target.applied = target.last_commit = core::log_index();
    target.state_hash = 0;
    target.frozen = false;
    target.crash_after_actions = -1;
    target.replica = replica::make(
        options_,
        target.id,
        target.storage->load().value(),
        core::random_source(random()),
        now);
    if (!target.replica) {
        violations.emplace_back("stored state is inconsistent");
        return;
    }
    execute_actions(target);
}

void simulation::crash(node& target)
{
    const std::size_t unsynced = target.storage->unsynced_writes();
    std::uniform_int_distribution<std::size_t> surviving(0, unsynced);
    const std::size_t kept = surviving(random);
    lost_writes += unsynced - kept;
    target.storage->crash(kept);
    target.replica.reset();
}

void simulation::replace_disk(node& target)
{
    target.replica.reset();
    target.storage = std::make_unique<memory_storage>();
    target.id = member_id("m" + std::to_string(++identity_count_));
}

member simulation::as_member(const node& target) const
{
    return {
        target.id,
        core::instance_id("control-" + std::to_string(target.number)),
        endpoint_of(target.number),
        member_role::voter};
}

void simulation::isolate(std::size_t number, bool incoming, bool outgoing)
{
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        if (incoming) {
            cut(i, number);
        }
        if (outgoing) {
            cut(number, i);
        }
    }
}

bool simulation::chance(double probability)
{
    return std::bernoulli_distribution(probability)(random);
}

void simulation::execute_actions(node& target)
{
    for (const auto& to_execute : target.replica->take_actions()) {
        if (target.crash_after_actions == 0) {
            crash(target);
            return;
        }
        if (target.crash_after_actions > 0) {
            --target.crash_after_actions;
        }
        execute(target, to_execute);
    }
    check_commit_index(target);
    if (snapshot_every > 0 &&
        target.applied.value() >=
            target.replica->snapshot_index().value() + snapshot_every) {
        std::string bytes = std::to_string(target.state_hash);
        bytes.resize(snapshot_padding_bytes, ' ');
        if (!target.replica->take_snapshot(target.applied, bytes)) {
            violations.emplace_back("take_snapshot() failed");
        }
    }
}

void simulation::execute(node& target, const action& to_execute)
{
    if (!consensus::execute(*target.storage, to_execute)) {
        violations.emplace_back("storage failed");
    }
    if (const auto* sent = std::get_if<send_message>(&to_execute)) {
        transmit(target, *sent);
    } else if (const auto* applied = std::get_if<apply_entry>(&to_execute)) {
        apply(target, applied->entry);
    } else if (const auto* restored = std::get_if<restore_snapshot>(&to_execute)) {
        restore(target, restored->snapshot);
    } else if (const auto* role = std::get_if<role_changed>(&to_execute)) {
        if (role->role == role::leader) {
            terms_with_leader.insert(role->term.value());
            if (leaders_.try_emplace(role->term, target.id).first->second != target.id) {
                violations.push_back(
                    "two leaders in term " + std::to_string(role->term.value()));
            }
        }
    }
}

void simulation::transmit(const node& from, const send_message& sent)
{
    const auto to = static_cast<std::size_t>(sent.to.port - first_port);
    const auto decoded = wire::decode_envelope(wire::encode(sent.message));
    if (!decoded || decoded.value() != sent.message) {
        violations.emplace_back("decoded message differs from the sent one");
    }
    const int copies = 1 + static_cast<int>(chance(faults.duplication));
    for (int i = 0; i < copies; ++i) {
        if (cut_links_.contains({from.number, to}) || chance(faults.loss)) {
            continue;
        }
        std::uniform_int_distribution<std::int64_t> delay_us(
            1, absl::ToInt64Microseconds(faults.max_delay));
        network_.emplace(
            now + absl::Microseconds(delay_us(random)),
            message_in_transit{from.number, to, sent.message});
    }
}

void simulation::apply(node& target, const entry& applied)
{
    if (applied.index != target.applied.next()) {
        violations.push_back("entry " + text_of(applied) + " applied out of order");
    }
    target.applied = applied.index;
    target.state_hash = core::hash64(text_of(applied), target.state_hash);
    highest_applied = std::max(highest_applied, applied.index);
    if (state_hashes_.try_emplace(applied.index, target.state_hash).first->second !=
        target.state_hash) {
        violations.push_back(
            "committed entry " + text_of(applied) + " differs between nodes");
    }
}

void simulation::restore(node& target, const snapshot& restored)
{
    if (restored.info.index < target.applied) {
        violations.emplace_back("restored snapshot is older than the applied state");
    }
    target.state_hash = restored.bytes->empty() ? 0 : std::stoull(*restored.bytes);
    target.applied = restored.info.index;
    ++target.snapshots_restored;
    highest_applied = std::max(highest_applied, target.applied);
    const auto known = state_hashes_.find(target.applied);
    if (known != state_hashes_.end() && known->second != target.state_hash) {
        violations.emplace_back("restored state differs from the applied state");
    }
}

void simulation::check_commit_index(node& target)
{
    if (target.replica->commit_index() < target.last_commit) {
        violations.emplace_back("commit index decreased");
    }
    target.last_commit = target.replica->commit_index();
}

void simulation::deliver()
{
    std::vector<message_in_transit> due;
    const auto end = network_.upper_bound(now);
    for (auto it = network_.begin(); it != end; ++it) {
        due.push_back(std::move(it->second));
    }
    network_.erase(network_.begin(), end);
    for (auto& it : due) {
        node& to = nodes_.at(it.to);
        if (to.frozen) {
            network_.emplace(now + step, std::move(it)); // Stays in its socket.
        } else if (to.replica) {
            to.replica->receive(now, endpoint_of(it.from), it.message);
            execute_actions(to);
        }
    }
}

void simulation::run(absl::Duration time, const std::function<void()>& each_step)
{
    const absl::Time end = now + time;
    while (now < end) {
        now += step;
        deliver();
        for (auto& it : nodes_) {
            if (it.replica && !it.frozen && now >= it.replica->next_deadline()) {
                it.replica->tick(now);
                execute_actions(it);
            }
        }
        if (each_step) {
            each_step();
        }
    }
}

bool simulation::run_until(const std::function<bool()>& condition, absl::Duration limit)
{
    const absl::Time end = now + limit;
    while (!condition()) {
        if (now >= end) {
            return false;
        }
        run(step);
    }
    return true;
}

bool simulation::propose()
{
    node* it = leader();
    if (it == nullptr ||
        !it->replica->propose(now, "c" + std::to_string(++proposal_count_))) {
        return false;
    }
    execute_actions(*it);
    return true;
}

bool simulation::change(const member_change& requested)
{
    node* it = leader();
    if (it == nullptr || !it->replica->change_members(now, requested)) {
        return false;
    }
    execute_actions(*it);
    return true;
}

bool simulation::add_voter(node& target, absl::Duration limit)
{
    const auto has = [&](bool voter) {
        const node* from = leader();
        const member* found = from ? from->replica->members().find(target.id) : nullptr;
        return found && (!voter || found->role == member_role::voter);
    };
    const auto promoted = [&] {
        if (!has(false)) {
            change(add_learner{as_member(target)});
        } else if (!has(true)) {
            change(promote_learner{target.id});
        }
        return has(true) && target.replica &&
               target.replica->members().is_voter(target.id);
    };
    return run_until(promoted, limit);
}

bool simulation::commits(absl::Duration limit)
{
    const core::log_index before = highest_applied;
    const auto reached = [&] {
        propose();
        return std::all_of(nodes_.begin(), nodes_.end(), [&](const node& it) {
            const bool member = leader() && leader()->replica->members().find(it.id);
            return !it.replica || it.frozen || it.applied > before ||
                   (leader() && !member);
        });
    };
    return run_until(reached, limit);
}

} // namespace cuminpitch::consensus
