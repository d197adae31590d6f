#pragma once

#include "cuminpitch/config/declarations.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cuminpitch::request {

/// One pool of a route whose requests are divided among pools.
struct route_part
{
    const config::pool_settings* pool = nullptr;
    double weight = 0;
};

/// Finds the route of a request. Immutable.
class route_table
{
public:
    struct match
    {
        const config::route_settings* route = nullptr;
        const config::pool_settings* pool = nullptr; ///< Null if there are parts.
        std::vector<route_part> parts;
    };

    /// Routes whose pool isn't declared are left out.
    explicit route_table(std::shared_ptr<const config::declarations> declared);

    /// The route with the longest path prefix of whole segments that accepts the method:
    /// "/scan" is a prefix of "/scan" and "/scan/7", not of "/scanner". A route that
    /// names the method wins over one that accepts any; then the smaller id wins. `host`
    /// as in the Host header, `path` as from routing_path(). An empty method stands for
    /// any: who asks for entries may not know it. Null pointers if there is none.
    match
    find(std::string_view host, std::string_view path, std::string_view method) const;

    /// Whether some route of the pool may be retried after it was sent.
    bool has_idempotent_route(const core::pool_id& pool) const;

private:
    struct host_routes
    {
        std::size_t longest_prefix = 0;
        absl::flat_hash_map<std::string, std::vector<match>> by_prefix;
    };

    std::shared_ptr<const config::declarations> declared_;
    absl::flat_hash_map<std::string, host_routes> hosts_;
    absl::flat_hash_set<core::pool_id> idempotent_pools_;
};

} // namespace cuminpitch::request
