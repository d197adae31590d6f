#pragma once

#include "cuminpitch/control/call.hpp"
#include "cuminpitch/http/message.hpp"

#include <variant>

namespace cuminpitch::daemon {

/// The form that API calls have on the wire of one platform. Translates only;
/// thread-safe.
class control_api
{
public:
    virtual ~control_api() = default;

    /// Not a call of this API; the instance's own API takes it.
    struct unknown
    {
    };

    /// The call, or the response to one that can't be read.
    virtual std::variant<unknown, control::api_call, http::response>
    decode(core::request_id id, const http::request& it) const = 0;

    /// The response to the request that decode() made a call of.
    virtual http::response
    encode(const control::api_answer& it, const http::request& to) const = 0;
};

} // namespace cuminpitch::daemon
