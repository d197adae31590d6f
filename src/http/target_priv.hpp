#pragma once

#include "cuminpitch/http/message.hpp"

namespace cuminpitch::http {

/// Sets path and query from the target. An absolute target ("http://host/path") is
/// reduced to path and query, and its host replaces the Host header (RFC 9112, 3.2.2).
/// Returns false if the target is not a path, nor "*" of an OPTIONS request.
bool split_target(request& it);

} // namespace cuminpitch::http
