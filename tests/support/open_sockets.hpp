#pragma once

#include <cstdint>
#include <vector>

namespace cuminpitch::testing {

/// Descriptors of the TCP connections of this process that it made to, or accepted at, a
/// port.
std::vector<int> connected_to(std::uint16_t peer_port);
std::vector<int> accepted_at(std::uint16_t own_port);

/// Value of an integer socket option; -1 if it can't be read.
int socket_option(int fd, int level, int name);

} // namespace cuminpitch::testing
