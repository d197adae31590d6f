#pragma once

#include "cuminpitch/core/random.hpp"
#include "cuminpitch/request/route_table.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <vector>

namespace cuminpitch::request {

/// Splits the requests of a route among its parts by weight. Each request goes to the
/// part that is furthest below its share, so that the shares hold for few requests too.
/// The initial state is random; otherwise many entries with few requests each would all
/// choose the same part.
class split_balancer
{
public:
    explicit split_balancer(core::random_source random) : random_(random) {}

    /// Index of the part that takes the next request of the route.
    std::size_t choose(const core::route_id& route, const std::vector<route_part>& parts);

private:
    struct shares
    {
        std::vector<double> weights;
        std::vector<double> deficit; ///< Requests by which each part is below its share.
    };

    core::random_source random_;
    absl::flat_hash_map<core::route_id, shares> routes_;
};

} // namespace cuminpitch::request
