#pragma once

#include <string_view>

namespace cuminpitch::wire {

/// First bytes of a compressed command. An uncompressed one can't begin with them: a
/// FlatBuffer begins with the offset of its root table, and read as an offset these bytes
/// point beyond the largest possible buffer.
inline constexpr std::string_view packed_command_magic = "\xffZC\xff";

} // namespace cuminpitch::wire
