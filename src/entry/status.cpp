#include "entry/status_priv.hpp"

#include "cuminpitch/core/json.hpp"

namespace cuminpitch::entry {
namespace {

using json = nlohmann::json;

/// The age in whole milliseconds, or null if there has been no contact.
json age_ms(absl::Duration age)
{
    return age == absl::InfiniteDuration() ? json()
                                           : json(absl::ToInt64Milliseconds(age));
}

json server_json(const health::server_state& server)
{
    return {
        {"id", server.id.str()},
        {"address", server.address.str()},
        {"slots", server.slots},
        {"ramp", server.ramp},
        {"fresh", server.fresh},
        {"suspected", server.suspected},
        {"ejected", server.ejected},
        {"probation", server.probation}};
}

json pool_json(absl::Time now, const pool_runtime& pool)
{
    const auto coordinator = pool.health().coordinator(now);
    json servers = json::array();
    for (const auto& it : pool.health().servers(now)) {
        servers.push_back(server_json(it));
    }
    json entries = json::array();
    for (const auto& it : pool.health().live_entries(now)) {
        entries.push_back(
            {{"id", it.id.str()},
             {"draining", it.draining},
             {"revision", it.fleet_revision.value()}});
    }
    return {
        {"pool", pool.settings().id.str()},
        {"coordinator", coordinator ? json(coordinator->str()) : json()},
        {"live_entries", entries},
        {"servers", servers}};
}

} // namespace

http::response status_response(
    absl::Time now,
    const node_options& options,
    const control_link& link,
    const pool_map& pools,
    const node_condition& condition)
{
    json pool_list = json::array();
    for (const auto& [id, pool] : pools) {
        pool_list.push_back(pool_json(now, *pool));
    }
    json contacts = json::object();
    for (const auto& [id, contact_time] : link.contacts()) {
        contacts[id.str()] = age_ms(now - contact_time);
    }
    const json body = {
        {"id", options.self.id.str()},
        {"failure_domain", options.self.failure_domain.str()},
        {"incarnation", options.incarnation},
        {"revision", link.replica().revision().value()},
        {"draining", condition.is_draining},
        {"refusing", condition.is_refusing},
        {"isolated", condition.is_isolated},
        {"in_flight", condition.in_flight},
        {"control_age_ms", age_ms(link.control_age(now))},
        {"contact_age_ms", contacts},
        {"pools", pool_list}};
    return http::json_response(200, core::write_json(body));
}

void publish_metrics(
    absl::Time now,
    const control_link& link,
    const pool_map& pools,
    const node_condition& condition,
    telemetry::metrics& metrics)
{
    metrics.set(
        "cuminpitch_revision", static_cast<double>(link.replica().revision().value()));
    metrics.set(
        "cuminpitch_control_age_seconds", absl::ToDoubleSeconds(link.control_age(now)));
    metrics.set("cuminpitch_isolated", condition.is_isolated ? 1 : 0);
    metrics.set("cuminpitch_draining", condition.is_draining ? 1 : 0);
    metrics.set(
        "cuminpitch_requests_in_flight", static_cast<double>(condition.in_flight));
    for (const auto& [id, pool] : pools) {
        const telemetry::labels pool_label = {{"pool", id.str()}};
        const auto& counts = pool->health().counts();
        const auto set = [&](const char* name, std::uint64_t value) {
            metrics.set(name, static_cast<double>(value), pool_label);
        };
        set("cuminpitch_pool_heartbeats_sent", counts.heartbeats_sent);
        set("cuminpitch_pool_heartbeats_received", counts.heartbeats_received);
        set("cuminpitch_ejections", counts.ejections);
        set("cuminpitch_ejections_without_room", counts.ejections_without_room);
        set("cuminpitch_readmissions", counts.readmissions);
        set("cuminpitch_readmissions_for_capacity", counts.readmissions_for_capacity);
        set("cuminpitch_failed_probations", counts.failed_probations);
        set("cuminpitch_leases_acquired", counts.leases_acquired);
        set("cuminpitch_leases_lost", counts.leases_lost);
        set("cuminpitch_is_coordinator", pool->health().is_coordinator(now) ? 1 : 0);
    }
}

} // namespace cuminpitch::entry
