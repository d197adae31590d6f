#include "group_simulation.hpp"

#include "cuminpitch/wire/control_codec.hpp"

#include "cuminpitch/control/bootstrap.hpp"

#include <algorithm>
#include <random>

namespace cuminpitch::control {
namespace {

constexpr absl::Duration step_length = absl::Milliseconds(5);
constexpr absl::Duration delay = absl::Milliseconds(1);
constexpr absl::Duration entry_tick_interval = absl::Milliseconds(20);
constexpr std::size_t kib = 1024;

core::endpoint endpoint_of(std::size_t i, std::uint16_t port)
{
    return {"10.0.0." + std::to_string(i + 1), port};
}

} // namespace

group_simulation::group_simulation(
    std::size_t instances,
    std::size_t seed_count,
    std::uint64_t seed,
    std::size_t declared_losses)
    : seed_count_(seed_count), declared_losses_(declared_losses), seed_(seed),
      clocks_(seed)
{
    for (std::size_t i = 0; i < seed_count; ++i) {
        seeds_.push_back(endpoint_of(i, 1));
    }
    for (std::size_t i = 0; i < instances; ++i) {
        add();
        if (i < seed_count) {
            at(i).running.reset();
            at(i).identity = seed_identity(at(i).internal);
            const auto formed =
                consensus::form_group(*at(i).storage, initial_voters(seeds_));
            EXPECT_TRUE(formed.has_value());
            start(i);
        }
    }
}

node_options group_simulation::options(std::size_t i) const
{
    node_options it;
    it.id = core::instance_id("core-" + std::to_string(i));
    it.identity = instances_[i]->identity;
    it.start = core::start_id(instances_[i]->starts);
    it.internal = endpoint_of(i, 1);
    it.http = endpoint_of(i, 2);
    it.failure_domain = core::failure_domain_id("d" + std::to_string(i % domains));
    admit_members(it);
    it.peers = seeds_;
    std::erase(it.peers, it.internal);
    it.memory = memory_;
    it.replica.kept_bytes = memory_.kept_log;
    it.declared_losses = declared_losses_;
    return it;
}

std::size_t group_simulation::add()
{
    const std::size_t i = instances_.size();
    if (i >= seed_count_) {
        seeds_.clear();
        for (std::size_t n = 0; n < i && seeds_.size() < seed_count_; ++n) {
            if (at(n).running) {
                seeds_.push_back(at(n).internal);
            }
        }
    }
    instances_.push_back(std::make_unique<instance>());
    at(i).internal = endpoint_of(i, 1);
    wipe(i);
    start(i);
    return i;
}

void group_simulation::wipe(std::size_t i)
{
    at(i).storage = std::make_unique<consensus::memory_storage>();
    at(i).identity = consensus::member_id("disk-" + std::to_string(++last_identity_));
}

void group_simulation::lose_power(std::size_t i, std::size_t surviving)
{
    constexpr std::int64_t longest_uptime_s = 100'000;
    stop(i);
    at(i).storage->crash(surviving);
    at(i).clock = absl::Seconds(
        std::uniform_int_distribution<std::int64_t>(0, longest_uptime_s)(clocks_));
}

void group_simulation::lose_all_power_at(std::size_t write, bool takes_effect)
{
    writes_until_loss_ = write;
    last_write_takes_effect_ = takes_effect;
}

bool group_simulation::make_durable(absl::FunctionRef<core::result<void>()> write)
{
    const bool is_last = writes_until_loss_ == 1;
    writes_until_loss_ -= writes_until_loss_ > 0 ? 1 : 0;
    if (!is_last || last_write_takes_effect_) {
        EXPECT_TRUE(write().has_value());
    }
    return !is_last;
}

void group_simulation::lose_all_power()
{
    for (std::size_t i = 0; i < size(); ++i) {
        lose_power(i);
    }
    network_.clear();
}

void group_simulation::start(std::size_t i)
{
    auto& it = at(i);
    has_power_ = true;
    it.inbox.clear();
    it.busy_until = absl::InfinitePast();
    ++it.starts;
    it.running = node::make(
        options(i),
        it.storage->load().value(),
        [&it](const settings_tree& settings, const compile_base* base) {
            ++it.changes_applied;
            return compile_sample(settings, base);
        },
        core::random_source(i + seed_),
        metrics_,
        time_at(i));
    ASSERT_NE(it.running, nullptr);
}

void group_simulation::add_entries(std::size_t count)
{
    for (std::size_t n = 0; n < count; ++n) {
        const std::size_t i = entries_.size();
        auto& it = entries_.emplace_back();
        const std::string host =
            "10.9." + std::to_string(i / 250) + "." + std::to_string(i % 250 + 1);
        it.options.self = {
            core::instance_id("entry-" + std::to_string(i)),
            {host, 80},
            {host, 1},
            core::failure_domain_id("d" + std::to_string(i % domains))};
        it.options.start_sync_interval = absl::Milliseconds(250);
        it.options.start_window = absl::Milliseconds(2500);
        it.options.stale_state_limit = absl::Milliseconds(700);
        it.options.sync_timeout = absl::Milliseconds(400);
        entry_numbers_[it.options.self.internal] = i;
    }
    for (std::size_t i = entries_.size() - count; i < entries_.size(); ++i) {
        start_entry(i);
    }
}

void group_simulation::start_entry(std::size_t i)
{
    auto& it = entries_[i];
    ++it.options.incarnation;
    // The settings name instances that exist when the process starts.
    it.options.control = seeds_;
    it.link = std::make_unique<entry::control_link>(it.options, compile_sample);
}

std::size_t group_simulation::entries_at(std::uint64_t document) const
{
    return static_cast<std::size_t>(
        std::count_if(entries_.begin(), entries_.end(), [&](const auto& it) {
            return it.link && it.link->replica().view()->document_number == document;
        }));
}

void group_simulation::cut_from_entry(std::size_t i, std::size_t entry)
{
    cut_entries_.insert({i, entry});
}

void group_simulation::cut_link(std::size_t a, std::size_t b)
{
    cut_links_.insert({a, b});
    cut_links_.insert({b, a});
}

std::optional<std::size_t> group_simulation::find(const core::endpoint& internal) const
{
    for (std::size_t i = 0; i < instances_.size(); ++i) {
        if (instances_[i]->internal == internal) {
            return i;
        }
    }
    return std::nullopt;
}

void group_simulation::record_for_entry(std::size_t i, const action::send_frame& it)
{
    at(i).bytes_sent[it.to] += net::compress_payload(it.message).payload.size();
    const auto decoded =
        wire::decode_control_message(net::decompress_payload(it.message).value().payload);
    if (decoded) {
        if (const auto* response = std::get_if<sync_response>(&decoded.value())) {
            // A change pushed after the answer has neither list; the lists are kept.
            auto& known = at(i).responses[it.to];
            auto control = std::move(known.control);
            auto named = std::move(known.named);
            known = *response;
            known.control = known.control.empty() ? std::move(control) : known.control;
            known.named = known.named.empty() ? std::move(named) : known.named;
        }
    }
}

std::optional<sync_response>
group_simulation::report(std::size_t i, const sync_request& it, absl::Duration time)
{
    at(i).responses.erase(it.entry.internal);
    at(i).running->handle(
        time_at(i),
        event::frame_received{
            {it.entry.id, it.entry.internal},
            net::frame{net::channel::control, wire::encode(control::message(it))}});
    run_for(time);
    const auto found = at(i).responses.find(it.entry.internal);
    return found == at(i).responses.end() ? std::nullopt : std::optional(found->second);
}

void group_simulation::step(std::size_t i)
{
    auto& it = at(i);
    if (now_ < it.busy_until) {
        return;
    }
    absl::Duration busy;
    const auto applied_before = it.changes_applied;
    for (auto& [from, frame] : std::exchange(it.inbox, {})) {
        busy += entry_numbers_.contains(from) ? cost_.per_report : absl::ZeroDuration();
        it.running->handle(
            time_at(i),
            event::frame_received{
                {core::instance_id(from.str()), from}, std::move(frame)});
    }
    it.running->handle(time_at(i), event::tick{});
    auto actions = it.running->take_actions();
    busy += cost_.per_change * static_cast<double>(it.changes_applied - applied_before);
    busy += execute(i, std::move(actions));
    it.busy_until = now_ + busy;
}

absl::Duration group_simulation::execute(std::size_t i, std::vector<node_action> actions)
{
    auto& it = at(i);
    absl::Duration busy;
    std::set<std::string> encoded;
    std::vector<message> sent_frames;
    for (auto& action : actions) {
        if (auto* answered = std::get_if<action::answer_call>(&action)) {
            it.answers[answered->id] = std::move(answered->answer);
        } else if (auto* sent = std::get_if<action::send_frame>(&action)) {
            const auto to = find(sent->to);
            if (!to) {
                record_for_entry(i, *sent);
            }
            if (sent->message.payload.size() > kib &&
                encoded.insert(sent->message.payload).second) {
                const auto raw = net::decompress_payload(sent->message).value();
                busy +=
                    cost_.per_encoded_kib * static_cast<double>(raw.payload.size()) / kib;
            }
            if (!to || !cut_links_.contains({i, *to})) {
                sent_frames.push_back({it.internal, sent->to, std::move(sent->message)});
            }
        } else if (auto* state = std::get_if<consensus::write_hard_state>(&action)) {
            EXPECT_TRUE(it.storage->write(*state).has_value());
        } else if (auto* entries = std::get_if<consensus::write_entries>(&action)) {
            EXPECT_TRUE(it.storage->write(*entries).has_value());
        } else if (auto* snapshot = std::get_if<consensus::write_snapshot>(&action)) {
            has_power_ = make_durable([&] { return it.storage->write(*snapshot); });
        } else if (std::holds_alternative<consensus::sync_writes>(action)) {
            has_power_ = make_durable([&] { return it.storage->sync(); });
        } else if (auto* line = std::get_if<action::write_log>(&action)) {
            const bool leads =
                line->event == "role changed" &&
                std::get<std::string>(line->fields.front().value) == "leader";
            it.elections += leads ? 1 : 0;
        }
        if (!has_power_) {
            return busy;
        }
    }
    for (auto& frame : sent_frames) {
        network_.emplace(now_ + busy + delay, std::move(frame));
    }
    return busy;
}

void group_simulation::deliver()
{
    while (!network_.empty() && network_.begin()->first <= now_) {
        auto it = std::move(network_.begin()->second);
        network_.erase(network_.begin());
        const auto to = find(it.to);
        if (!to) {
            deliver_to_entry(it);
            continue;
        }
        const auto from = find(it.from);
        const bool is_cut = from && cut_links_.contains({*from, *to});
        if (at(*to).running && !is_cut) {
            at(*to).inbox.emplace_back(it.from, std::move(it.frame));
        }
    }
}

void group_simulation::deliver_to_entry(message& it)
{
    const auto found = entry_numbers_.find(it.to);
    const auto from = find(it.from);
    if (found == entry_numbers_.end() || !entries_[found->second].link ||
        (from && cut_entries_.contains({*from, found->second}))) {
        return;
    }
    const auto plain = net::decompress_payload(std::move(it.frame));
    const auto decoded = wire::decode_control_message(plain.value().payload);
    ASSERT_TRUE(decoded.has_value());
    send_from_entry(
        found->second,
        entries_[found->second].link->receive(
            now_, {core::instance_id(it.from.str()), it.from}, decoded.value()));
}

void group_simulation::step_entries()
{
    if (now_ < next_entry_tick_) {
        return;
    }
    next_entry_tick_ = now_ + entry_tick_interval;
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        if (entries_[i].link) {
            send_from_entry(i, entries_[i].link->tick(now_));
        }
    }
}

void group_simulation::send_from_entry(
    std::size_t i, std::vector<entry::node_action> actions)
{
    for (auto& action : actions) {
        if (auto* sent = std::get_if<entry::action::send_frame>(&action)) {
            network_.emplace(
                now_ + delay,
                message{
                    entries_[i].options.self.internal,
                    sent->to,
                    std::move(sent->message)});
        }
    }
}

void group_simulation::run_for(absl::Duration length)
{
    const absl::Time end = now_ + length;
    while (now_ < end) {
        now_ += step_length;
        deliver();
        step_entries();
        for (std::size_t i = 0; i < size(); ++i) {
            if (at(i).running) {
                step(i);
            }
            if (!has_power_) {
                lose_all_power();
                return;
            }
        }
    }
}

std::optional<std::uint64_t> group_simulation::read_as_operator(absl::Duration limit)
{
    constexpr int max_redirects = 2;
    const absl::Time end = now_ + limit;
    for (std::size_t first = 0; now_ < end; first = (first + 1) % size()) {
        std::size_t i = first;
        for (int hop = 0; hop <= max_redirects && at(i).running; ++hop) {
            const auto it = ask(i, call::read_document{});
            if (!it) {
                break;
            }
            if (const auto* read = std::get_if<call_result::newest_document>(&*it)) {
                return read->document.number;
            }
            const auto* other = std::get_if<call_result::ask_leader>(&*it);
            const auto next =
                other == nullptr ? std::nullopt : find({other->http.host, 1});
            if (!next) {
                break;
            }
            i = *next;
        }
        run_for(absl::Milliseconds(100));
    }
    return std::nullopt;
}

std::optional<std::size_t> group_simulation::leader()
{
    for (std::size_t i = 0; i < size(); ++i) {
        if (!at(i).running) {
            continue;
        }
        const auto it = ask(i, call::read_document{});
        if (it && std::holds_alternative<call_result::newest_document>(*it)) {
            return i;
        }
    }
    return std::nullopt;
}

std::size_t group_simulation::voters(std::size_t i)
{
    const auto stored = at(i).storage->load().value();
    consensus::member_set members;
    if (stored.snapshot) {
        members = stored.snapshot->info.members;
    }
    for (const auto& it : stored.entries) {
        if (const auto* set = std::get_if<consensus::member_set>(&it.payload)) {
            members = *set;
        }
    }
    return members.voter_count();
}

call::declare group_simulation::declare(std::uint64_t number)
{
    call::declare it;
    it.team = core::team_id("t");
    it.document = {number, "source " + std::to_string(number)};
    it.settings["teams/t/pools/a/entries"] = std::to_string(number);
    return it;
}

call::announce
group_simulation::announce(const std::string& server, upstream::availability state)
{
    call::announce it;
    it.server.pool = pool_a;
    it.server.announcement.server = core::server_id(server);
    it.server.announcement.incarnation = 1;
    it.server.announcement.sequence = static_cast<std::uint64_t>(state) + 1;
    it.server.announcement.state = state;
    it.server.announcement.address = {"10.9.0.1", 80};
    return it;
}

} // namespace cuminpitch::control
