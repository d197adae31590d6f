#pragma once

#include "cuminpitch/control/call.hpp"
#include "cuminpitch/http/message.hpp"

#include <variant>

namespace cuminpitch::daemon {

/// Translates between a platform's HTTP form of the control API and control::api_call.
/// Has no side effects; thread-safe.
class control_api
{
public:
    virtual ~control_api() = default;

    /// The request is not a call of this API; the instance's own API handles it.
    struct unknown
    {
    };

    /// Returns the call, or the error response if the call is malformed.
    virtual std::variant<unknown, control::api_call, http::response>
    decode(core::request_id id, const http::request& it) const = 0;

    /// Returns the response to request `to`, which decode() turned into a call.
    virtual http::response
    encode(const control::api_answer& it, const http::request& to) const = 0;
};

} // namespace cuminpitch::daemon
