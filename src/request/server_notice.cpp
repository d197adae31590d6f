#include "cuminpitch/request/server_notice.hpp"

#include "decimal_priv.hpp"

#include <absl/strings/match.h>

#include <algorithm>

namespace cuminpitch::request {
namespace {

constexpr int unavailable = 503;
constexpr absl::Duration max_hold_off = absl::Hours(24);

} // namespace

server_notice read_server_notice(const http::response& it, const dialect& names)
{
    server_notice out;
    for (const auto& [field, value] : it.headers.fields()) {
        if (absl::EqualsIgnoreCase(field, names.leaving)) {
            out.is_leaving = out.is_leaving || value == "1";
            out.is_leaving_malformed =
                out.is_leaving_malformed || (value != "1" && value != "0");
        } else if (
            it.status == unavailable && absl::EqualsIgnoreCase(field, "Retry-After")) {
            const auto seconds = parse_decimal(value);
            const auto time = absl::Seconds(seconds.value_or(0));
            if (seconds && time <= max_hold_off) {
                out.hold_off = std::max(out.hold_off, time);
            } else {
                out.is_hold_off_malformed = true;
            }
        }
    }
    return out;
}

} // namespace cuminpitch::request
