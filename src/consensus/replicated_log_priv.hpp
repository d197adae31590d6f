#pragma once

#include "cuminpitch/consensus/entry.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace cuminpitch::consensus {

/// The log of one replica in memory: the last snapshot, the entries after it, and the
/// entries before its end that are still kept.
class replicated_log
{
public:
    /// Sets the whole content. Returns false if the entries are inconsistent or there is
    /// a gap between them and the snapshot. Drops all entries if they neither follow the
    /// snapshot directly nor contain its last entry.
    bool assign(std::optional<snapshot> base, std::vector<entry> entries);

    core::log_index last_index() const;
    core::term last_term() const;
    /// Returns the term of the entry at the index. Empty if the index is after the end,
    /// or before the snapshot's end and no longer kept.
    std::optional<core::term> term_at(core::log_index index) const;
    /// Returns null if the log has no entry at the index.
    const entry* find(core::log_index index) const;
    /// Returns the entries from `first` on, within both limits. The first one is returned
    /// even if it is larger than `max_bytes`.
    std::vector<entry>
    slice(core::log_index first, std::size_t max_entries, std::size_t max_bytes) const;

    /// Returns the size in bytes of the entries after `after` up to `last`, as far as
    /// they are in the log.
    std::size_t bytes_between(core::log_index after, core::log_index last) const;
    /// Returns the size in bytes of all entries.
    std::size_t bytes() const;

    /// Appends the entry after removing all entries at or after its index. There must be
    /// no gap before it.
    void put(entry it);
    /// Replaces the snapshot. If the log contains the snapshot's last entry, keeps the
    /// entries from `first_kept` on and all after the snapshot; otherwise drops all
    /// entries. Returns the kept entries.
    std::vector<entry> compact(snapshot base, core::log_index first_kept);

    const std::optional<snapshot>& base() const { return base_; }
    /// Returns the index of the snapshot's last entry, or 0 without a snapshot.
    core::log_index base_index() const;
    /// Returns the newest member set at or before the index.
    member_set members_at(core::log_index index) const;
    /// Returns the index of the entry with the newest member set, or that of the
    /// snapshot's last entry if there is none after it.
    core::log_index members_index() const;

private:
    core::log_index first_index() const;

    struct stored_entry
    {
        consensus::entry entry;
        std::uint64_t bytes_before = 0; ///< Size of all earlier entries.
    };

    void append(entry it);
    std::uint64_t end_bytes() const;

    std::optional<snapshot> base_;
    std::deque<stored_entry> entries_;
};

/// Returns the approximate size of an entry in a message in bytes.
std::size_t size_of(const entry& it);

} // namespace cuminpitch::consensus
