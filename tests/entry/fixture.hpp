#pragma once

#include "cuminpitch/control/sync.hpp"
#include "cuminpitch/entry/node.hpp"
#include "cuminpitch/wire/control_codec.hpp"

#include <memory>
#include <string>

namespace cuminpitch::entry {

inline const core::pool_id pool{core::team_id("t"), "p"};

/// Fleet state with pool t/p, which every entry serves, and a route for host h that is
/// not idempotent.
inline std::shared_ptr<control::fleet_contents> make_contents()
{
    auto out = std::make_shared<control::fleet_contents>();
    out->revision = core::revision(1);
    out->settings = {
        {"teams/t/pools/p/every_entry", "true"},
        {"teams/t/routes/r/host", "\"h\""},
        {"teams/t/routes/r/path_prefix", "\"/\""},
        {"teams/t/routes/r/pool", "\"p\""},
        {"teams/t/routes/r/idempotent", "false"}};
    return out;
}

inline void add_server(
    control::fleet_contents& to,
    const std::string& id,
    const core::endpoint& at,
    const std::string& domain,
    std::uint32_t slots)
{
    control::server_record it;
    it.pool = pool;
    it.announcement.server = core::server_id(id);
    it.announcement.address = at;
    it.announcement.failure_domain = core::failure_domain_id(domain);
    it.announcement.slots = slots;
    to.servers[it.announcement.server] = it;
}

inline event::frame_received frame_with(const control::message& message)
{
    return {
        {core::instance_id("other"), {"10.0.3.1", 7000}},
        {net::channel::control, wire::encode(message)}};
}

/// A message with the complete fleet state, as control sends it to an entry without
/// state.
inline event::frame_received
full_state(const std::shared_ptr<const control::fleet_contents>& contents)
{
    return frame_with(control::sync_response{contents, core::revision(1), {}, true});
}

/// A request that matches the route of make_contents().
inline event::http_request make_request(std::uint64_t id)
{
    auto message = std::make_shared<http::request>();
    message->method = "POST";
    message->target = message->path = "/x";
    message->headers.add("Host", "h");
    return {core::request_id(id), message};
}

/// Options of an entry in failure domain "d".
inline node_options entry_options()
{
    node_options it;
    it.self = {
        core::instance_id("self"),
        {"10.0.0.8", 80},
        {"10.0.0.8", 7000},
        core::failure_domain_id("d")};
    return it;
}

} // namespace cuminpitch::entry
