#pragma once

#include "cuminpitch/config/declarations.hpp"
#include "cuminpitch/customers/directory.hpp"
#include "cuminpitch/request/path_matching.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cuminpitch::request {

/// One pool of a route that splits its requests among several pools by weight.
struct route_part
{
    const config::pool_settings* pool = nullptr;
    double weight = 0;
};

/// Finds the route of a request, and the customers of the same declarations. Immutable.
class route_table
{
public:
    struct match
    {
        const config::route_settings* route = nullptr;
        const config::pool_settings* pool = nullptr; ///< Null if the route has parts.
        std::vector<route_part> parts;
    };

    /// Leaves out routes without a declared pool.
    explicit route_table(
        std::shared_ptr<const config::declarations> declared, path_matching rules = {});

    const path_matching& matching() const { return matching_; }
    const customers::directory& customers() const { return customers_; }

    /// Finds the route that accepts the method and has the longest matching path prefix.
    /// A route that names the method wins over one that accepts any; then the smaller id
    /// wins. `host` is the value of the Host header, `path` the result of routing_path()
    /// with the rules of matching(). An empty `method` matches every route: a caller that
    /// asks for the entries of a path may not know the method. Returns null pointers if
    /// no route matches.
    match
    find(std::string_view host, std::string_view path, std::string_view method) const;

    /// Whether the pool has a route whose requests may be sent again after they may have
    /// run.
    bool has_idempotent_route(const core::pool_id& pool) const;

private:
    struct host_routes
    {
        std::vector<std::size_t> prefix_sizes; ///< Distinct, longest first.
        absl::flat_hash_map<std::string, std::vector<match>> by_prefix;

        /// Returns the route with this prefix that accepts the method, or null.
        const match* find(std::string_view prefix, std::string_view method) const;
    };

    match find_by_segments(
        const host_routes& routes, std::string_view path, std::string_view method) const;
    match find_by_bytes(
        const host_routes& routes, std::string_view path, std::string_view method) const;

    path_matching matching_;
    std::shared_ptr<const config::declarations> declared_;
    customers::directory customers_;
    absl::flat_hash_map<std::string, host_routes> hosts_;
    absl::flat_hash_set<core::pool_id> idempotent_pools_;
};

} // namespace cuminpitch::request
