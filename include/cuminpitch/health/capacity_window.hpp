#pragma once

#include "cuminpitch/health/pool_heartbeat.hpp"

#include <absl/container/btree_map.h>

#include <vector>

namespace cuminpitch::health {

/// Serving capacity of a pool. A server that is warming up counts in part.
struct capacity
{
    double slots = 0;
    double servers = 0;
};

/// Highest capacity of a pool within a sliding time window, as observed by this entry or
/// reported by its peers. Samples are kept in buckets, so one may count for up to 5%
/// longer than the window.
class capacity_window
{
public:
    explicit capacity_window(absl::Duration length);

    void add(absl::Time at, const capacity& it);
    capacity highest(absl::Time now) const;

    /// Samples within the window, newest first. Each exceeds all newer ones in slots or
    /// in servers.
    std::vector<capacity_sample> samples(absl::Time now) const;

private:
    struct bucket
    {
        absl::Time newest = absl::InfinitePast();
        capacity highest;
    };

    absl::Duration length_;
    absl::Duration width_;
    absl::btree_map<std::int64_t, bucket> buckets_;
};

} // namespace cuminpitch::health
