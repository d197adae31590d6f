#include "cuminpitch/request/rate_statement.hpp"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>

#include <algorithm>
#include <optional>
#include <string_view>

namespace cuminpitch::request {
namespace {

/// Characters.
constexpr std::size_t max_value_length = 32;
/// No server of the planned size processes as many.
constexpr core::request_rate no_limit{100'000};

std::optional<core::request_rate> parse_rate(std::string_view text)
{
    const auto is_allowed = [](unsigned char c) {
        return absl::ascii_isdigit(c) || c == '.';
    };
    double per_second = 0;
    const bool is_number = text.size() <= max_value_length &&
                           std::all_of(text.begin(), text.end(), is_allowed) &&
                           absl::SimpleAtod({text.data(), text.size()}, &per_second);
    return is_number ? std::optional(core::request_rate(per_second)) : std::nullopt;
}

} // namespace

rate_statement read_rate_statement(const http::headers& it, const std::string& name)
{
    auto lowest = no_limit;
    for (const auto& [field, value] : it.fields()) {
        if (!absl::EqualsIgnoreCase(field, name)) {
            continue;
        }
        const auto rate = parse_rate(value);
        if (!rate) {
            return rate_malformed{value.substr(0, max_value_length)};
        }
        lowest = std::min(lowest, *rate);
    }
    return lowest < no_limit ? rate_statement(lowest) : rate_unlimited{};
}

} // namespace cuminpitch::request
