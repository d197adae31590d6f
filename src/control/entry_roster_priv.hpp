#pragma once

#include "cuminpitch/control/sync.hpp"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace cuminpitch::control {

/// Determines how many entries an answer names to a caller.
struct entry_demand
{
    std::size_t min_count = 1;       ///< Minimum, also with few servers.
    std::size_t max_count = 1;       ///< Maximum in one answer.
    std::size_t slots = 0;           ///< Total slots of all servers.
    std::size_t slots_per_entry = 0; ///< Slots one entry can use; 0: no limit.
};

/// Returns the number of entries to name. With few entries each knows more of the load on
/// a server, but the capacity of one entry is limited.
std::size_t entries_to_name(const entry_demand& it, std::size_t domains);

/// The entries that send their presence to this control instance, from which callers are
/// told where to connect.
class entry_roster
{
public:
    void receive(absl::Time now, const presence& it);

    /// Returns up to `max_count` ready entries heard from within `timeout`: those of the
    /// caller's failure domain, or of all domains if it has none. Impaired entries are
    /// returned only if there are no others. The choice is the same at each control
    /// instance and changes little when an entry joins or leaves, so that few entries
    /// carry the load of a domain and know what they have sent to its servers.
    std::vector<entry_record> choose(
        absl::Time now,
        const core::failure_domain_id& caller_domain,
        std::size_t max_count,
        absl::Duration timeout) const;
    /// Number of failure domains with a ready entry heard from within `timeout`.
    std::size_t domains(absl::Time now, absl::Duration timeout) const;
    /// Mean number of server slots that such an entry can keep busy. Empty if none says.
    std::optional<std::size_t>
    slots_per_entry(absl::Time now, absl::Duration timeout) const;

private:
    struct entry
    {
        entry_record record;
        std::uint64_t incarnation = 0;
        bool ready = false;
        bool impaired = false;
        std::uint32_t slots = 0;
        absl::Time last_heard;

        bool is_usable(absl::Time now, absl::Duration timeout) const
        {
            return ready && now - last_heard <= timeout;
        }
    };

    absl::btree_map<core::instance_id, entry> entries_;
};

} // namespace cuminpitch::control
