#include "cuminpitch/request/rate_statement.hpp"

#include "decimal_priv.hpp"

#include <absl/strings/match.h>

#include <algorithm>

namespace cuminpitch::request {
namespace {

/// No server of the planned size processes as many.
constexpr core::request_rate no_limit{100'000};

} // namespace

rate_statement read_rate_statement(const http::headers& it, const std::string& name)
{
    auto lowest = no_limit;
    for (const auto& [field, value] : it.fields()) {
        if (!absl::EqualsIgnoreCase(field, name)) {
            continue;
        }
        const auto per_second = parse_decimal(value);
        if (!per_second) {
            return rate_malformed{value.substr(0, max_decimal_length)};
        }
        lowest = std::min(lowest, core::request_rate(*per_second));
    }
    return lowest < no_limit ? rate_statement(lowest) : rate_unlimited{};
}

} // namespace cuminpitch::request
