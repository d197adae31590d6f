#include "entry/node_impl_priv.hpp"

#include "entry/api_priv.hpp"
#include "request/routing_path_priv.hpp"

namespace cuminpitch::entry {
namespace {

/// Timeout of a query that is forwarded to an assigned entry.
constexpr absl::Duration query_timeout = absl::Milliseconds(500);

} // namespace

void node::impl::handle_api_request(core::request_id id, const http::request& message)
{
    if (message.path == entries_path) {
        handle_entries_request(id, message);
    } else if (message.path == announce_path) {
        handle_announce_request(id, message);
    } else if (message.path == status_path) {
        respond(id, status_response(now_, options_, link_, pools_, condition_));
    } else if (message.path == metrics_path) {
        respond(id, http::metrics_response(metrics_text()));
    } else {
        respond(id, error_response(404, "unknown path"));
    }
}

/// Updates the gauges before formatting the metrics.
std::string node::impl::metrics_text()
{
    if (view_) {
        publish_metrics(now_, link_, pools_, condition_, metrics_);
    }
    return metrics_.exposition();
}

std::vector<core::endpoint> node::impl::named_entries() const
{
    auto out = link_.named();
    if ((condition_.is_draining || was_impaired_) && out.size() > 1) {
        std::erase(out, options_.self.http);
    }
    return out;
}

std::optional<core::pool_id>
node::impl::requested_pool(const http::request& message) const
{
    if (const auto pool = message.query_value("pool"); !pool.empty()) {
        return parse_pool(pool);
    }
    const std::string path = message.query_value("path");
    const auto match = routes_->find(
        message.query_value("host"),
        request::routing_path(routes_->matching(), path.empty() ? "/" : path)
            .value_or("/"),
        message.query_value("method"));
    if (match.pool == nullptr) {
        return std::nullopt;
    }
    return match.pool->id;
}

void node::impl::handle_entries_request(core::request_id id, const http::request& message)
{
    if (!routes_) {
        respond(id, error_response(503, "no revision in force yet"));
        return;
    }
    const auto pool = requested_pool(message);
    if (!pool || !view_->declarations->pools.contains(*pool)) {
        respond(id, error_response(404, "no such pool or route"));
        return;
    }
    const auto assigned = pools_.find(*pool);
    if (assigned != pools_.end()) {
        respond(
            id,
            entries_response(
                *pool,
                view_->revision,
                assigned->second->usable_entries(now_, *view_),
                options_.entries_ttl));
    } else {
        query_next_entry(make_entries_query(id, *pool, *view_, random_));
    }
}

void node::impl::query_next_entry(entries_query query)
{
    if (query.candidates.empty()) {
        respond(
            query.caller,
            entries_response(
                query.pool,
                view_->revision,
                committed_entries(*view_, query.pool),
                options_.entries_ttl));
        return;
    }
    http::client_request entry_request;
    entry_request.to = query.candidates.back().http;
    entry_request.method = "GET";
    entry_request.target = std::string(entries_path) + "?pool=" + query.pool.str();
    entry_request.timeout = query_timeout;
    query.candidates.pop_back();
    call(std::move(query), std::move(entry_request));
}

void node::impl::handle_announce_request(
    core::request_id id, const http::request& message)
{
    const auto parsed = parse_announce(message.body);
    if (const auto* problem = std::get_if<std::string>(&parsed)) {
        respond(id, error_response(400, *problem));
        return;
    }
    const auto& it = std::get<announce_request>(parsed);
    if (!view_ || !view_->declarations || !view_->declarations->pools.contains(it.pool)) {
        respond(id, error_response(view_ ? 404 : 503, "no such pool"));
        return;
    }
    const auto assigned = pools_.find(it.pool);
    const bool accepted = assigned != pools_.end() && assigned->second->health().announce(
                                                          now_, it.announcement, it.echo);
    if (accepted) {
        update_if_without_servers(assigned->first);
    }
    respond(
        id,
        announce_response(
            now_,
            accepted,
            committed_entries(*view_, it.pool),
            view_->declarations->pools.at(it.pool).departure));
}

} // namespace cuminpitch::entry
