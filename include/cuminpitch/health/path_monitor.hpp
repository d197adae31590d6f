#pragma once

#include "cuminpitch/core/ids.hpp"

#include <absl/time/time.h>

#include <cstddef>
#include <deque>

namespace cuminpitch::health {

struct path_monitor_options
{
    absl::Duration window = absl::Seconds(3);
    /// The fault is attributed to this entry if at least this fraction of the attempts
    /// in the window failed with a connection timeout. A path that loses 30% of the
    /// packets prevents half of the connections.
    double impaired_fraction = 0.25;
    std::size_t min_timeouts = 4;
    std::size_t min_servers = 3; ///< Servers with at least one timeout.
    /// How long the path counts as impaired after the last detection. Callers keep the
    /// response that names other entries for about as long.
    absl::Duration impaired_duration = absl::Seconds(4);
};

/// Detects packet loss on this entry's network path, by connection timeouts at several
/// servers. Servers that are down are avoided after one attempt each, so they soon make
/// up a negligible fraction of the attempts.
class path_monitor
{
public:
    explicit path_monitor(path_monitor_options options = {}) : options_(options) {}

    void count(absl::Time now, const core::server_id& server, bool timed_out);
    /// Counts the path as impaired because it is lost.
    void set_lost(absl::Time now) { impaired_until_ = now + options_.impaired_duration; }
    bool is_impaired(absl::Time now) const { return now < impaired_until_; }

private:
    struct attempt
    {
        absl::Time time;
        core::server_id server;
        bool timed_out = false;
    };

    path_monitor_options options_;
    std::deque<attempt> attempts_;
    absl::Time impaired_until_ = absl::InfinitePast();
};

} // namespace cuminpitch::health
