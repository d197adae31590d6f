#pragma once

#include "cuminpitch/control/group_message.hpp"
#include "cuminpitch/core/error.hpp"

#include <string>
#include <string_view>

namespace cuminpitch::wire {

/// Encodes the message as a FlatBuffer of schemas/group.fbs.
std::string encode(const cuminpitch::control::group_message& message);

/// Returns errc::malformed_message if verification fails or an id or endpoint is invalid.
core::result<cuminpitch::control::group_message>
decode_group_message(std::string_view payload);

} // namespace cuminpitch::wire
