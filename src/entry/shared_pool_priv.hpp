#pragma once

#include "cuminpitch/control/fleet_view.hpp"
#include "cuminpitch/control/sync.hpp"
#include "cuminpitch/health/suspicion.hpp"
#include "cuminpitch/request/events.hpp"
#include "entry/rejected_share_priv.hpp"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/time/time.h>

#include <optional>
#include <vector>

namespace cuminpitch::entry {

/// Time after which the occupancy reported by another entry, which is its number of
/// requests in flight at each server, expires if it is not reported again.
constexpr absl::Duration occupancy_timeout = absl::Seconds(1);

/// Time between two occupancy reports of this entry to each of `peers` other entries. It
/// grows with the number of peers to bound the CPU time spent on reports.
absl::Duration occupancy_interval(std::size_t peers);

/// Fraction, 0 to 1, of the reported occupancy that is still valid when a request is
/// placed, given the time between two reports.
double remote_in_flight_weight(absl::Duration occupancy_interval);

/// A pool that every entry serves: its servers as listed by control, and what requests at
/// this entry and others have shown about them.
class shared_pool
{
public:
    shared_pool(
        core::pool_id id,
        core::failure_domain_id own_domain,
        core::instance_id self = {});

    /// Applies a fleet view. Returns true if servers, settings or preferred servers
    /// changed.
    bool set_view(absl::Time now, const control::fleet_view& view);

    /// Sets the entries of this failure domain, except this one, that carry requests.
    /// They divide the servers of the domain among themselves; until any is known, all
    /// entries do. Returns true if the set of preferred servers changed.
    bool set_active(absl::btree_set<core::instance_id> entries);

    /// The current state of the pool for the request dispatcher.
    request::pool_update update(absl::Time now) const;
    /// Sets the time between two occupancy reports of another entry.
    void set_occupancy_interval(absl::Duration interval)
    {
        occupancy_interval_ = interval;
    }

    void observe(absl::Time now, const request::observation& observed);
    /// Discards the failures that may be those of this entry's network path, which is
    /// lost. Returns their number.
    std::size_t withdraw_unconfirmed();
    /// Records the failures, successes and occupancy that another entry reported.
    void receive(
        absl::Time now,
        const core::endpoint& from,
        const control::pool_evidence& evidence);
    /// Removes and returns the failures, and the successes of suspected servers, that
    /// this entry has observed since the last call, to be sent to other entries. Empty if
    /// there were none.
    std::optional<control::pool_evidence> take_evidence(absl::Time now);
    /// The subset of the failures and successes in `all` whose servers are in `domain`.
    control::pool_evidence evidence_in(
        const core::failure_domain_id& domain, const control::pool_evidence& all) const;

    /// True if any penalty or suspicion decays, so that the dispatcher needs regular
    /// updates even without an event.
    bool has_decaying_penalties(absl::Time now) const;

    std::size_t size() const { return servers_.size(); }
    std::vector<core::server_id> server_ids() const;
    /// Address of the server, if it is listed.
    std::optional<core::endpoint> address_of(const core::server_id& server) const;
    const config::pool_settings& settings() const { return settings_; }

private:
    struct server
    {
        control::server_record record;
        absl::Time first_seen;
        /// Another server responds at its address. The server counts as gone until it
        /// announces a different incarnation or address.
        bool is_replaced = false;
    };

    void count_success(absl::Time now, const request::observation& observed);
    void count_failure(absl::Time now, const request::observation& observed);
    void confirm_failures(absl::Time now, const request::observation& observed);
    /// Returns true if the set of preferred servers changed.
    bool update_preferred();
    bool is_cold(absl::Time now, const server& candidate) const;

    core::pool_id id_;
    core::instance_id self_;
    core::failure_domain_id own_domain_;
    config::pool_settings settings_;
    absl::Duration occupancy_interval_;
    core::revision revision_;
    std::shared_ptr<const control::pool_servers> applied_servers_;
    absl::btree_map<core::server_id, server> servers_;
    std::vector<core::instance_id> domain_entries_;
    absl::btree_set<core::instance_id> active_;
    absl::btree_set<core::server_id> preferred_;
    health::suspicion suspicion_;
    rejected_share rejections_;
    absl::btree_map<core::server_id, std::uint32_t> unsent_failures_;
    absl::btree_map<core::server_id, std::uint32_t> unsent_successes_;
    /// Failures that a fault of this entry's network path would also cause. They are sent
    /// to other entries once there has been a contact with another server.
    struct unconfirmed_failure
    {
        absl::Time began;
        absl::Time last;
        std::uint32_t count = 0;
        bool is_connect = false;
        /// A connection was made shortly before, so that the path worked then.
        bool is_recent_contact = false;
    };
    absl::btree_map<core::server_id, unconfirmed_failure> unconfirmed_;
    struct occupancy
    {
        absl::Time received;
        std::vector<control::pool_evidence::server_count> in_flight;
    };
    absl::btree_map<core::endpoint, occupancy> peer_occupancy_;
};

} // namespace cuminpitch::entry
