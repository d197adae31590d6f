#include "cuminpitch/health/pool_coordinator.hpp"

#include <algorithm>
#include <utility>

namespace cuminpitch::health {
namespace {

// Capacities are sums of ramped slots; this absorbs their rounding errors.
constexpr double tolerance = 1e-9;

// A server that is ejected again within this time after its readmission is flapping, and
// its hold time doubles.
constexpr absl::Duration flap_window = absl::Minutes(10);

// How long the last ejection set of a lost coordinator is still used: followers suspect
// its servers, and the next coordinator starts with these ejections.
constexpr absl::Duration last_set_retention = absl::Seconds(30);

// Slow trial requests that a healthy server may have during its probation.
constexpr std::uint64_t max_slow_trials = 1;

} // namespace

const char* to_string(action::change it)
{
    switch (it) {
    case action::change::lease_acquired:
        return "lease acquired";
    case action::change::lease_lost:
        return "lease lost";
    case action::change::ejected:
        return "ejected";
    case action::change::not_ejected_no_room:
        return "not ejected, no room above the minimum";
    case action::change::probation_started:
        return "probation started";
    case action::change::probation_failed:
        return "probation failed";
    case action::change::readmitted:
        return "readmitted";
    case action::change::readmitted_for_capacity:
        return "readmitted for capacity";
    }
    return "unknown";
}

pool_coordinator::pool_coordinator(
    core::instance_id self,
    std::uint64_t incarnation,
    absl::Time created,
    const config::pool_settings& settings,
    const coordinator_options& options,
    std::uint64_t seed)
    : self_(std::move(self)), settings_(settings), options_(options), random_(seed),
      lease_(self_, incarnation, created, options.lease)
{
}

std::vector<coordinator_action>
pool_coordinator::handle(absl::Time now, const coordinator_event& it)
{
    actions out;
    drop_expired(now, out);
    std::visit([&](const auto& event) { on(now, event, out); }, it);
    return out;
}

bool pool_coordinator::is_coordinator(absl::Time now) const
{
    return options_.local_ejection || (lease_.is_held(now) && was_coordinator_);
}

std::optional<core::instance_id> pool_coordinator::coordinator(absl::Time now) const
{
    if (is_coordinator(now)) {
        return self_;
    }
    if (followed_ && now < followed_->expiry) {
        return followed_->from;
    }
    return std::nullopt;
}

void pool_coordinator::drop_expired(absl::Time now, actions& out)
{
    absl::erase_if(releasing_, [&](const auto& it) { return now >= it.second; });
    if (!was_coordinator_ || lease_.is_held(now) || options_.local_ejection) {
        return;
    }
    was_coordinator_ = false;
    // Kept as an expired set, whose servers are suspected, and ejected first if this
    // entry acquires the lease again.
    followed_ = followed_set{self_, 0, now, now, now, {}};
    followed_->set.servers = ejected_by_severity();
    ejected_.clear();
    slow_start_since_.clear();
    out.emplace_back(action::report{action::change::lease_lost, {}, 0});
}

void pool_coordinator::on(absl::Time now, const event::list_changed& it, actions& out)
{
    list_ = it.list;
    lease_.set_list(now, it.list);
    drop_expired(now, out);
}

void pool_coordinator::on(
    absl::Time now, const event::heartbeat_received& it, actions& /*out*/)
{
    const auto& message = *it.message;
    if (message.lease_request) {
        lease_.on_request(
            now,
            it.from,
            message.incarnation,
            message.list_revision,
            *message.lease_request);
    }
    if (message.lease_grant) {
        lease_.on_grant(it.from, message.list_revision, *message.lease_grant);
    }
    if (message.ejections && it.echo) {
        follow(now, it);
    }
}

void pool_coordinator::follow(absl::Time now, const event::heartbeat_received& it)
{
    const auto& message = *it.message;
    const auto expiry = *it.echo + std::min(message.ejections->valid_for, options_.lease);
    if (expiry <= now) {
        return;
    }
    if (followed_ && followed_->from == it.from) {
        const auto known = std::pair(followed_->incarnation, followed_->clock);
        if (std::pair(message.incarnation, message.clock) < known) {
            return;
        }
    }
    followed_ = followed_set{
        it.from, message.incarnation, message.clock, expiry, now, *message.ejections};
}

void pool_coordinator::on(absl::Time now, const event::tick& it, actions& out)
{
    server_map servers;
    for (const auto& server : it.servers) {
        servers.emplace(server.id, &server);
    }
    if (!options_.local_ejection) {
        lease_.tick(now, it.reachable, it.candidates, random_);
    }
    const bool held = options_.local_ejection || lease_.is_held(now);
    if (!held) {
        return;
    }
    if (!was_coordinator_) {
        take_over(now, servers, out);
    }
    remove_absent(now, servers);
    absl::erase_if(slow_start_since_, [&](const auto& at) {
        return now - at.second >= options_.slow_start;
    });
    absl::erase_if(past_ejections_, [&](const auto& at) {
        return now - at.second.readmitted > flap_window;
    });
    restore_minimum(now, it, out);
    update_ejections(now, servers, out);
    eject_unhealthy(now, it, out);
    probe(now, servers, out);
}

void pool_coordinator::remove_absent(absl::Time now, const server_map& servers)
{
    absl::erase_if(ejected_, [&](const auto& at) {
        const bool absent = !servers.contains(at.first);
        if (absent && now < sent_sets_until_) {
            // It may return while followers still apply the ejection.
            releasing_[at.first] = sent_sets_until_;
        }
        return absent;
    });
}

void pool_coordinator::take_over(absl::Time now, const server_map& servers, actions& out)
{
    was_coordinator_ = true;
    ejected_.clear();
    out.emplace_back(action::report{action::change::lease_acquired, {}, 0});
    if (!followed_ || now - followed_->received > last_set_retention) {
        return;
    }
    // All former ejections are taken over. restore_minimum() follows at once and readmits
    // servers where capacity is below the minimum; nothing is sent under this lease
    // before that.
    double severity = 2;
    const auto& set = followed_->set;
    for (const auto& id : set.servers) {
        const auto at = servers.find(id);
        if (at == servers.end()) {
            continue;
        }
        const bool was_in_probation =
            std::find(set.probation.begin(), set.probation.end(), id) !=
            set.probation.end();
        severity *= 0.99;
        ejected_[id] = {
            severity,
            now,
            options_.initial_hold,
            was_in_probation ? now : now + options_.initial_hold,
            at->second->incarnation};
    }
    for (const auto& it : set.slow_starts) {
        slow_start_since_[it.server] = followed_->received - it.age;
    }
}

double
pool_coordinator::slow_start_fraction(absl::Time now, const core::server_id& server) const
{
    const auto at = slow_start_since_.find(server);
    if (at == slow_start_since_.end()) {
        return 1;
    }
    return std::clamp(
        absl::FDivDuration(now - at->second, options_.slow_start), 0.0, 1.0);
}

template <class Excluded>
capacity pool_coordinator::capacity_without(
    absl::Time now,
    const std::vector<upstream::eligible_server>& servers,
    const Excluded& excluded) const
{
    capacity result;
    for (const auto& it : servers) {
        if (!excluded(it.id)) {
            const double fraction = slow_start_fraction(now, it.id);
            result.slots += fraction * it.capacity();
            result.servers += fraction * it.ramp;
        }
    }
    return result;
}

bool pool_coordinator::meets_minimum(const capacity& it, const capacity& highest) const
{
    if (settings_.min_healthy_servers) {
        return it.servers + tolerance >= *settings_.min_healthy_servers;
    }
    return it.slots + tolerance >= highest.slots * settings_.min_healthy_percent / 100.0;
}

std::vector<core::server_id> pool_coordinator::ejected_by_severity() const
{
    std::vector<core::server_id> result;
    for (const auto& [id, it] : ejected_) {
        result.push_back(id);
    }
    std::stable_sort(result.begin(), result.end(), [&](const auto& a, const auto& b) {
        return ejected_.at(a).severity > ejected_.at(b).severity;
    });
    return result;
}

void pool_coordinator::restore_minimum(
    absl::Time now, const event::tick& it, actions& out)
{
    auto order = ejected_by_severity();
    while (!order.empty()) {
        const auto remaining = capacity_without(
            now, it.servers, [&](const auto& id) { return ejected_.contains(id); });
        if (meets_minimum(remaining, it.highest)) {
            return;
        }
        readmit(now, order.back(), action::change::readmitted_for_capacity, out);
        order.pop_back();
    }
}

void pool_coordinator::readmit(
    absl::Time now, const core::server_id& server, action::change why, actions& out)
{
    const auto at = ejected_.find(server);
    past_ejections_[server] = {at->second.hold, now};
    out.emplace_back(action::report{why, server, at->second.severity});
    out.emplace_back(action::send_now{});
    ejected_.erase(at);
    if (why == action::change::readmitted) {
        slow_start_since_[server] = now;
    }
    if (now < sent_sets_until_) {
        releasing_[server] = sent_sets_until_;
    }
}

void pool_coordinator::extend_hold(absl::Time now, ejection& it)
{
    it.hold = std::min(2 * it.hold, options_.max_hold);
    it.hold_until = now + it.hold;
    it.in_probation = false;
    it.probe_satisfied = false;
}

void pool_coordinator::update_ejections(
    absl::Time now, const server_map& servers, actions& out)
{
    std::vector<core::server_id> passed;
    for (auto& [id, it] : ejected_) {
        const auto incarnation = servers.at(id)->incarnation;
        if (incarnation != it.incarnation) {
            // A restarted server may be healthy again, which trial requests will show.
            it.incarnation = incarnation;
            it.hold_until = now;
            it.in_probation = false;
        }
        if (it.in_probation) {
            if (it.slow > max_slow_trials) {
                extend_hold(now, it);
                out.emplace_back(
                    action::report{action::change::probation_failed, id, it.severity});
                out.emplace_back(action::send_now{});
            } else if (it.successes >= options_.probation_successes) {
                passed.push_back(id);
            }
        } else if (now >= it.hold_until && (it.probe_satisfied || !options_.probes)) {
            it.in_probation = true;
            it.successes = 0;
            it.slow = 0;
            out.emplace_back(action::reset_evidence{id});
            out.emplace_back(
                action::report{action::change::probation_started, id, it.severity});
            out.emplace_back(action::send_now{});
        }
    }
    for (const auto& id : passed) {
        readmit(now, id, action::change::readmitted, out);
    }
}

absl::Duration
pool_coordinator::next_hold(absl::Time now, const core::server_id& server) const
{
    const auto at = past_ejections_.find(server);
    if (at == past_ejections_.end() || now - at->second.readmitted > flap_window) {
        return options_.initial_hold;
    }
    return std::min(2 * at->second.hold, options_.max_hold);
}

void pool_coordinator::eject_unhealthy(
    absl::Time now, const event::tick& it, actions& out)
{
    absl::btree_set<core::server_id> kept_for_capacity;
    for (const auto& outlier : it.findings) {
        const auto server =
            std::find_if(it.servers.begin(), it.servers.end(), [&](const auto& at) {
                return at.id == outlier.server;
            });
        if (outlier.score < 1 || ejected_.contains(outlier.server) ||
            server == it.servers.end()) {
            continue;
        }
        const auto remaining = capacity_without(now, it.servers, [&](const auto& id) {
            return id == outlier.server || ejected_.contains(id) ||
                   releasing_.contains(id);
        });
        if (!meets_minimum(remaining, it.highest)) {
            kept_for_capacity.insert(outlier.server);
            if (!kept_for_capacity_.contains(outlier.server)) {
                out.emplace_back(action::report{
                    action::change::not_ejected_no_room,
                    outlier.server,
                    outlier.severity});
            }
            continue;
        }
        const auto hold = next_hold(now, outlier.server);
        ejected_[outlier.server] = {
            outlier.severity, now, hold, now + hold, server->incarnation};
        slow_start_since_.erase(outlier.server);
        out.emplace_back(
            action::report{action::change::ejected, outlier.server, outlier.severity});
        out.emplace_back(action::send_now{});
    }
    kept_for_capacity_ = std::move(kept_for_capacity);
}

void pool_coordinator::probe(absl::Time now, const server_map& servers, actions& out)
{
    if (!options_.probes || now < next_probe_) {
        return;
    }
    // Probe the server whose hold time ended first.
    const ejection* due = nullptr;
    const upstream::eligible_server* server = nullptr;
    for (const auto& [id, it] : ejected_) {
        const bool needs_probe =
            !it.in_probation && !it.probe_satisfied && now >= it.hold_until;
        if (needs_probe && (due == nullptr || it.hold_until < due->hold_until)) {
            due = &it;
            server = servers.at(id);
        }
    }
    if (server != nullptr) {
        next_probe_ = now + absl::Seconds(1 / options_.probe_rate);
        out.emplace_back(action::start_probe{server->id, server->address});
    }
}

void pool_coordinator::on(
    absl::Time now, const event::probe_finished& it, actions& /*out*/)
{
    const auto at = ejected_.find(it.server);
    if (at == ejected_.end() || at->second.in_probation) {
        return;
    }
    auto& server = at->second;
    // Failing probes alone keep no server ejected for longer than the longest hold time.
    if (it.success || now - server.since >= options_.max_hold) {
        server.probe_satisfied = true;
    } else {
        server.hold_until = now + server.hold;
    }
}

void pool_coordinator::on(
    absl::Time now, const event::evidence_received& it, actions& out)
{
    const auto at = ejected_.find(it.server);
    if (at == ejected_.end() || !at->second.in_probation) {
        return;
    }
    auto& server = at->second;
    if (it.counts.failures > 0) {
        extend_hold(now, server);
        out.emplace_back(
            action::report{action::change::probation_failed, it.server, server.severity});
        out.emplace_back(action::send_now{});
        return;
    }
    server.successes += it.counts.requests - it.counts.slow;
    server.slow += it.counts.slow;
}

void pool_coordinator::fill(
    absl::Time now, const core::instance_id& peer, pool_heartbeat& it)
{
    if (options_.local_ejection) {
        return;
    }
    it.lease_request = lease_.request();
    it.lease_grant = lease_.grant_for(now, peer);
    if (!is_coordinator(now)) {
        return;
    }
    ejection_set set;
    set.valid_for = lease_.held_until() - now;
    set.servers = ejected_by_severity();
    for (const auto& [id, at] : ejected_) {
        if (at.in_probation) {
            set.probation.push_back(id);
        }
    }
    set.suspected.assign(kept_for_capacity_.begin(), kept_for_capacity_.end());
    for (const auto& [id, since] : slow_start_since_) {
        set.slow_starts.push_back({id, now - since});
    }
    sent_sets_until_ =
        std::max(sent_sets_until_, now + clock_rate_margin * set.valid_for);
    it.ejections = std::move(set);
}

pool_coordinator::decision pool_coordinator::current(
    absl::Time now,
    const std::vector<upstream::eligible_server>& servers,
    const capacity& highest) const
{
    decision result;
    std::vector<core::server_id> order;
    if (is_coordinator(now)) {
        order = ejected_by_severity();
        result.suspected = kept_for_capacity_;
        for (const auto& [id, it] : ejected_) {
            if (it.in_probation) {
                result.probation.insert(id);
            }
        }
        for (const auto& [id, since] : slow_start_since_) {
            result.slow_start[id] = slow_start_fraction(now, id);
        }
    } else if (followed_ && now < followed_->expiry) {
        order = followed_->set.servers;
        result.probation.insert(
            followed_->set.probation.begin(), followed_->set.probation.end());
        result.suspected.insert(
            followed_->set.suspected.begin(), followed_->set.suspected.end());
        for (const auto& it : followed_->set.slow_starts) {
            const auto age = it.age + (now - followed_->received);
            result.slow_start[it.server] =
                std::clamp(absl::FDivDuration(age, options_.slow_start), 0.0, 1.0);
        }
    } else if (followed_ && now - followed_->received < last_set_retention) {
        result.suspected.insert(
            followed_->set.servers.begin(), followed_->set.servers.end());
    }
    for (const auto& id : order) {
        result.ejected.insert(id);
        const auto remaining = capacity_without(
            now, servers, [&](const auto& it) { return result.ejected.contains(it); });
        if (!meets_minimum(remaining, highest)) {
            result.ejected.erase(id);
            break;
        }
    }
    for (const auto& id : order) {
        if (!result.ejected.contains(id)) {
            result.probation.erase(id);
            result.suspected.insert(id);
        }
    }
    return result;
}

} // namespace cuminpitch::health
