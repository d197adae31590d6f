#pragma once

#include "cuminpitch/core/request_rate.hpp"
#include "cuminpitch/http/message.hpp"

#include <string>
#include <variant>

namespace cuminpitch::request {

/// The response says nothing about the server's rate limit.
struct rate_unstated
{
};

/// The server accepts any number of requests.
struct rate_unlimited
{
};

/// The server named a limit that can't be read. An earlier statement stays in force.
struct rate_malformed
{
    std::string text; ///< The value, truncated.
};

/// What a response says about the number of requests per second that its server accepts
/// from all entries together.
using rate_statement =
    std::variant<rate_unstated, rate_unlimited, rate_malformed, core::request_rate>;

/// Reads the header `name`. Its value is a decimal number of at most 32 characters:
/// digits with at most one decimal point, without a sign or an exponent. Values of
/// 100,000 and above mean no limit. If the header occurs several times, the lowest value
/// counts, and one malformed value makes the statement malformed. A missing header is
/// `rate_unlimited`.
rate_statement read_rate_statement(const http::headers& it, const std::string& name);

} // namespace cuminpitch::request
