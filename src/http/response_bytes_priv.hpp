#pragma once

#include "cuminpitch/http/message.hpp"

#include <string>

namespace cuminpitch::http {

/// Status line and headers of a response as sent, with the empty line.
std::string response_head_bytes(const response& it, bool is_head);

/// Adds "Connection: close" to a head as sent. Returns the number of added bytes.
std::size_t add_close_field(std::string& head);

/// False if a response with this status, or to a HEAD request, ends with its headers.
bool can_have_body(int status, bool is_head);

/// True if the header Connection contains "close".
bool asks_to_close(const headers& fields);

} // namespace cuminpitch::http
