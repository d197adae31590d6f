#pragma once

#include "cuminpitch/http/message.hpp"
#include "cuminpitch/request/dialect.hpp"

namespace cuminpitch::daemon {

/// The form on the wire of one platform of what an entry says of itself, and of requests.
struct entry_api
{
    request::dialect dialect;
    /// Path of a GET at the readiness address that is answered 200 if callers may connect
    /// and 503 if not.
    std::string readiness_path = "/ready";
};

} // namespace cuminpitch::daemon
