#pragma once

#include "cuminpitch/upstream/announcement.hpp"

#include <absl/container/btree_map.h>

#include <optional>
#include <vector>

namespace cuminpitch::upstream {

/// A backend server that may receive new requests.
struct eligible_server
{
    core::server_id id;
    core::endpoint address;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    std::uint64_t incarnation = 0;
    /// Fraction of the slots to use, 0 to 1; below 1 only during a cold start.
    double ramp = 1;

    double capacity() const { return ramp * slots; }
};

/// The backend servers of one pool as known to one assigned entry. Times are readings of
/// the monotonic clock of this entry.
class registry
{
public:
    /// Echoes of clock readings before `created` belong to another process and are
    /// ignored. `departure` is the time after which an announcement expires.
    registry(absl::Time created, absl::Duration departure);

    void set_departure(absl::Duration departure) { departure_ = departure; }

    /// Records an announcement that arrived from the server itself. `echo` is the clock
    /// reading in the last response of this entry to the server, so the announcement is
    /// at most `now - echo` old. Without a usable echo, its age is unknown: it is
    /// recorded, and the server becomes eligible with its next announcement. Returns
    /// false if a newer announcement is already known.
    bool announce(
        absl::Time now, const announcement& received, std::optional<absl::Time> echo);

    /// Records an announcement that another entry relayed. Its `age` includes the time
    /// since the clock reading that was echoed to the other entry. Returns false if a
    /// newer announcement is already known.
    bool relay(absl::Time now, const relayed_announcement& relayed);

    /// Active servers whose newest announcement has not expired.
    std::vector<eligible_server> eligible(absl::Time now) const;

    /// Announcements to relay to other entries: those of active servers that have not
    /// expired, and departures of the last `departure_relay_time`.
    std::vector<relayed_announcement> to_relay(absl::Time now) const;

    /// The newest announcement of the server, or null if the server is not known.
    const announcement* find(const core::server_id& id) const;

    /// True if the server is known and in its cold start.
    bool is_warming_up(absl::Time now, const core::server_id& id) const;

    /// Removes servers whose newest announcement arrived longer than `record_keep_time`
    /// ago.
    void prune(absl::Time now);

    std::size_t size() const { return servers_.size(); }

private:
    struct record
    {
        announcement newest;
        /// Lower bound of the time when the server sent the newest announcement.
        absl::Time sent = absl::InfinitePast();
        absl::Time active_since;
        absl::Time newest_arrival; ///< When the newest announcement arrived.
    };

    bool apply(
        absl::Time now,
        const announcement& received,
        absl::Time sent,
        absl::Time active_since);
    bool is_fresh(absl::Time now, const record& server) const;
    double ramp(absl::Time now, const record& server) const;

    absl::Time created_;
    absl::Duration departure_;
    absl::btree_map<core::server_id, record> servers_;
};

} // namespace cuminpitch::upstream
