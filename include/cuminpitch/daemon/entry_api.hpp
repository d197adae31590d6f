#pragma once

#include "cuminpitch/core/endpoint.hpp"
#include "cuminpitch/http/message.hpp"
#include "cuminpitch/request/dialect.hpp"

#include <functional>
#include <string>
#include <vector>

namespace cuminpitch::daemon {

/// The form on the wire of one platform of what an entry says of itself, and of requests.
struct entry_api
{
    request::dialect dialect;
    /// Path of a GET at the readiness address that is answered 200 if callers may connect
    /// and 503 if not.
    std::string readiness_path = "/ready";
    /// Path of a GET at the directory address, by which callers ask which entries to use,
    /// and the response that names these.
    std::string directory_path = "/entries";
    std::function<http::response(const std::vector<core::endpoint>&)> encode_entries;
};

} // namespace cuminpitch::daemon
