#include "filters_priv.hpp"
#include "routing_path_priv.hpp"

namespace cuminpitch::request {

std::optional<refusal_reason>
route_filter::apply(const filter_context& at, live_request& it) const
{
    if (!at.routes) {
        return refusal_reason::no_revision;
    }
    const auto path = routing_path(at.routes->matching(), it.message->path);
    if (!path) {
        return refusal_reason::malformed_request;
    }
    const auto found =
        at.routes->find(it.message->headers.get("Host"), *path, it.message->method);
    if (found.route == nullptr) {
        return refusal_reason::no_route;
    }
    it.routes = at.routes;
    it.route = found.route;
    it.pool = found.pool != nullptr
                  ? found.pool
                  : found.parts[at.splits.choose(found.route->id, found.parts)].pool;
    return std::nullopt;
}

} // namespace cuminpitch::request
