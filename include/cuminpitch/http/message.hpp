#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cuminpitch::http {

/// Header fields in the order of arrival. Names are case-insensitive.
class headers
{
public:
    void add(std::string name, std::string value);
    /// Replaces all fields with that name by one.
    void set(std::string name, std::string value);
    void remove(std::string_view name);
    /// The first value with that name, or an empty string.
    std::string get(std::string_view name) const;
    bool has(std::string_view name) const { return count(name) > 0; }
    std::size_t count(std::string_view name) const;
    const std::vector<std::pair<std::string, std::string>>& fields() const
    {
        return fields_;
    }

private:
    std::vector<std::pair<std::string, std::string>> fields_;
};

/// A request that the server has received completely.
struct request
{
    std::string method;
    std::string target;                                     ///< Path and query as sent.
    std::string path;                                       ///< Path only, not decoded.
    std::vector<std::pair<std::string, std::string>> query; ///< Decoded.
    http::headers headers;
    std::string body;
    std::string peer_address; ///< IP address of the peer.

    /// The first query value with that name, or an empty string.
    std::string query_value(std::string_view name) const;
};

/// A complete response.
struct response
{
    int status = 200;
    http::headers headers;
    std::string body;
};

/// A response with a JSON body.
response json_response(int status, std::string body);
/// A response with metrics in the Prometheus text format.
response metrics_response(std::string exposition);

} // namespace cuminpitch::http
