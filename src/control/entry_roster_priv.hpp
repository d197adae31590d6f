#pragma once

#include "cuminpitch/control/sync.hpp"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <cstddef>
#include <vector>

namespace cuminpitch::control {

/// How many entries of each failure domain callers are told to use.
struct entry_demand
{
    std::size_t least = 1;           ///< Even for few servers.
    std::size_t most = 1;            ///< What an answer may hold.
    std::size_t slots = 0;           ///< Requests that all servers can work on at once.
    std::size_t slots_per_entry = 0; ///< That one entry can keep in use; 0: all of them.
};

/// Few entries know more of what others have sent to a server, but one entry can carry
/// only so many requests.
std::size_t entries_to_name(const entry_demand& it, std::size_t domains);

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
    /// Failure domains with a ready entry heard from within `timeout`.
    std::size_t domains(absl::Time now, absl::Duration timeout) const;

private:
    struct entry
    {
        entry_record record;
        std::uint64_t incarnation = 0;
        bool ready = false;
        bool impaired = false;
        absl::Time heard;

        bool is_usable(absl::Time now, absl::Duration timeout) const
        {
            return ready && now - heard <= timeout;
        }
    };

    absl::btree_map<core::instance_id, entry> entries_;
};

} // namespace cuminpitch::control
