#include "request_checks_priv.hpp"

#include <absl/strings/match.h>

namespace cuminpitch::http {

bool has_unambiguous_framing(const headers& fields)
{
    int lengths = 0;
    int codings = 0;
    int hosts = 0;
    for (const auto& [name, value] : fields.fields()) {
        lengths += absl::EqualsIgnoreCase(name, "Content-Length") ? 1 : 0;
        hosts += absl::EqualsIgnoreCase(name, "Host") ? 1 : 0;
        if (absl::EqualsIgnoreCase(name, "Transfer-Encoding")) {
            codings += absl::EqualsIgnoreCase(value, "chunked") ? 1 : 2;
        }
    }
    return lengths + codings <= 1 && hosts <= 1;
}

refusal not_run_refusal(int status, const char* reason)
{
    return {status, core::verdict::not_run, reason, absl::ZeroDuration(), {}};
}

refusal memory_refusal()
{
    auto it = not_run_refusal(503, "memory");
    it.retry_after = absl::Seconds(1);
    return it;
}

} // namespace cuminpitch::http
