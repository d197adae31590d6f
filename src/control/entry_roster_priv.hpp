#pragma once

#include "cuminpitch/control/sync.hpp"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <cstddef>
#include <vector>

namespace cuminpitch::control {

/// The entries that make themselves known to this control instance, for callers that ask
/// where to connect.
class entry_roster
{
public:
    void receive(absl::Time now, const presence& it);

    /// Up to `most` ready entries heard from within `timeout`: those of the caller's
    /// failure domain, or of all if it has none; impaired ones only if there are no
    /// others. The choice is the same at each control
    /// instance and changes little when an entry comes or goes, so that few entries carry
    /// the load of a domain and know what they have sent to its servers.
    std::vector<entry_record> choose(
        absl::Time now,
        const core::failure_domain_id& caller_domain,
        std::size_t most,
        absl::Duration timeout) const;

private:
    struct entry
    {
        entry_record record;
        std::uint64_t incarnation = 0;
        bool ready = false;
        bool impaired = false;
        absl::Time heard;
    };

    absl::btree_map<core::instance_id, entry> entries_;
};

} // namespace cuminpitch::control
