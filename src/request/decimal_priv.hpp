#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace cuminpitch::request {

/// Limit on the length of a decimal number in a header, in characters.
inline constexpr std::size_t max_decimal_length = 32;

/// Parses digits with at most one decimal point, without a sign or an exponent.
std::optional<double> parse_decimal(std::string_view text);

} // namespace cuminpitch::request
