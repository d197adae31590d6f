#pragma once

#include "cuminpitch/core/endpoint.hpp"
#include "cuminpitch/http/message.hpp"
#include "cuminpitch/request/dialect.hpp"

#include <functional>
#include <string>
#include <vector>

namespace cuminpitch::daemon {

/// A platform's HTTP form of requests and of an entry's readiness and directory
/// responses.
struct entry_api
{
    request::dialect dialect;
    /// Path at the readiness address. A GET returns 200 if callers may connect and 503 if
    /// not.
    std::string readiness_path = "/ready";
    /// Path at the directory address. A GET returns the entries that callers should use,
    /// in the form that encode_entries gives them.
    std::string directory_path = "/entries";
    std::function<http::response(const std::vector<core::endpoint>&)> encode_entries;
};

} // namespace cuminpitch::daemon
