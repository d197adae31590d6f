#include "cuminpitch/health/pool_health.hpp"

#include "core/earlier_start_priv.hpp"
#include "cuminpitch/health/capacity_window.hpp"
#include "cuminpitch/health/evidence_stream.hpp"
#include "cuminpitch/health/latency_quantile.hpp"
#include "cuminpitch/upstream/registry.hpp"

#include <algorithm>
#include <utility>

namespace cuminpitch::health {
namespace {

// A peer counts towards the majority that a lease needs only with contact this recent.
constexpr absl::Duration contact_timeout = absl::Seconds(1);

// A server renews its announcement about every second, so relaying it more often than
// that adds no information.
constexpr absl::Duration relay_interval = absl::Milliseconds(900);

// Minimum interval of heartbeats that are sent before the regular one is due.
constexpr absl::Duration min_urgent_interval = absl::Milliseconds(50);

// Score at this entry from which on bad evidence is sent at once.
constexpr double urgent_score = 0.25;

// Limits of one heartbeat. Whatever exceeds them is sent in a later one.
constexpr std::size_t max_evidence_cells = 512;
constexpr std::size_t max_announcements = 128;

// Age of a relayed announcement whose age can't be told; too old to make a server
// eligible.
constexpr absl::Duration unknown_age = absl::Hours(1);

constexpr absl::Duration prune_interval = absl::Seconds(30);

struct peer
{
    std::uint64_t incarnation = 0;
    absl::Time last_heard = absl::InfinitePast();
    absl::Time clock = absl::InfinitePast(); ///< Newest reading of its clock.
    /// Newest reading of this entry's clock that it echoed.
    absl::Time last_contact = absl::InfinitePast();
    bool draining = false;
    core::revision fleet_revision;
    std::optional<evidence_sender> sender;
    evidence_receiver receiver;
    std::uint64_t last_stream = 0;
    struct relayed
    {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        absl::Time at = absl::InfinitePast();
    };
    absl::btree_map<core::server_id, relayed> relayed_servers;
};

} // namespace

struct pool_health::impl
{
    impl(
        core::instance_id own,
        std::uint64_t started,
        absl::Time now,
        const config::pool_settings& declared,
        const pool_health_options& opts,
        std::uint64_t seed)
        : self(std::move(own)), incarnation(started), settings(declared), options(opts),
          registry(now, declared.departure), window(opts.capacity_window),
          detector(current_detector_options()),
          coordinator(self, started, now, declared, opts.coordinator, seed)
    {
    }

    detector_options current_detector_options() const
    {
        auto result = options.detector;
        result.false_ejections_per_server_month =
            settings.false_ejections_per_server_month;
        return result;
    }

    bool is_member(const core::instance_id& it) const
    {
        return std::find(list.entries.begin(), list.entries.end(), it) !=
               list.entries.end();
    }

    void handle_event(absl::Time now, const coordinator_event& it);
    void apply(const action::report& it);
    void apply(const action::start_probe& it) { pending_actions.emplace_back(it); }
    void apply(const action::reset_evidence& it) { detector.reset(it.server); }
    void apply(const action::send_now&) { urgent = true; }

    void count(
        absl::Time now,
        const core::server_id& server,
        const core::route_id& route,
        const evidence& counts);
    void choose_evidence_targets(absl::Time now);
    void record_capacity(
        absl::Time now, const std::vector<upstream::eligible_server>& servers);
    pool_heartbeat make_heartbeat(absl::Time now, const core::instance_id& to);
    void add_relays(absl::Time now, peer& to, pool_heartbeat& it);

    core::instance_id self;
    std::uint64_t incarnation;
    config::pool_settings settings;
    pool_health_options options;
    control::pool_assignment list;
    bool draining = false;
    core::revision fleet_revision;
    upstream::registry registry;
    capacity_window window;
    health::detector detector;
    pool_coordinator coordinator;
    absl::btree_map<core::route_id, latency_quantile> latencies;
    absl::btree_map<core::instance_id, peer> peers;
    std::vector<pool_action> pending_actions;
    bool urgent = false;
    absl::Time last_sent = absl::InfinitePast();
    absl::Time last_pruned = absl::InfinitePast();
    pool_counts counts;
};

void pool_health::impl::handle_event(absl::Time now, const coordinator_event& it)
{
    for (const auto& action : coordinator.handle(now, it)) {
        std::visit([&](const auto& at) { apply(at); }, action);
    }
}

void pool_health::impl::apply(const action::report& it)
{
    switch (it.what) {
    case action::change::lease_acquired:
        ++counts.leases_acquired;
        break;
    case action::change::lease_lost:
        ++counts.leases_lost;
        break;
    case action::change::ejected:
        ++counts.ejections;
        break;
    case action::change::not_ejected_no_room:
        ++counts.ejections_without_room;
        break;
    case action::change::probation_started:
        break;
    case action::change::probation_failed:
        ++counts.failed_probations;
        break;
    case action::change::readmitted:
        ++counts.readmissions;
        break;
    case action::change::readmitted_for_capacity:
        ++counts.readmissions_for_capacity;
        break;
    }
    pending_actions.emplace_back(log_event{to_string(it.what), it.server, it.severity});
}

void pool_health::impl::count(
    absl::Time now,
    const core::server_id& server,
    const core::route_id& route,
    const evidence& counts)
{
    detector.add(now, server, route, counts);
    handle_event(now, event::evidence_received{server, counts});
}

void pool_health::impl::choose_evidence_targets(absl::Time now)
{
    const auto target = coordinator.coordinator(now);
    for (auto& [id, it] : peers) {
        const bool wanted = !options.coordinator.local_ejection && is_member(id) &&
                            (!target || *target == id);
        if (!wanted) {
            it.sender.reset();
        } else if (!it.sender) {
            const auto stream = static_cast<std::uint64_t>(absl::ToUnixMicros(now));
            it.last_stream = std::max(it.last_stream + 1, stream);
            it.sender.emplace(it.last_stream);
        }
    }
}

void pool_health::impl::record_capacity(
    absl::Time now, const std::vector<upstream::eligible_server>& servers)
{
    capacity sum;
    for (const auto& it : servers) {
        sum.slots += it.capacity();
        sum.servers += it.ramp;
    }
    window.add(now, sum);
}

void pool_health::impl::add_relays(absl::Time now, peer& to, pool_heartbeat& it)
{
    for (auto& relay : registry.to_relay(now)) {
        auto& last = to.relayed_servers[relay.it.server];
        const bool known = last.incarnation == relay.it.incarnation &&
                           last.sequence == relay.it.sequence;
        const bool departed = relay.it.state != upstream::availability::active;
        const bool due = now - last.at >= relay_interval && (!known || departed);
        if (it.announcements.size() < max_announcements &&
            (due || (departed && !known))) {
            last = {relay.it.incarnation, relay.it.sequence, now};
            it.announcements.push_back(std::move(relay));
        }
    }
}

pool_heartbeat
pool_health::impl::make_heartbeat(absl::Time now, const core::instance_id& to)
{
    auto& at = peers[to];
    pool_heartbeat it;
    it.pool = settings.id;
    it.incarnation = incarnation;
    it.list_revision = list.list_revision;
    it.fleet_revision = fleet_revision;
    it.clock = now;
    if (at.incarnation != 0) {
        it.echo = at.clock;
        it.echo_incarnation = at.incarnation;
    }
    it.draining = draining;
    it.evidence_ack_stream = at.receiver.stream();
    it.evidence_ack = at.receiver.sequence();
    if (at.sender) {
        at.sender->fill(it, max_evidence_cells);
        counts.evidence_cells_sent += it.evidence.size();
    }
    add_relays(now, at, it);
    it.capacity = window.samples(now);
    coordinator.fill(now, to, it);
    ++counts.heartbeats_sent;
    return it;
}

pool_health::pool_health(
    core::instance_id self,
    std::uint64_t incarnation,
    absl::Time now,
    const config::pool_settings& settings,
    const pool_health_options& options,
    std::uint64_t seed)
    : impl_(std::make_unique<impl>(
          std::move(self), incarnation, now, settings, options, seed))
{
}

pool_health::~pool_health() = default;
pool_health::pool_health(pool_health&&) noexcept = default;
pool_health& pool_health::operator=(pool_health&&) noexcept = default;

void pool_health::set_settings(const config::pool_settings& it)
{
    auto& this_pool = *impl_;
    this_pool.settings = it;
    this_pool.registry.set_departure(it.departure);
    this_pool.detector.set_options(this_pool.current_detector_options());
    this_pool.coordinator.set_settings(it);
}

void pool_health::set_assignment(absl::Time now, const control::pool_assignment& it)
{
    auto& this_pool = *impl_;
    if (it.list_revision == this_pool.list.list_revision) {
        return;
    }
    this_pool.list = it;
    this_pool.handle_event(now, event::list_changed{it});
}

void pool_health::set_list_confirmed(bool it)
{
    impl_->coordinator.set_list_confirmed(it);
}

void pool_health::set_draining(bool it)
{
    impl_->draining = it;
}

void pool_health::set_fleet_revision(core::revision it)
{
    impl_->fleet_revision = it;
}

bool pool_health::announce(
    absl::Time now, const upstream::announcement& it, std::optional<absl::Time> echo)
{
    return impl_->registry.announce(now, it, echo);
}

void pool_health::observe(
    absl::Time now,
    const core::server_id& server,
    const core::route_id& route,
    attempt_kind kind,
    absl::Duration duration)
{
    evidence counts{1, 0, 0};
    switch (kind) {
    case attempt_kind::success: {
        auto& latency = impl_->latencies[route];
        // Slow responses during a cold start are expected and not evidence.
        const bool expected = impl_->registry.is_warming_up(now, server);
        counts.slow = !expected && latency.is_slow(duration) ? 1 : 0;
        latency.add(duration);
        break;
    }
    case attempt_kind::failure:
        counts.failures = 1;
        break;
    case attempt_kind::shed:
    case attempt_kind::none:
        return;
    }
    observe(now, server, route, counts);
}

void pool_health::observe(
    absl::Time now,
    const core::server_id& server,
    const core::route_id& route,
    const evidence& counts)
{
    auto& this_pool = *impl_;
    this_pool.count(now, server, route, counts);
    if (counts.failures + counts.slow > 0 &&
        this_pool.detector.score(server) >= urgent_score) {
        this_pool.urgent = true;
    }
    for (auto& [id, it] : this_pool.peers) {
        if (it.sender) {
            it.sender->add(server, route, counts);
        }
    }
}

void pool_health::receive(
    absl::Time now, const core::instance_id& from, const pool_heartbeat& it)
{
    auto& this_pool = *impl_;
    if (it.pool != this_pool.settings.id || from == this_pool.self) {
        return;
    }
    auto& at = this_pool.peers[from];
    if (core::is_of_earlier_start(it.incarnation, at.incarnation, at.last_heard, now)) {
        return;
    }
    ++this_pool.counts.heartbeats_received;
    if (it.incarnation != at.incarnation) {
        at = peer{};
        at.incarnation = it.incarnation;
    }
    at.last_heard = now;
    const bool own_echo =
        it.echo && it.echo_incarnation == this_pool.incarnation && *it.echo <= now;
    const auto echo = own_echo ? it.echo : std::nullopt;
    if (it.clock > at.clock) {
        at.clock = it.clock;
        at.draining = it.draining;
        at.fleet_revision = std::max(at.fleet_revision, it.fleet_revision);
    }
    if (echo) {
        at.last_contact = std::max(at.last_contact, *echo);
    }
    if (at.sender) {
        at.sender->acknowledge(it.evidence_ack_stream, it.evidence_ack);
    }
    for (auto relay : it.announcements) {
        relay.age = echo ? relay.age + (now - *echo) : unknown_age;
        this_pool.registry.relay(now, relay);
    }
    if (echo) {
        for (const auto& sample : it.capacity) {
            this_pool.window.add(*echo - sample.age, {sample.slots, sample.servers});
        }
    }
    for (const auto& cell : at.receiver.receive_counts(it)) {
        this_pool.count(now, cell.server, cell.route, cell.counts);
    }
    this_pool.handle_event(now, event::heartbeat_received{from, echo, &it});
}

void pool_health::probe_finished(
    absl::Time now, const core::server_id& server, bool success)
{
    impl_->handle_event(now, event::probe_finished{server, success});
}

std::vector<pool_action> pool_health::tick(absl::Time now)
{
    auto& this_pool = *impl_;
    event::tick state;
    for (const auto& [id, it] : this_pool.peers) {
        if (this_pool.is_member(id) && now - it.last_contact <= contact_timeout) {
            state.reachable.insert(id);
            if (!it.draining) {
                state.candidates.insert(id);
            }
        }
    }
    if (!this_pool.draining) {
        state.candidates.insert(this_pool.self);
    }
    state.servers = this_pool.registry.eligible(now);
    this_pool.record_capacity(now, state.servers);
    state.highest = this_pool.window.highest(now);
    state.findings = this_pool.detector.findings();
    this_pool.handle_event(now, state);

    const bool due =
        now - this_pool.last_sent >= this_pool.options.heartbeat ||
        (this_pool.urgent && now - this_pool.last_sent >= min_urgent_interval);
    if (due && this_pool.is_member(this_pool.self)) {
        this_pool.last_sent = now;
        this_pool.urgent = false;
        for (const auto& id : this_pool.list.entries) {
            if (id != this_pool.self) {
                this_pool.peers.try_emplace(id);
            }
        }
        this_pool.choose_evidence_targets(now);
        for (const auto& id : this_pool.list.entries) {
            if (id != this_pool.self) {
                this_pool.pending_actions.emplace_back(
                    send_heartbeat{id, this_pool.make_heartbeat(now, id)});
            }
        }
    }
    if (now - this_pool.last_pruned >= prune_interval) {
        this_pool.last_pruned = now;
        this_pool.registry.prune(now);
        this_pool.detector.halve_idle();
    }
    return std::exchange(this_pool.pending_actions, {});
}

std::vector<server_state> pool_health::servers(absl::Time now) const
{
    const auto& this_pool = *impl_;
    const auto eligible = this_pool.registry.eligible(now);
    const auto decision =
        this_pool.coordinator.current(now, eligible, this_pool.window.highest(now));
    // With a coordinator, an unhealthy server is ejected within moments. Sending it fewer
    // requests before that would only leave the tests with less evidence.
    const double suspected_score = this_pool.coordinator.coordinator(now)
                                       ? 1
                                       : this_pool.options.detector.suspected_score;
    std::vector<server_state> result;
    for (const auto& it : eligible) {
        server_state state{it.id, it.address, it.slots, it.incarnation, it.ramp, true};
        state.ejected = decision.ejected.contains(it.id);
        state.probation = decision.probation.contains(it.id);
        state.suspected =
            decision.suspected.contains(it.id) ||
            (!state.ejected && this_pool.detector.score(it.id) >= suspected_score);
        const auto fraction = decision.slow_start.find(it.id);
        if (fraction != decision.slow_start.end()) {
            state.ramp *= fraction->second;
        }
        result.push_back(std::move(state));
    }
    return result;
}

std::vector<live_entry> pool_health::live_entries(absl::Time now) const
{
    const auto& this_pool = *impl_;
    std::vector<live_entry> result;
    for (const auto& id : this_pool.list.entries) {
        if (id == this_pool.self) {
            result.push_back({id, this_pool.draining, this_pool.fleet_revision});
            continue;
        }
        const auto at = this_pool.peers.find(id);
        if (at != this_pool.peers.end() &&
            now - at->second.last_contact <= this_pool.options.peer_timeout) {
            result.push_back({id, at->second.draining, at->second.fleet_revision});
        }
    }
    return result;
}

std::optional<core::instance_id> pool_health::coordinator(absl::Time now) const
{
    return impl_->coordinator.coordinator(now);
}

bool pool_health::is_coordinator(absl::Time now) const
{
    return impl_->coordinator.is_coordinator(now);
}

const pool_counts& pool_health::counts() const
{
    return impl_->counts;
}

} // namespace cuminpitch::health
