#pragma once

#include "cuminpitch/control/fleet_view.hpp"
#include "cuminpitch/control/sync.hpp"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/time/time.h>

#include <vector>

namespace cuminpitch::entry {

/// Relays failures and successes of servers that entries of other failure domains
/// observed to the entries of this failure domain. Each entry reports all of them to one
/// entry in each other domain, so that the number of messages grows with the entries of a
/// domain and not with those of the fleet.
class failure_relay
{
public:
    explicit failure_relay(control::entry_record self) : self_(std::move(self)) {}

    /// The entry in each other failure domain that receives the evidence of this one.
    absl::btree_set<core::instance_id> relay_targets(
        const absl::btree_map<core::instance_id, control::entry_record>& entries) const;

    /// Stores the evidence of an entry of `domain` for relaying, except what is in
    /// `reported_directly`, which all entries of this domain receive from the
    /// reporter.
    void collect(
        const core::failure_domain_id& domain,
        const control::pool_evidence& evidence,
        const control::pool_evidence& reported_directly);

    /// Removes and returns the evidence to relay, if it is due.
    std::vector<control::pool_evidence> take_due(absl::Time now);

private:
    using server_counts = absl::btree_map<core::server_id, std::uint32_t>;
    struct pending
    {
        server_counts failures;
        server_counts successes;
    };

    control::entry_record self_;
    absl::btree_map<core::pool_id, pending> pending_;
    absl::Time next_relay_ = absl::InfinitePast();
};

} // namespace cuminpitch::entry
