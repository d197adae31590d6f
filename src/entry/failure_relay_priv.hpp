#pragma once

#include "cuminpitch/control/fleet_view.hpp"
#include "cuminpitch/control/sync.hpp"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/time/time.h>

#include <vector>

namespace cuminpitch::entry {

/// Passes failures of servers on that entries of other failure domains saw, to the
/// entries of the own one. Each entry tells one entry of each other domain, so that the
/// words sent grow with the entries of a domain and not with those of the fleet.
class failure_relay
{
public:
    explicit failure_relay(control::entry_record self) : self_(std::move(self)) {}

    /// The entry of each other failure domain that gets this one's words.
    absl::btree_set<core::instance_id> relays(
        const absl::btree_map<core::instance_id, control::entry_record>& entries) const;

    /// Keeps the failures from an entry of `domain`, unless all entries here get them
    /// anyway.
    void hear(
        const core::failure_domain_id& domain,
        const control::pool_evidence& it,
        const std::vector<control::pool_evidence::server_count>& told_directly);

    /// What is due to be passed on.
    std::vector<control::pool_evidence> take(absl::Time now);

private:
    control::entry_record self_;
    absl::btree_map<core::pool_id, absl::btree_map<core::server_id, std::uint32_t>> kept_;
    absl::Time next_ = absl::InfinitePast();
};

} // namespace cuminpitch::entry
