#include "cuminpitch/core/endpoint.hpp"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>

#include <algorithm>
#include <arpa/inet.h>

namespace cuminpitch::core {

std::optional<endpoint> parse_endpoint(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    endpoint result;
    result.host = text.substr(0, colon);
    // inet_pton() stops at a zero byte and would ignore the rest of the text.
    if (result.host.find('\0') != std::string::npos) {
        return std::nullopt;
    }
    in_addr address{};
    if (inet_pton(AF_INET, result.host.c_str(), &address) != 1) {
        return std::nullopt;
    }
    // SimpleAtoi() accepts spaces and a sign.
    const std::string digits = text.substr(colon + 1);
    const bool has_only_digits = std::all_of(digits.begin(), digits.end(), [](char c) {
        return absl::ascii_isdigit(static_cast<unsigned char>(c));
    });
    std::uint32_t port = 0;
    if (!has_only_digits || !absl::SimpleAtoi(digits, &port) || port == 0 ||
        port > 65535) {
        return std::nullopt;
    }
    result.port = static_cast<std::uint16_t>(port);
    return result;
}

} // namespace cuminpitch::core
