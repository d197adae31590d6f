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
        breaches.emplace_back("form_group() failed");
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

void simulation::start(node& it)
{
    it.applied = it.seen_commit = core::log_index();
    it.state = 0;
    it.frozen = false;
    it.crash_after_actions = -1;
    it.replica = replica::make(
        options_, it.id, it.storage->load().value(), core::random_source(random()), now);
    if (!it.replica) {
        breaches.emplace_back("stored state is inconsistent");
        return;
    }
    pump(it);
}

void simulation::crash(node& it)
{
    const std::size_t unsynced = it.storage->unsynced_writes();
    std::uniform_int_distribution<std::size_t> surviving(0, unsynced);
    const std::size_t kept = surviving(random);
    lost_writes += unsynced - kept;
    it.storage->crash(kept);
    it.replica.reset();
}

void simulation::replace_disk(node& it)
{
    it.replica.reset();
    it.storage = std::make_unique<memory_storage>();
    it.id = member_id("m" + std::to_string(++identities_));
}

member simulation::as_member(const node& it) const
{
    return {
        it.id,
        core::instance_id("control-" + std::to_string(it.number)),
        endpoint_of(it.number),
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

void simulation::pump(node& it)
{
    for (const auto& what : it.replica->take_actions()) {
        if (it.crash_after_actions == 0) {
            crash(it);
            return;
        }
        if (it.crash_after_actions > 0) {
            --it.crash_after_actions;
        }
        execute(it, what);
    }
    check(it);
    if (snapshot_every > 0 &&
        it.applied.value() >= it.replica->snapshot_index().value() + snapshot_every) {
        std::string bytes = std::to_string(it.state);
        bytes.resize(snapshot_padding_bytes, ' ');
        if (!it.replica->take_snapshot(it.applied, bytes)) {
            breaches.emplace_back("take_snapshot() failed");
        }
    }
}

void simulation::execute(node& it, const action& what)
{
    if (!consensus::execute(*it.storage, what)) {
        breaches.emplace_back("storage failed");
    }
    if (const auto* sent = std::get_if<send_message>(&what)) {
        transmit(it, *sent);
    } else if (const auto* applied = std::get_if<apply_entry>(&what)) {
        apply(it, applied->entry);
    } else if (const auto* restored = std::get_if<restore_snapshot>(&what)) {
        restore(it, restored->snapshot);
    } else if (const auto* role = std::get_if<role_changed>(&what)) {
        if (role->role == role::leader) {
            terms_with_leader.insert(role->term.value());
            if (leaders_.try_emplace(role->term, it.id).first->second != it.id) {
                breaches.push_back(
                    "two leaders in term " + std::to_string(role->term.value()));
            }
        }
    }
}

void simulation::transmit(const node& from, const send_message& it)
{
    const auto to = static_cast<std::size_t>(it.to.port - first_port);
    const auto decoded = wire::decode_envelope(wire::encode(it.message));
    if (!decoded || decoded.value() != it.message) {
        breaches.emplace_back("decoded message differs from the sent one");
    }
    const int copies = 1 + static_cast<int>(chance(faults.duplication));
    for (int i = 0; i < copies; ++i) {
        if (cuts_.contains({from.number, to}) || chance(faults.loss)) {
            continue;
        }
        std::uniform_int_distribution<std::int64_t> delay_us(
            1, absl::ToInt64Microseconds(faults.max_delay));
        network_.emplace(
            now + absl::Microseconds(delay_us(random)),
            transit{from.number, to, it.message});
    }
}

void simulation::apply(node& it, const entry& what)
{
    if (what.index != it.applied.next()) {
        breaches.push_back("entry " + text_of(what) + " applied out of order");
    }
    it.applied = what.index;
    it.state = core::hash64(text_of(what), it.state);
    highest_applied = std::max(highest_applied, what.index);
    if (history_.try_emplace(what.index, it.state).first->second != it.state) {
        breaches.push_back("committed entry " + text_of(what) + " differs between nodes");
    }
}

void simulation::restore(node& it, const snapshot& what)
{
    if (what.info.index < it.applied) {
        breaches.emplace_back("restored snapshot is older than the applied state");
    }
    it.state = what.bytes->empty() ? 0 : std::stoull(*what.bytes);
    it.applied = what.info.index;
    ++it.snapshots_restored;
    highest_applied = std::max(highest_applied, it.applied);
    const auto known = history_.find(it.applied);
    if (known != history_.end() && known->second != it.state) {
        breaches.emplace_back("restored state differs from the applied state");
    }
}

void simulation::check(node& it)
{
    if (it.replica->commit_index() < it.seen_commit) {
        breaches.emplace_back("commit index decreased");
    }
    it.seen_commit = it.replica->commit_index();
}

void simulation::deliver()
{
    std::vector<transit> due;
    const auto end = network_.upper_bound(now);
    for (auto it = network_.begin(); it != end; ++it) {
        due.push_back(std::move(it->second));
    }
    network_.erase(network_.begin(), end);
    for (auto& it : due) {
        node& to = nodes_.at(it.to);
        if (to.frozen) {
            network_.emplace(now + step, std::move(it)); // Stays in the socket.
        } else if (to.replica) {
            to.replica->receive(now, endpoint_of(it.from), it.message);
            pump(to);
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
                pump(it);
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
    if (it == nullptr || !it->replica->propose(now, "c" + std::to_string(++proposals_))) {
        return false;
    }
    pump(*it);
    return true;
}

bool simulation::change(const member_change& what)
{
    node* it = leader();
    if (it == nullptr || !it->replica->change_members(now, what)) {
        return false;
    }
    pump(*it);
    return true;
}

bool simulation::repair(node& it, absl::Duration limit)
{
    const auto has = [&](bool voter) {
        const node* from = leader();
        const member* found = from ? from->replica->members().find(it.id) : nullptr;
        return found && (!voter || found->role == member_role::voter);
    };
    const auto promoted = [&] {
        if (!has(false)) {
            change(add_learner{as_member(it)});
        } else if (!has(true)) {
            change(promote_learner{it.id});
        }
        return has(true) && it.replica && it.replica->members().is_voter(it.id);
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
