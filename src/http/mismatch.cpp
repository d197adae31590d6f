#include "cuminpitch/http/mismatch.hpp"

namespace cuminpitch::http {

const char* to_string(mismatch it)
{
    switch (it) {
    case mismatch::none:
        return "none";
    case mismatch::not_http:
        return "not-http";
    case mismatch::head_too_long:
        return "head-too-long";
    case mismatch::status_line:
        return "status-line";
    case mismatch::field_line:
        return "field-line";
    case mismatch::joined_messages:
        return "joined-messages";
    case mismatch::repeated_field:
        return "repeated-field";
    case mismatch::framing:
        return "framing";
    case mismatch::other_request:
        return "other-request";
    case mismatch::no_success_proof:
        return "no-success-proof";
    }
    return "none";
}

} // namespace cuminpitch::http
