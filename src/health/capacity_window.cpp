#include "cuminpitch/health/capacity_window.hpp"

#include <algorithm>

namespace cuminpitch::health {
namespace {

constexpr int buckets_per_window = 20;

void update_maximum(capacity& it, const capacity& sample)
{
    it.slots = std::max(it.slots, sample.slots);
    it.servers = std::max(it.servers, sample.servers);
}

} // namespace

capacity_window::capacity_window(absl::Duration length)
    : length_(length), width_(length / buckets_per_window)
{
}

void capacity_window::add(absl::Time at, const capacity& it)
{
    absl::Duration rest;
    const auto key = absl::IDivDuration(at - absl::UnixEpoch(), width_, &rest);
    auto& into = buckets_[key];
    into.newest = std::max(into.newest, at);
    update_maximum(into.highest, it);
    const auto oldest = buckets_.rbegin()->second.newest - 2 * length_;
    while (buckets_.begin()->second.newest < oldest) {
        buckets_.erase(buckets_.begin());
    }
}

capacity capacity_window::highest(absl::Time now) const
{
    capacity result;
    for (const auto& [key, it] : buckets_) {
        if (now - it.newest <= length_) {
            update_maximum(result, it.highest);
        }
    }
    return result;
}

std::vector<capacity_sample> capacity_window::samples(absl::Time now) const
{
    std::vector<capacity_sample> result;
    capacity newer_maximum;
    for (auto at = buckets_.rbegin(); at != buckets_.rend(); ++at) {
        const auto& it = at->second;
        if (now - it.newest > length_) {
            break;
        }
        if (it.highest.slots > newer_maximum.slots ||
            it.highest.servers > newer_maximum.servers) {
            result.push_back({now - it.newest, it.highest.slots, it.highest.servers});
            update_maximum(newer_maximum, it.highest);
        }
    }
    return result;
}

} // namespace cuminpitch::health
