#include "entry/shared_pool_priv.hpp"

#include "entry/preferred_servers_priv.hpp"
#include "entry/suspicion_bound_priv.hpp"

#include <algorithm>
#include <utility>

namespace cuminpitch::entry {
namespace {

/// Penalty of a server during its cold start, when its requests take about twice as long.
constexpr double cold_start_penalty = 0.5;
/// A request takes about 300 ms at a server, so occupancy reports at this interval are
/// mostly accurate.
constexpr absl::Duration min_occupancy_interval = absl::Milliseconds(100);
/// Shorter than `occupancy_timeout`, so that a delayed report arrives before the previous
/// one expires.
constexpr absl::Duration max_occupancy_interval = absl::Milliseconds(800);
/// Maximum number of occupancy reports that an entry sends per second, as long as the
/// interval is below its maximum. Sending 40 reports and receiving 40 takes about 2.5 ms
/// of CPU time.
constexpr double max_occupancy_reports_per_s = 40;
/// Average time between two requests that take the same slot, at a server where half of
/// the slots are in use. A report is half an interval old on average.
constexpr absl::Duration slot_turnover_time = absl::Milliseconds(800);
/// A connection that was made this short a time ago shows that the path still works.
constexpr absl::Duration recent_contact_time = absl::Milliseconds(100);
/// Share of attempts that servers reject from which on suspicions leave all of the
/// declared minimum of healthy capacity. Below it, avoiding servers costs no room.
constexpr double rejected_share_of_full_bound = 0.1;
/// Successes are reported while the suspicion of their server is at least this high.
constexpr double min_reported_suspicion = 0.1;
/// An unconfirmed failure is discarded after this time.
constexpr absl::Duration confirmation_timeout = absl::Seconds(2);

} // namespace

absl::Duration occupancy_interval(std::size_t peers)
{
    return std::clamp(
        absl::Seconds(static_cast<double>(peers) / max_occupancy_reports_per_s),
        min_occupancy_interval,
        max_occupancy_interval);
}

double remote_in_flight_weight(absl::Duration occupancy_interval)
{
    return std::max(
        0.0, 1 - absl::FDivDuration(occupancy_interval, slot_turnover_time) / 2);
}

shared_pool::shared_pool(
    core::pool_id id, core::failure_domain_id own_domain, core::instance_id self)
    : id_(std::move(id)), self_(std::move(self)), own_domain_(std::move(own_domain))
{
}

bool shared_pool::set_view(absl::Time now, const control::fleet_view& view)
{
    const auto& declared = view.declarations->pools.at(id_);
    revision_ = view.revision;
    const bool is_same = applied_servers_ == view.servers && settings_ == declared;
    settings_ = declared;
    domain_entries_.clear();
    for (const auto& [id, record] : view.entries) {
        if (record.failure_domain == own_domain_) {
            domain_entries_.push_back(id);
        }
    }
    if (applied_servers_ == view.servers) {
        return update_preferred() || !is_same;
    }
    applied_servers_ = view.servers;
    suspicion_.remove_decayed(now);
    absl::btree_map<core::server_id, server> next;
    if (const auto listed = applied_servers_->find(id_);
        listed != applied_servers_->end()) {
        for (const auto& record : listed->second) {
            const auto& announced = record.announcement;
            if (announced.state != upstream::availability::active) {
                continue;
            }
            const auto known = servers_.find(announced.server);
            const bool is_same_server =
                known != servers_.end() &&
                known->second.record.announcement.incarnation == announced.incarnation &&
                known->second.record.announcement.address == announced.address;
            auto& it = next[announced.server];
            it = is_same_server ? known->second : server{record, now, false};
            it.record = record;
        }
    }
    servers_ = std::move(next);
    update_preferred();
    return true;
}

bool shared_pool::set_active(absl::btree_set<core::instance_id> entries)
{
    if (entries == active_) {
        return false;
    }
    active_ = std::move(entries);
    return update_preferred();
}

bool shared_pool::update_preferred()
{
    auto entries = domain_entries_;
    if (!active_.empty()) {
        std::erase_if(entries, [&](const core::instance_id& it) {
            return it != self_ && !active_.contains(it);
        });
    }
    std::vector<core::server_id> local_servers;
    for (const auto& [id, it] : servers_) {
        if (it.record.announcement.failure_domain == own_domain_) {
            local_servers.push_back(id);
        }
    }
    auto next = preferred_servers(local_servers, std::move(entries), self_);
    const bool differs = next != preferred_;
    preferred_ = std::move(next);
    return differs;
}

bool shared_pool::is_cold(absl::Time now, const server& candidate) const
{
    return now - candidate.first_seen < candidate.record.announcement.cold_start;
}

request::pool_update shared_pool::update(absl::Time now) const
{
    request::pool_update out;
    out.pool = id_;
    out.settings = settings_;
    out.is_assigned = true;
    out.revision = revision_;
    out.remote_in_flight_weight = remote_in_flight_weight(occupancy_interval_);
    absl::btree_map<core::server_id, std::uint32_t> remote_in_flight;
    for (const auto& [entry, report] : peer_occupancy_) {
        if (now - report.received <= occupancy_timeout) {
            for (const auto& it : report.in_flight) {
                remote_in_flight[it.server] += it.count;
            }
        }
    }
    std::vector<absl::Time> last_failures;
    for (const auto& [id, it] : servers_) {
        if (it.is_replaced) {
            continue;
        }
        request::server_view view;
        view.id = id;
        view.at = it.record.announcement.address;
        view.slots = std::max<std::uint32_t>(1, it.record.announcement.slots);
        view.in_other_domain = it.record.announcement.failure_domain != own_domain_;
        view.is_preferred = view.in_other_domain || preferred_.contains(id);
        view.penalty = is_cold(now, it) ? cold_start_penalty : 0;
        view.suspicion = suspicion_.level(now, id);
        view.incarnation = it.record.announcement.incarnation;
        if (const auto found = remote_in_flight.find(id);
            found != remote_in_flight.end()) {
            view.remote_in_flight = found->second;
        }
        out.servers.push_back(std::move(view));
        last_failures.push_back(suspicion_.last_raised(id));
    }
    const double part =
        std::min(1.0, rejections_.share(now) / rejected_share_of_full_bound);
    bound_suspicion(out.servers, last_failures, settings_, part);
    return out;
}

void shared_pool::observe(absl::Time now, const request::observation& observed)
{
    using kind = request::observation::kind;
    confirm_failures(now, observed);
    if (observed.is_misdirected) {
        if (const auto found = servers_.find(observed.server); found != servers_.end()) {
            found->second.is_replaced = true;
        }
        return;
    }
    switch (observed.what) {
    case kind::success:
        rejections_.count(now, false);
        count_success(now, observed);
        break;
    case kind::overdue:
    case kind::failure:
        rejections_.count(now, false);
        suspicion_.count_failure(now, observed.server);
        count_failure(now, observed);
        break;
    case kind::shed:
        rejections_.count(now, true);
        suspicion_.count_shed(now, observed.server);
        break;
    case kind::none:
        break;
    }
}

void shared_pool::count_success(absl::Time now, const request::observation& observed)
{
    if (suspicion_.level(now, observed.server) < min_reported_suspicion) {
        return;
    }
    // The response also withdraws the report that it was overdue.
    const std::uint32_t n = observed.was_overdue ? 2 : 1;
    for (std::uint32_t i = 0; i < n; ++i) {
        suspicion_.count_success(observed.server);
    }
    const auto unconfirmed = unconfirmed_.find(observed.server);
    if (observed.was_overdue && unconfirmed != unconfirmed_.end()) {
        if (--unconfirmed->second.count == 0) {
            unconfirmed_.erase(unconfirmed);
        }
        return;
    }
    unsent_successes_[observed.server] += n;
}

void shared_pool::count_failure(absl::Time now, const request::observation& observed)
{
    // A network path that loses packets for this entry may work for others.
    if (observed.may_be_path_failure) {
        return;
    }
    const bool is_connect = observed.path == request::path_result::not_connected;
    if (!is_connect && observed.path != request::path_result::broken) {
        ++unsent_failures_[observed.server];
        return;
    }
    auto& it = unconfirmed_[observed.server];
    it.began = is_connect ? now - observed.duration : now;
    it.last = now;
    it.count += 1;
    it.is_connect = it.is_connect || is_connect;
    it.is_recent_contact =
        observed.is_new_connection && observed.duration <= recent_contact_time;
}

void shared_pool::confirm_failures(absl::Time now, const request::observation& observed)
{
    const absl::Time began = now - observed.duration;
    const bool is_answered = observed.path == request::path_result::answered;
    absl::erase_if(unconfirmed_, [&](const auto& each) {
        const auto& [server, it] = each;
        const bool has_connected = observed.is_new_connection && began > it.began;
        const bool has_answered = is_answered && !it.is_connect && now > it.began;
        if (server == observed.server || (!has_connected && !has_answered)) {
            return false;
        }
        unsent_failures_[server] += it.count;
        return true;
    });
}

std::size_t shared_pool::withdraw_unconfirmed()
{
    const std::size_t n = unconfirmed_.size();
    for (const auto& [server, it] : unconfirmed_) {
        suspicion_.clear(server);
    }
    unconfirmed_.clear();
    return n;
}

std::vector<core::server_id> shared_pool::server_ids() const
{
    std::vector<core::server_id> out;
    out.reserve(servers_.size());
    for (const auto& [id, it] : servers_) {
        out.push_back(id);
    }
    return out;
}

std::optional<core::endpoint> shared_pool::address_of(const core::server_id& server) const
{
    const auto found = servers_.find(server);
    return found == servers_.end()
               ? std::nullopt
               : std::optional(found->second.record.announcement.address);
}

void shared_pool::receive(
    absl::Time now, const core::endpoint& from, const control::pool_evidence& evidence)
{
    if (evidence.in_flight) {
        peer_occupancy_[from] = {now, *evidence.in_flight};
    }
    for (const auto& failures : evidence.failures) {
        for (std::uint32_t n = 0; n < failures.count; ++n) {
            suspicion_.count_failure(now, failures.server);
        }
    }
    for (const auto& successes : evidence.successes) {
        for (std::uint32_t n = 0; n < successes.count; ++n) {
            suspicion_.count_success(successes.server);
        }
    }
}

std::optional<control::pool_evidence> shared_pool::take_evidence(absl::Time now)
{
    if (unconfirmed_.size() == 1 && unconfirmed_.begin()->second.is_recent_contact) {
        const auto& [server, it] = *unconfirmed_.begin();
        unsent_failures_[server] += it.count;
        unconfirmed_.clear();
    }
    absl::erase_if(unconfirmed_, [&](const auto& it) {
        return now - it.second.last > confirmation_timeout;
    });
    if (unsent_failures_.empty() && unsent_successes_.empty()) {
        return std::nullopt;
    }
    control::pool_evidence out;
    out.pool = id_;
    for (const auto& [server, count] : std::exchange(unsent_failures_, {})) {
        out.failures.push_back({server, count});
    }
    for (const auto& [server, count] : std::exchange(unsent_successes_, {})) {
        out.successes.push_back({server, count});
    }
    return out;
}

control::pool_evidence shared_pool::evidence_in(
    const core::failure_domain_id& domain, const control::pool_evidence& all) const
{
    const auto is_outside = [&](const control::pool_evidence::server_count& it) {
        const auto known = servers_.find(it.server);
        return known == servers_.end() ||
               known->second.record.announcement.failure_domain != domain;
    };
    control::pool_evidence out;
    out.pool = all.pool;
    out.failures = all.failures;
    out.successes = all.successes;
    std::erase_if(out.failures, is_outside);
    std::erase_if(out.successes, is_outside);
    return out;
}

bool shared_pool::has_decaying_penalties(absl::Time now) const
{
    return suspicion_.any_suspected(now) ||
           std::any_of(servers_.begin(), servers_.end(), [&](const auto& it) {
               return is_cold(now, it.second);
           });
}

} // namespace cuminpitch::entry
