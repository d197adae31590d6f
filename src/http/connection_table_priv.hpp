#pragma once

#include "cuminpitch/core/endpoint.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <utility>

namespace cuminpitch::http {

/// How the connections of one client have been used. libcurl names a connection by its
/// addresses when it is about to send a request, and by its socket when it closes it. Not
/// thread-safe.
class connection_table
{
public:
    struct connection
    {
        int socket = -1;
        std::uint32_t requests = 0;                      ///< Requests sent on it.
        absl::Time last_response = absl::InfinitePast(); ///< End of the newest response.
    };

    /// Adds a new connection.
    connection& add(const core::endpoint& remote, int local_port, int socket);
    /// Null if the connection isn't known.
    connection* find(const core::endpoint& remote, int local_port);
    void remove(int socket);

private:
    using key = std::pair<core::endpoint, int>;

    absl::flat_hash_map<key, connection> connections_;
    absl::flat_hash_map<int, key> keys_;
};

} // namespace cuminpitch::http
