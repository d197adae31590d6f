#include "decimal_priv.hpp"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>

#include <algorithm>

namespace cuminpitch::request {

std::optional<double> parse_decimal(std::string_view text)
{
    const auto is_allowed = [](unsigned char c) {
        return absl::ascii_isdigit(c) || c == '.';
    };
    double out = 0;
    const bool is_number = text.size() <= max_decimal_length &&
                           std::all_of(text.begin(), text.end(), is_allowed) &&
                           absl::SimpleAtod({text.data(), text.size()}, &out);
    return is_number ? std::optional(out) : std::nullopt;
}

} // namespace cuminpitch::request
