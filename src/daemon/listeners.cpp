#include "daemon/listeners_priv.hpp"

#include "cuminpitch/telemetry/log.hpp"

#include <string>
#include <utility>

namespace cuminpitch::daemon {
namespace {

void log_failure(const std::string& setting, const core::endpoint& at)
{
    telemetry::log(
        telemetry::severity::error,
        "cannot listen",
        {{"setting", setting}, {"address", at.str()}});
}

} // namespace

std::unique_ptr<net::tcp_transport> open_transport(
    net::peer self,
    std::optional<core::endpoint> listen,
    net::transport::handler on_frame,
    std::size_t max_total_queued_bytes)
{
    net::tcp_transport_options options;
    options.max_total_queued_bytes = max_total_queued_bytes;
    options.self = std::move(self);
    options.listen = std::move(listen);
    auto made = net::tcp_transport::create(options, std::move(on_frame));
    if (!made) {
        log_failure("internal", options.listen.value_or(options.self.internal));
        return nullptr;
    }
    return std::move(made).value();
}

std::unique_ptr<http::server>
open_server(http::server_options options, http::server::handler on_request)
{
    const core::endpoint at = options.listen;
    auto made = http::server::create(std::move(options), std::move(on_request));
    if (!made) {
        log_failure("http", at);
        return nullptr;
    }
    return std::move(made).value();
}

} // namespace cuminpitch::daemon
