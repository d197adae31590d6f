#include "control/deferred_announcements_priv.hpp"

#include <tuple>

namespace cuminpitch::control {
namespace {

auto age_order(const server_record& it)
{
    const auto& a = it.announcement;
    return std::make_tuple(a.incarnation, a.state, a.sequence);
}

} // namespace

bool deferred_announcements::hold(absl::Time now, const server_record& it)
{
    const auto& id = it.announcement.server;
    const auto found = held_.find(id);
    if (found == held_.end()) {
        if (held_.size() < max_servers) {
            held_.emplace(id, held_announcement{it, now + lifetime});
        }
        return true;
    }
    if (age_order(found->second.record) <= age_order(it)) {
        found->second = {it, now + lifetime};
    }
    return false;
}

std::vector<server_record> deferred_announcements::take_declared(
    absl::Time now, absl::FunctionRef<bool(const core::pool_id&)> is_declared)
{
    std::vector<server_record> out;
    absl::erase_if(held_, [&](auto& it) {
        auto& [record, expires_at] = it.second;
        if (now >= expires_at) {
            return true;
        }
        if (!is_declared(record.pool)) {
            return false;
        }
        out.push_back(std::move(record));
        return true;
    });
    return out;
}

} // namespace cuminpitch::control
