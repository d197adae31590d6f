#pragma once

#include "cuminpitch/http/message.hpp"
#include "cuminpitch/net/tcp_transport.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace cuminpitch::daemon {

constexpr std::string_view entry_fault_path = "/.cuminpitch/v1/fault";
constexpr std::string_view control_fault_path = "/v1/fault";

/// Simulates one-way network partitions for tests. Only reachable with --fault-injection.
class fault_injection
{
public:
    /// Replaces the list of blocked peers. The body {"block_to": ["host:port", ..]} lists
    /// the internal endpoints to which all frames are dropped from now on.
    http::response apply(const std::string& body, net::tcp_transport& transport);

private:
    std::vector<core::endpoint> blocked_;
};

} // namespace cuminpitch::daemon
