#include "cuminpitch/http/refusal.hpp"

#include "cuminpitch/core/json.hpp"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <cstdint>

namespace cuminpitch::http {

response refusal_response(const refusal& it)
{
    const std::int64_t wait_ms =
        std::max<std::int64_t>(0, absl::ToInt64Milliseconds(it.retry_after));
    if (it.is_terse) {
        response out;
        out.status = it.status;
        out.headers.set(std::string(reason_header), it.reason);
        if (wait_ms > 0) {
            out.headers.set(
                "Retry-After",
                absl::StrFormat("%.3f", static_cast<double>(wait_ms) / 1000));
        }
        return out;
    }
    const nlohmann::json body = {
        {"verdict", core::to_string(it.verdict)},
        {"reason", it.reason},
        {"retry_after_ms", wait_ms},
        {"entries", it.entries}};
    response out = json_response(it.status, core::write_json(body));
    out.headers.set(std::string(verdict_header), core::to_string(it.verdict));
    out.headers.set(std::string(reason_header), it.reason);
    out.headers.set("Retry-After", std::to_string((wait_ms + 999) / 1000));
    return out;
}

} // namespace cuminpitch::http
