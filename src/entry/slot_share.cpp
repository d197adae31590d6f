#include "entry/slot_share_priv.hpp"

#include "cuminpitch/core/hash.hpp"

#include <algorithm>

namespace cuminpitch::entry {

std::uint32_t slot_share(
    std::uint32_t slots,
    const core::server_id& server,
    const std::vector<core::instance_id>& live,
    const core::instance_id& self)
{
    const auto it = std::find(live.begin(), live.end(), self);
    if (it == live.end()) {
        return 0;
    }
    const auto n = static_cast<std::uint32_t>(live.size());
    const auto position = static_cast<std::uint32_t>(it - live.begin());
    const auto first = static_cast<std::uint32_t>(core::hash64(server.str()) % n);
    const std::uint32_t offset = (position + n - first) % n;
    return slots / n + (offset < slots % n ? 1 : 0);
}

} // namespace cuminpitch::entry
