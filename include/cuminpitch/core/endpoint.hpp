#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace cuminpitch::core {

/// An IPv4 address in dotted form and a TCP port.
struct endpoint
{
    std::string host;
    std::uint16_t port = 0;

    /// Returns "host:port".
    std::string str() const { return host + ":" + std::to_string(port); }

    friend auto operator<=>(const endpoint&, const endpoint&) = default;
    friend bool operator==(const endpoint&, const endpoint&) = default;
    template <class H>
    friend H AbslHashValue(H state, const endpoint& it)
    {
        return H::combine(std::move(state), it.host, it.port);
    }
};

/// Parses "a.b.c.d:port". Empty if the address is malformed or the port is not in 1 to
/// 65535.
std::optional<endpoint> parse_endpoint(const std::string& text);

} // namespace cuminpitch::core
