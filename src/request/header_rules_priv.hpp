#pragma once

#include "cuminpitch/http/message.hpp"
#include "cuminpitch/request/dialect.hpp"

#include <absl/time/time.h>

#include <optional>
#include <string>
#include <string_view>

namespace cuminpitch::request {

inline constexpr std::string_view hop_header = "Cuminpitch-Hop";
/// Number of servers to which a forwarded request may still be sent.
inline constexpr std::string_view attempts_header = "Cuminpitch-Attempts-Left";
/// Revision of the declarations that the entry must have to which a request is forwarded.
inline constexpr std::string_view revision_header = "Cuminpitch-Revision";
inline constexpr std::string_view caller_header = "Cuminpitch-Caller";

/// Returns the headers without the hop-by-hop ones (RFC 9110, 7.6.1) and without those
/// that frame the body.
http::headers end_to_end_headers(const http::headers& it);

/// Removes the response headers that only entries may set: verdict, reason and `not_run`.
void strip_fleet_headers(http::headers& it, const dialect& names);

/// Returns the key in the key header, which must be there once, as the scheme of the
/// dialect, spaces and the key. The case of the scheme doesn't matter.
std::optional<std::string> read_key(const http::headers& it, const dialect& names);

enum class deadline_kind
{
    absent,
    valid,
    malformed
};

struct deadline_value
{
    deadline_kind kind = deadline_kind::absent;
    absl::Duration remaining;
};

/// Parses the header `name` as a number of milliseconds. Accepts decimal digits only.
deadline_value read_deadline(const http::headers& it, const std::string& name);

} // namespace cuminpitch::request
