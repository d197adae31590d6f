#pragma once

#include "cuminpitch/consensus/message.hpp"
#include "cuminpitch/core/error.hpp"

#include <string>
#include <string_view>

namespace cuminpitch::wire {

/// Encodes the message as a FlatBuffer of schemas/consensus.fbs.
std::string encode(const cuminpitch::consensus::envelope& envelope);

/// Returns errc::malformed_message if verification fails, the group or an id is empty, an
/// endpoint or a role is invalid, entries aren't consecutive or their terms decrease, or
/// a part lies outside of its snapshot.
core::result<cuminpitch::consensus::envelope> decode_envelope(std::string_view payload);

} // namespace cuminpitch::wire
