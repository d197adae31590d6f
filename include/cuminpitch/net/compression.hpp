#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace cuminpitch::net {

/// 4 bytes of length before compression, little-endian, and a zlib stream. Empty if zlib
/// fails for lack of memory.
std::string compress(std::string_view bytes);

/// Empty if the bytes are not from compress(), or would be longer than `limit`.
std::optional<std::string> expand(std::string_view bytes, std::size_t limit);

} // namespace cuminpitch::net
