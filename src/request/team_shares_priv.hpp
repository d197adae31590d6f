#pragma once

#include "cuminpitch/core/ids.hpp"

#include <absl/container/btree_map.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace cuminpitch::request {

/// Divides the in-flight limit of an entry among teams. A fixed share for each team would
/// leave capacity unused, and a common limit alone would let one team with slow servers
/// take all of it. So a team may use what others leave, up to a cap. If the entry is
/// full, a team below an equal share gets its share back by evicting queued requests of
/// others.
class team_shares
{
public:
    team_shares(std::size_t limit, std::uint32_t percent)
        : limit_(limit), percent_(percent)
    {
    }

    enum class admission
    {
        admit,
        above_cap,
        full,
        /// The entry is full, but the team is below an equal share: a queued request of
        /// another team has to be evicted.
        full_below_share,
    };

    /// `served` is the number of teams with pools at this entry.
    admission check(const core::team_id& team, std::size_t served) const
    {
        const std::size_t own = held(team);
        if (served > 1 && own >= std::max<std::size_t>(1, limit_ * percent_ / 100)) {
            return admission::above_cap;
        }
        if (total_ < limit_) {
            return admission::admit;
        }
        const std::size_t active = held_.size() + (own == 0 ? 1 : 0);
        return own < limit_ / active ? admission::full_below_share : admission::full;
    }

    /// The team that holds the most requests.
    std::optional<core::team_id> largest() const
    {
        const auto it = std::max_element(
            held_.begin(), held_.end(), [](const auto& a, const auto& b) {
                return a.second < b.second;
            });
        return it == held_.end() ? std::nullopt : std::optional(it->first);
    }

    void add(const core::team_id& team)
    {
        ++held_[team];
        ++total_;
    }

    void remove(const core::team_id& team)
    {
        const auto it = held_.find(team);
        --total_;
        if (--it->second == 0) {
            held_.erase(it);
        }
    }

private:
    std::size_t held(const core::team_id& team) const
    {
        const auto it = held_.find(team);
        return it == held_.end() ? 0 : it->second;
    }

    const std::size_t limit_;
    const std::uint32_t percent_;
    std::size_t total_ = 0;
    absl::btree_map<core::team_id, std::size_t> held_;
};

} // namespace cuminpitch::request
