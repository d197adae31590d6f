#pragma once

#include <string_view>

namespace cuminpitch::wire {

/// First bytes of a compressed command. A FlatBuffer begins with the offset of its root,
/// which would lie beyond the largest buffer.
inline constexpr std::string_view packed_command_mark = "\xffZC\xff";

} // namespace cuminpitch::wire
