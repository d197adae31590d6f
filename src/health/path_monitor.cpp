#include "cuminpitch/health/path_monitor.hpp"

#include <absl/container/flat_hash_set.h>

namespace cuminpitch::health {

void path_monitor::count(absl::Time now, const core::server_id& server, bool timed_out)
{
    attempts_.push_back({now, server, timed_out});
    while (now - attempts_.front().time > options_.window) {
        attempts_.pop_front();
    }
    if (!timed_out) {
        return;
    }
    absl::flat_hash_set<core::server_id> servers;
    std::size_t timeouts = 0;
    for (const auto& it : attempts_) {
        if (it.timed_out) {
            ++timeouts;
            servers.insert(it.server);
        }
    }
    const auto total = static_cast<double>(attempts_.size());
    if (timeouts >= options_.min_timeouts && servers.size() >= options_.min_servers &&
        static_cast<double>(timeouts) >= options_.impaired_fraction * total) {
        impaired_until_ = now + options_.impaired_duration;
    }
}

} // namespace cuminpitch::health
