#include "cuminpitch/http/client.hpp"

#include <absl/strings/match.h>

namespace cuminpitch::http {

mismatch expected_response::check(int status, const headers& fields) const
{
    constexpr int first_success = 200;
    constexpr int first_redirect = 300;
    const bool is_success = status >= first_success && status < first_redirect;
    if (is_success && !success_header.empty() && !fields.has(success_header)) {
        return mismatch::no_success_proof;
    }
    if (header.empty()) {
        return mismatch::none;
    }
    bool is_repeated = false;
    for (const auto& [name, repeated] : fields.fields()) {
        if (absl::EqualsIgnoreCase(name, header)) {
            if (repeated != value) {
                return mismatch::other_request;
            }
            is_repeated = true;
        }
    }
    return is_success && !is_repeated ? mismatch::other_request : mismatch::none;
}

bool expected_response::is_ambiguous_refusal(const headers& fields) const
{
    const bool is_refusal = !refusal_header.empty() && fields.has(refusal_header);
    return is_refusal && (header.empty() || !fields.has(header));
}

} // namespace cuminpitch::http
