#pragma once

#include "cuminpitch/core/ids.hpp"

#include <cstdint>
#include <vector>

namespace cuminpitch::entry {

/// This entry's share of the slots of a server. The shares of all entries are whole
/// numbers and add up to `slots`. The remainder is rotated by a hash of the server id, so
/// that it does not always go to the same entries. `live` must be sorted; the share is 0
/// if it does not contain `self`.
std::uint32_t slot_share(
    std::uint32_t slots,
    const core::server_id& server,
    const std::vector<core::instance_id>& live,
    const core::instance_id& self);

} // namespace cuminpitch::entry
