#pragma once

// Builds a fleet state of a given size, and runs instances of the fleet in memory.

#include "capacity_report.hpp"
#include "cuminpitch/assign/rendezvous.hpp"
#include "cuminpitch/control/declared_settings.hpp"
#include "cuminpitch/control/fleet_state.hpp"
#include "cuminpitch/control/node.hpp"
#include "cuminpitch/entry/node.hpp"
#include "cuminpitch/wire/control_codec.hpp"

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace cuminpitch::capacity {

struct fleet_size
{
    int pools = 0;
    int routes = 0;
    int entries = 0;
};

/// One eightieth of the target size, a quarter of it, and the target size.
inline const std::vector<fleet_size> fleet_sizes = {
    {40, 650, 52}, {800, 13'000, 1'025}, {3'200, 52'000, 4'100}};
inline const fleet_size& target = fleet_sizes.back();

constexpr int teams = 100;
constexpr int entries_of_pool = 3;

inline core::pool_id pool_of(int i)
{
    return {
        core::team_id("team" + std::to_string(i % teams)), "pool" + std::to_string(i)};
}

inline core::endpoint internal_of(int entry)
{
    return {
        "10.0." + std::to_string(entry / 250) + "." + std::to_string(entry % 250), 9000};
}

inline control::entry_record entry_of(int i)
{
    control::entry_record it;
    it.id = core::instance_id("entry" + std::to_string(i));
    it.internal = internal_of(i);
    it.http = {it.internal.host, 8000};
    it.failure_domain = core::failure_domain_id("domain" + std::to_string(i % 5));
    return it;
}

inline void add_pool(control::settings_tree& to, int i)
{
    const auto id = pool_of(i);
    const auto at = "teams/" + id.team.str() + "/pools/" + id.name + "/";
    to[at + "entries"] = std::to_string(entries_of_pool);
    to[at + "min_healthy_percent"] = "75";
    to[at + "departure_ms"] = "3000";
    to[at + "deadline_ms"] = "10000";
}

inline void add_route(control::settings_tree& to, int i, int pools)
{
    const auto pool = pool_of(i % pools);
    const auto at =
        "teams/" + pool.team.str() + "/routes/route" + std::to_string(i) + "/";
    to[at + "host"] = "\"" + pool.team.str() + ".example\"";
    to[at + "path_prefix"] = "\"/route" + std::to_string(i) + "\"";
    to[at + "methods"] = "[\"GET\",\"HEAD\"]";
    to[at + "pool"] = "\"" + pool.name + "\"";
    to[at + "idempotent"] = "true";
}

inline control::settings_tree settings_of(const fleet_size& size)
{
    control::settings_tree it;
    for (int i = 0; i < size.pools; ++i) {
        add_pool(it, i);
    }
    for (int i = 0; i < size.routes; ++i) {
        add_route(it, i, size.pools);
    }
    return it;
}

/// The assignment lists that a control leader makes for these pools and entries.
inline std::vector<std::vector<core::instance_id>> lists_of(const fleet_size& size)
{
    assign::rendezvous members;
    for (int i = 0; i < size.entries; ++i) {
        members.join({entry_of(i).id, entry_of(i).failure_domain});
    }
    std::vector<std::vector<core::instance_id>> result;
    result.reserve(static_cast<std::size_t>(size.pools));
    for (int i = 0; i < size.pools; ++i) {
        result.push_back(members.pick(pool_of(i), entries_of_pool));
    }
    return result;
}

/// Entries 0 to 2 serve the first `own_pools` pools; the other pools get the lists that a
/// control leader makes.
inline std::shared_ptr<control::fleet_contents>
contents_of(const fleet_size& size, int own_pools = 0)
{
    auto it = std::make_shared<control::fleet_contents>();
    it->revision = core::revision(10'000);
    it->settings = settings_of(size);
    for (int i = 0; i < size.entries; ++i) {
        const auto record = entry_of(i);
        it->entries[record.id] = {record, 1};
    }
    auto lists = lists_of(size);
    for (int i = 0; i < size.pools; ++i) {
        auto& list = lists[static_cast<std::size_t>(i)];
        if (i < own_pools) {
            list = {entry_of(0).id, entry_of(1).id, entry_of(2).id};
        }
        it->assignments[pool_of(i)] = {core::revision(9'000), std::move(list)};
    }
    return it;
}

inline control::change
small_change(int i, core::revision base, int team = 0, int route = 0)
{
    const auto path = "teams/team" + std::to_string(team) + "/routes/route" +
                      std::to_string(route) + "/deadline_ms";
    return {
        core::change_id("change-" + std::to_string(i)),
        base,
        {{path, std::to_string(1'000 + i)}},
        1};
}

inline control::sync_request report_of(int entry, core::revision in_force)
{
    control::sync_request it;
    it.entry = entry_of(entry);
    it.incarnation = 1;
    it.in_force = in_force;
    // The contacts are its control instance and the peers of 2.3 pools.
    for (int i = 1; i <= 6; ++i) {
        it.contacts.push_back({entry_of(entry + i).id, absl::Milliseconds(200)});
    }
    return it;
}

inline net::frame control_frame(const control::message& it)
{
    return {net::channel::control, wire::encode(it)};
}

/// Control instances that exchange frames in memory and write nothing to disk. Frames to
/// entries are counted and dropped.
class control_group
{
    using role_value = decltype(telemetry::field::value);

public:
    /// All instances start from `snapshot`, which holds a fleet state.
    control_group(
        int size, const std::string& snapshot, const control::compile_function& compile)
    {
        std::vector<consensus::member> members;
        members.reserve(static_cast<std::size_t>(size));
        for (int i = 0; i < size; ++i) {
            members.push_back({member(i), core::instance_id(name(i)), endpoint(i)});
        }
        const consensus::member_set voters(members);
        consensus::stored_state state;
        state.hard_state = {core::term(1), {}, consensus::group_of(voters)};
        state.snapshot = consensus::snapshot{
            {core::log_index(first_index), core::term(1), voters},
            std::make_shared<const std::string>(snapshot)};
        for (int i = 0; i < size; ++i) {
            instances_.emplace_back();
            instances_.back().node = make_node(i, size, state, compile);
        }
    }

    /// Runs until there is a leader that has committed an entry of its term.
    void elect()
    {
        while (leader_ < 0) {
            run(absl::Milliseconds(10));
        }
        run(absl::Seconds(1));
    }
    int leader() const { return leader_; }
    int follower() const { return leader_ == 0 ? 1 : 0; }

    void run(absl::Duration time)
    {
        const auto end = now_ + time;
        while (now_ < end) {
            now_ += absl::Milliseconds(10);
            for (std::size_t i = 0; i < instances_.size(); ++i) {
                handle_event(static_cast<int>(i), control::event::tick{});
            }
            deliver();
        }
    }

    void handle_event(int to, control::node_event it)
    {
        auto& at = instances_[static_cast<std::size_t>(to)];
        const double start = cpu_us();
        at.node->handle(now_, std::move(it));
        auto actions = at.node->take_actions();
        at.cpu += cpu_us() - start;
        for (auto& action : actions) {
            handle_action(to, action);
        }
    }

    void deliver()
    {
        while (!frames_.empty()) {
            auto [from, to, frame] = std::move(frames_.front());
            frames_.pop_front();
            handle_event(
                to,
                control::event::frame_received{
                    {core::instance_id(name(from)), endpoint(from)}, std::move(frame)});
        }
    }

    void sync(int to, const control::sync_request& it)
    {
        handle_event(
            to,
            control::event::frame_received{
                {it.entry.id, it.entry.internal}, control_frame(it)});
    }

    /// CPU time in us of the leader from reset_counts() until it had committed and pushed
    /// the last change. Later ticks are not included.
    double commit_cpu() const { return commit_cpu_; }

    /// Applies a change at all instances, and returns its revision.
    core::revision change(const control::change& it)
    {
        nlohmann::json body = {
            {"id", it.id.str()}, {"base_revision", it.base_revision.value()}};
        for (const auto& op : it.operations) {
            body["operations"].push_back(
                {{"path", op.path}, {"value", nlohmann::json::parse(*op.value)}});
        }
        auto message = std::make_shared<http::request>();
        message->method = "POST";
        message->target = message->path = "/v1/changes";
        message->body = body.dump();
        handle_event(
            leader_,
            control::event::operator_request{core::request_id(++requests_), message, 1});
        deliver();
        commit_cpu_ = counted(leader_).cpu;
        run(absl::Milliseconds(200));
        const auto answer = nlohmann::json::parse(answer_, nullptr, false);
        if (!answer.is_object() || answer.value("outcome", "") != "applied") {
            std::cerr << "change not applied: " << answer_ << std::endl;
            std::exit(1);
        }
        return core::revision(answer["revision"].get<std::uint64_t>());
    }

    struct counts
    {
        double cpu = 0; ///< us.
        double group_bytes = 0;
        double entry_bytes = 0;
        double entry_frames = 0;
    };
    const counts& counted(int i) const { return instances_[static_cast<std::size_t>(i)]; }
    void reset_counts()
    {
        for (auto& it : instances_) {
            static_cast<counts&>(it) = {};
        }
    }

private:
    static constexpr std::uint64_t first_index = 10'000;
    struct instance : counts
    {
        std::unique_ptr<control::node> node;
    };
    struct frame_in_flight
    {
        int from = 0;
        int to = 0;
        net::frame frame;
    };

    static std::string name(int i) { return "control" + std::to_string(i); }
    static consensus::member_id member(int i)
    {
        return consensus::member_id("member" + std::to_string(i));
    }
    static core::endpoint endpoint(int i)
    {
        return {"10.1.0.1", static_cast<std::uint16_t>(7000 + i)};
    }

    std::unique_ptr<control::node> make_node(
        int i,
        int size,
        const consensus::stored_state& state,
        const control::compile_function& compile)
    {
        control::node_options it;
        it.id = core::instance_id(name(i));
        it.identity = member(i);
        it.internal = endpoint(i);
        it.http = {"10.1.0.1", static_cast<std::uint16_t>(6000 + i)};
        it.snapshot_interval = 1'000'000; // Snapshots are measured separately.
        for (int peer = 0; peer < size; ++peer) {
            if (peer != i) {
                it.peers.push_back(endpoint(peer));
            }
        }
        const core::random_source random(static_cast<std::uint64_t>(i) + 1);
        return control::node::make(it, state, compile, random, metrics_, now_);
    }

    void handle_action(int from, control::node_action& it)
    {
        if (auto* frame = std::get_if<control::action::send_frame>(&it)) {
            send(from, *frame);
        } else if (auto* answer = std::get_if<control::action::respond>(&it)) {
            answer_ = answer->response.body;
        } else if (const auto* log = std::get_if<control::action::write_log>(&it)) {
            if (log->event == "role changed" &&
                log->fields.front().value == role_value("leader")) {
                leader_ = from;
            }
        }
    }

    void send(int from, control::action::send_frame& it)
    {
        auto& at = instances_[static_cast<std::size_t>(from)];
        if (it.to.host == endpoint(0).host) {
            at.group_bytes += static_cast<double>(it.message.payload.size());
            frames_.push_back({from, it.to.port - 7000, std::move(it.message)});
        } else {
            at.entry_bytes += static_cast<double>(it.message.payload.size());
            ++at.entry_frames;
        }
    }

    telemetry::metrics metrics_;
    std::vector<instance> instances_;
    std::deque<frame_in_flight> frames_;
    absl::Time now_ = absl::FromUnixSeconds(1000);
    int leader_ = -1;
    std::uint64_t requests_ = 0;
    std::string answer_;
    double commit_cpu_ = 0;
};

/// The first entries of a fleet, which exchange frames in memory. A simulated control
/// instance answers each sync request with an empty delta.
class entry_mesh
{
public:
    entry_mesh(
        std::shared_ptr<const control::fleet_contents> contents,
        int size,
        const control::compile_function& compile = control::make_compile_function())
        : contents_(std::move(contents))
    {
        for (int i = 0; i < size; ++i) {
            entry::node_options it;
            it.self = entry_of(i);
            it.incarnation = 1;
            it.control = {control_at};
            it.seed = static_cast<std::uint64_t>(i) + 1;
            nodes_.emplace_back();
            nodes_.back().node = std::make_unique<entry::node>(it, compile, metrics_);
        }
    }

    /// Delivers an update from control to all entries.
    void push(const control::update& it, core::revision current)
    {
        const auto frame = control_frame(control::sync_response{it, current, {}, true});
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            handle_event(static_cast<int>(i), frame_from_control(frame));
        }
        revision_ = current;
        deliver();
    }
    void start() { push(contents_, contents_->revision); }

    void tick()
    {
        now_ += absl::Milliseconds(20);
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            handle_event(static_cast<int>(i), entry::event::tick{});
        }
        deliver();
    }

    void request(int to, std::shared_ptr<const http::request> it)
    {
        handle_event(
            to, entry::event::http_request{core::request_id(++requests_), std::move(it)});
    }

    void handle_event(int to, entry::node_event it)
    {
        auto& at = nodes_[static_cast<std::size_t>(to)];
        const double start = cpu_us();
        auto actions = at.node->handle(now_, std::move(it));
        at.cpu += cpu_us() - start;
        for (auto& action : actions) {
            handle_action(to, action);
        }
    }

    struct counts
    {
        double cpu = 0; ///< us.
        double pool_bytes = 0;
        double pool_frames = 0;
        double control_bytes = 0;
        int responses = 0;
        int calls = 0;
    };
    const counts& counted(int i) const { return nodes_[static_cast<std::size_t>(i)]; }
    void reset_counts()
    {
        for (auto& it : nodes_) {
            static_cast<counts&>(it) = {};
        }
    }
    const std::string& last_answer() const { return answer_; }
    absl::Time now() const { return now_; }

private:
    struct instance : counts
    {
        std::unique_ptr<entry::node> node;
    };
    struct event_in_flight
    {
        int to = 0;
        entry::node_event event;
    };

    inline static const core::endpoint control_at{"10.1.0.1", 7000};

    static entry::node_event frame_from_control(net::frame it)
    {
        return entry::event::frame_received{
            {core::instance_id("control0"), control_at}, std::move(it)};
    }

    void deliver()
    {
        while (!events_.empty()) {
            auto it = std::move(events_.front());
            events_.pop_front();
            handle_event(it.to, std::move(it.event));
        }
    }

    void handle_action(int from, entry::node_action& it)
    {
        auto& at = nodes_[static_cast<std::size_t>(from)];
        if (auto* frame = std::get_if<entry::action::send_frame>(&it)) {
            send(from, *frame);
        } else if (auto* call = std::get_if<entry::action::start_call>(&it)) {
            ++at.calls;
            http::client_result result;
            result.verdict = core::verdict::ran;
            result.elapsed = absl::Milliseconds(5);
            result.response.body = "body";
            events_.push_back({from, entry::event::call_finished{call->call, result}});
        } else if (auto* answer = std::get_if<entry::action::http_respond>(&it)) {
            ++at.responses;
            answer_ = std::move(answer->response.body);
        }
    }

    void send(int from, entry::action::send_frame& it)
    {
        auto& at = nodes_[static_cast<std::size_t>(from)];
        const auto bytes = static_cast<double>(it.message.payload.size());
        if (it.to == control_at) {
            at.control_bytes += bytes;
            const control::sync_response answer{
                control::delta{revision_, revision_, {}}, revision_, {}, true};
            events_.push_back({from, frame_from_control(control_frame(answer))});
            return;
        }
        at.pool_bytes += bytes;
        ++at.pool_frames;
        for (int i = 0; i < static_cast<int>(nodes_.size()); ++i) {
            if (it.to == internal_of(i)) {
                events_.push_back(
                    {i,
                     entry::event::frame_received{
                         {entry_of(from).id, internal_of(from)}, std::move(it.message)}});
                return;
            }
        }
    }

    std::shared_ptr<const control::fleet_contents> contents_;
    telemetry::metrics metrics_;
    std::vector<instance> nodes_;
    std::deque<event_in_flight> events_;
    absl::Time now_ = absl::FromUnixSeconds(1000);
    core::revision revision_;
    std::uint64_t requests_ = 0;
    std::string answer_;
};

} // namespace cuminpitch::capacity
