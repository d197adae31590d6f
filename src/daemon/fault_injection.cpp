#include "daemon/fault_injection_priv.hpp"

#include "cuminpitch/core/json.hpp"

#include <optional>
#include <utility>

namespace cuminpitch::daemon {
namespace {

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;

std::optional<std::vector<core::endpoint>> parse(const std::string& body)
{
    const auto read = core::parse_json(body);
    const auto& parsed = read.value;
    if (!read.reason.empty() || !parsed.is_object() || !parsed.contains("block_to") ||
        !parsed["block_to"].is_array()) {
        return std::nullopt;
    }
    std::vector<core::endpoint> list;
    for (const auto& text : parsed["block_to"]) {
        const auto at = text.is_string() ? core::parse_endpoint(text.get<std::string>())
                                         : std::nullopt;
        if (!at) {
            return std::nullopt;
        }
        list.push_back(*at);
    }
    return list;
}

} // namespace

http::response
fault_injection::apply(const std::string& body, net::tcp_transport& transport)
{
    auto list = parse(body);
    if (!list) {
        return http::json_response(
            status_bad_request, R"({"error":"block_to must be a list of host:port"})");
    }
    for (const auto& it : blocked_) {
        transport.set_blocked(it, false);
    }
    for (const auto& it : *list) {
        transport.set_blocked(it, true);
    }
    blocked_ = *std::move(list);
    return http::json_response(status_ok, "{}");
}

} // namespace cuminpitch::daemon
