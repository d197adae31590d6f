#include "entry/rate_limits_priv.hpp"

#include "cuminpitch/core/overloaded.hpp"

#include <cmath>

namespace cuminpitch::entry {
namespace {

/// A smaller relative change is not logged, because a server may compute its limit anew
/// for each response.
constexpr double logged_change = 0.1;

} // namespace

void rate_limits::observe(
    absl::Time now,
    const core::pool_id& pool,
    const core::server_id& server,
    const request::rate_statement& said)
{
    const server_key key(pool, server);
    const auto known = records_.find(key);
    std::visit(
        core::overloaded{
            [](const request::rate_unstated&) {},
            [&](const request::rate_unlimited&) {
                if (known != records_.end()) {
                    log_limit(key, "server rate limit ended", {});
                    records_.erase(known);
                }
            },
            [&](const request::rate_malformed& it) {
                metrics_.add(
                    "cuminpitch_malformed_rate_limits_total", {{"pool", pool.str()}});
                log_limit(key, "server rate limit malformed", {{"value", it.text}});
            },
            [&](core::request_rate limit) {
                auto& it = records_[key];
                const double change =
                    std::abs(limit.per_second() - it.limit.per_second());
                if (known == records_.end() ||
                    change > logged_change * it.limit.per_second()) {
                    log_limit(
                        key, "server rate limit named", {{"per_s", limit.per_second()}});
                }
                it.limit = limit;
                it.stated = now;
            }},
        said);
}

void rate_limits::apply(absl::Time now, request::pool_update& it)
{
    std::size_t limited = 0;
    for (auto& server : it.servers) {
        const server_key key(it.pool, server.id);
        const auto known_incarnation = std::exchange(listed_[key], server.incarnation);
        if (known_incarnation != server.incarnation) {
            records_.erase(key);
        }
        const auto known = records_.find(key);
        if (known == records_.end()) {
            continue;
        }
        ++limited;
        server.limit =
            request::server_limit{known->second.limit, now - known->second.stated};
    }
    metrics_.set(
        "cuminpitch_rate_limited_servers",
        static_cast<double>(limited),
        {{"pool", it.pool.str()}});
}

void rate_limits::log_limit(
    const server_key& server, std::string what, std::vector<telemetry::field> more)
{
    std::vector<telemetry::field> fields = {
        {"pool", server.first.str()}, {"server", server.second.str()}};
    fields.insert(fields.end(), more.begin(), more.end());
    log_.push_back({telemetry::severity::info, std::move(what), std::move(fields)});
}

} // namespace cuminpitch::entry
