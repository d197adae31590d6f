#include "entry/listed_servers_priv.hpp"

#include <algorithm>

namespace cuminpitch::entry {

bool listed_servers::update(const request::pool_update& update)
{
    auto& listed = pools_[update.pool];
    const auto same = [](const auto& a, const request::server_view& b) {
        return a.first == b.id && a.second == b.incarnation;
    };
    if (std::equal(
            listed.begin(),
            listed.end(),
            update.servers.begin(),
            update.servers.end(),
            same)) {
        return false;
    }
    listed.clear();
    for (const auto& it : update.servers) {
        listed.emplace_back(it.id, it.incarnation);
    }
    return true;
}

std::optional<std::uint64_t> listed_servers::incarnation(
    const core::pool_id& pool, const core::server_id& server) const
{
    const auto listed = pools_.find(pool);
    if (listed == pools_.end()) {
        return std::nullopt;
    }
    const auto found =
        std::find_if(listed->second.begin(), listed->second.end(), [&](const auto& it) {
            return it.first == server;
        });
    return found == listed->second.end() ? std::nullopt : std::optional(found->second);
}

} // namespace cuminpitch::entry
