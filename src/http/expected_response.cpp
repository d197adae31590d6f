#include "cuminpitch/http/client.hpp"

namespace cuminpitch::http {

mismatch
expected_response::check(int status, const headers& fields, bool is_first_response) const
{
    constexpr int first_success = 200;
    constexpr int first_redirect = 300;
    const bool is_success = status >= first_success && status < first_redirect;
    if (!success_header.empty()) {
        const auto proofs = fields.count(success_header);
        if (is_success && proofs == 0) {
            return mismatch::no_success_proof;
        }
        if (proofs > 1) {
            return mismatch::repeated_field;
        }
    }
    if (header.empty()) {
        return mismatch::none;
    }
    const auto ids = fields.count(header);
    const bool needs_id = is_success || (may_answer_twice && !is_first_response);
    if (ids > 0 ? fields.get(header) != value : needs_id) {
        return mismatch::other_request;
    }
    return ids > 1 ? mismatch::repeated_field : mismatch::none;
}

bool expected_response::is_ambiguous_refusal(const headers& fields) const
{
    const bool is_refusal = !refusal_header.empty() && fields.has(refusal_header);
    return is_refusal && (header.empty() || !fields.has(header));
}

} // namespace cuminpitch::http
