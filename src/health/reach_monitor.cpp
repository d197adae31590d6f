#include "cuminpitch/health/reach_monitor.hpp"

#include <algorithm>

namespace cuminpitch::health {

void reach_monitor::set_servers(const std::vector<core::server_id>& servers)
{
    size_ = servers.size();
    absl::erase_if(failures_, [&](const auto& it) {
        return !std::binary_search(servers.begin(), servers.end(), it.first);
    });
}

void reach_monitor::mark_lost(absl::Time now)
{
    if (is_lost_) {
        return;
    }
    is_lost_ = true;
    contacts_ = 0;
    const bool is_relapse = now - recovered_ < options_.relapse_window;
    hold_ =
        is_relapse
            ? std::clamp(2 * hold_, options_.min_relapse_hold, options_.max_relapse_hold)
            : absl::ZeroDuration();
}

void reach_monitor::count_connected(absl::Time now, absl::Time began)
{
    last_connected_ = std::max(last_connected_, began);
    if (!is_lost_) {
        absl::erase_if(
            failures_, [&](const auto& it) { return it.second.began < began; });
        return;
    }
    if (began > last_failed_ && ++contacts_ >= options_.contacts_to_recover &&
        began - last_failed_ >= hold_) {
        is_lost_ = false;
        recovered_ = now;
        failures_.clear();
    }
}

void reach_monitor::count_answered(absl::Time now)
{
    if (!is_lost_) {
        absl::erase_if(failures_, [&](const auto& it) {
            return !it.second.is_connect && it.second.began < now;
        });
    }
}

void reach_monitor::count_not_connected(
    absl::Time now, absl::Time began, const core::server_id& server)
{
    count_failure(now, began, server, true);
}

void reach_monitor::count_broken(
    absl::Time now, absl::Time began, const core::server_id& server)
{
    count_failure(now, began, server, false);
}

void reach_monitor::count_failure(
    absl::Time now, absl::Time began, const core::server_id& server, bool is_connect)
{
    if (is_connect && began <= last_connected_ && !is_lost_) {
        return; // A later attempt has made a connection: the fault is the server's.
    }
    const auto [it, is_new] =
        failures_.try_emplace(server, failure{began, now, is_connect});
    it->second.last = now;
    it->second.is_connect = it->second.is_connect || is_connect;
    last_failed_ = std::max(last_failed_, now);
    contacts_ = 0;
    const auto enough = std::min(options_.min_servers, std::max<std::size_t>(1, size_));
    if (failures_to_connect() >= enough) {
        mark_lost(now);
    }
}

void reach_monitor::tick(absl::Time now)
{
    if (!is_lost_) {
        absl::erase_if(failures_, [&](const auto& it) {
            return now - it.second.last > options_.failure_memory;
        });
    }
}

std::vector<core::server_id> reach_monitor::failed_servers() const
{
    std::vector<core::server_id> out;
    out.reserve(failures_.size());
    for (const auto& [server, it] : failures_) {
        out.push_back(server);
    }
    return out;
}

std::size_t reach_monitor::failures_to_connect() const
{
    return static_cast<std::size_t>(
        std::count_if(failures_.begin(), failures_.end(), [](const auto& it) {
            return it.second.is_connect;
        }));
}

absl::Time reach_monitor::first_failure() const
{
    absl::Time out = absl::InfiniteFuture();
    for (const auto& [server, it] : failures_) {
        out = std::min(out, it.began);
    }
    return out;
}

} // namespace cuminpitch::health
