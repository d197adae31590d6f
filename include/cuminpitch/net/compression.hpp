#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace cuminpitch::net {

/// Returns the uncompressed length as 4 little-endian bytes, followed by a zlib stream.
/// Empty if zlib runs out of memory.
std::string compress(std::string_view bytes);

/// Reverses compress(). Empty if the bytes are malformed or the uncompressed length
/// exceeds `limit`.
std::optional<std::string> decompress(std::string_view bytes, std::size_t limit);

} // namespace cuminpitch::net
