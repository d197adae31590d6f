#include "entry/suspicion_bound_priv.hpp"

#include <algorithm>
#include <cstddef>

namespace cuminpitch::entry {

void bound_suspicion(
    std::vector<request::server_view>& servers,
    const std::vector<absl::Time>& last_failures,
    const config::pool_settings& declared,
    double part)
{
    const auto capacity = [&](const request::server_view& it) {
        return declared.min_healthy_servers ? 1.0 : it.slots;
    };
    std::vector<std::size_t> suspected;
    double total = 0;
    double unsuspected = 0;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        total += capacity(servers[i]);
        if (servers[i].suspicion > 0) {
            suspected.push_back(i);
        } else {
            unsuspected += capacity(servers[i]);
        }
    }
    const double minimum = part * (declared.min_healthy_servers
                                       ? *declared.min_healthy_servers
                                       : total * declared.min_healthy_percent / 100);
    std::sort(suspected.begin(), suspected.end(), [&](std::size_t a, std::size_t b) {
        return last_failures[a] < last_failures[b];
    });
    for (std::size_t n = 0; n + 1 < suspected.size() && unsuspected < minimum; ++n) {
        auto& it = servers[suspected[n]];
        it.probing_suspicion = 0;
        unsuspected += capacity(it);
    }
}

} // namespace cuminpitch::entry
