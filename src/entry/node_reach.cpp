#include "entry/node_impl_priv.hpp"

#include "cuminpitch/wire/control_codec.hpp"

namespace cuminpitch::entry {
namespace {

/// A reachable server accepts a connection within a few ms.
constexpr absl::Duration path_probe_timeout = absl::Milliseconds(300);

} // namespace

void node::impl::flush_reach()
{
    for (auto& it : reach_.take_messages()) {
        out_.emplace_back(action::send_frame{
            it.to, net::frame{net::channel::control, wire::encode(it.message)}});
    }
    for (const auto& it : reach_.take_probes()) {
        start_path_probe(it);
    }
    for (auto& it : reach_.take_log()) {
        out_.emplace_back(std::move(it));
    }
    for (const auto& id : reach_.take_changed_pools()) {
        const auto pool = shared_pools_.find(id);
        if (pool == shared_pools_.end()) {
            continue;
        }
        if (reach_.is_lost(id)) {
            metrics_.add(
                "cuminpitch_failures_withdrawn_total",
                {{"pool", id.str()}},
                pool->second.withdraw_unconfirmed());
        }
        update_dispatcher(id);
    }
}

void node::impl::start_path_probe(const server_reach::probe& it)
{
    const auto pool = shared_pools_.find(it.pool);
    if (pool == shared_pools_.end()) {
        return;
    }
    const auto address = pool->second.address_of(it.server);
    if (!address || !notices_.is_open(now_, it.pool, it.server)) {
        return;
    }
    http::client_request probe;
    probe.to = *address;
    probe.method = "GET";
    probe.target = pool->second.settings().probe_path.value_or("/");
    probe.timeout = path_probe_timeout;
    probe.connect_timeout = path_probe_timeout;
    probe.fresh_connection = true;
    limits_.count_sent(now_, it.pool, it.server);
    call(path_probe{it.pool, it.server, now_}, std::move(probe));
}

/// A server that accepts a connection and doesn't respond has been reached.
void node::impl::finish(const path_probe& probe, http::client_result& result)
{
    observe_notice(probe.pool, probe.server, result);
    reach_.observe_probe(
        now_,
        probe.began,
        probe.pool,
        probe.server,
        result.verdict != core::verdict::not_run);
}

} // namespace cuminpitch::entry
