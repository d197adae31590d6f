#include "request_parser_priv.hpp"

#include "request_checks_priv.hpp"

#include <absl/strings/ascii.h>

#include <algorithm>
#include <limits>

namespace cuminpitch::http {
namespace beast = boost::beast::http;

request_parser::request_parser(body_sink sink) : sink_(std::move(sink))
{
    header_limit(head_limit_bytes);
    // The server limits bodies itself, so that it can discard and refuse them.
    body_limit(std::numeric_limits<std::uint64_t>::max());
    eager(false);
}

request_parser::state request_parser::parse(std::string_view bytes, std::size_t& used)
{
    if (is_done()) {
        return state::complete;
    }
    for (std::size_t done = 0;;) {
        error ec;
        const auto n =
            put(boost::asio::const_buffer(bytes.data() + done, bytes.size() - done), ec);
        done += n;
        used += n;
        head_bytes_ += is_head_done_ ? 0 : n;
        const std::size_t rest = bytes.size() - done;
        if (ec == beast::error::header_limit ||
            (!is_head_done_ && head_bytes_ > head_limit_bytes)) {
            return state::head_too_long;
        }
        if (ec && ec != beast::error::need_more) {
            return state::malformed;
        }
        if (is_header_done() && !is_head_done_) {
            is_head_done_ = true;
            eager(true);
            return finish_head() ? state::head_done : state::malformed;
        }
        if (is_done()) {
            return state::complete;
        }
        // Beast limits neither trailers nor chunk extensions.
        if (rest >= head_limit_bytes) {
            return is_head_done_ ? state::malformed : state::head_too_long;
        }
        if (ec == beast::error::need_more || rest == 0) {
            return state::needs_more;
        }
    }
}

/// Returns false if the head is not acceptable.
bool request_parser::finish_head()
{
    const auto& fields = message.headers;
    const std::string length = fields.get("Content-Length");
    // Beast accepts a list of equal lengths.
    const bool is_number = std::all_of(
        length.begin(), length.end(), [](char c) { return absl::ascii_isdigit(c); });
    if (!is_number || !has_unambiguous_framing(fields) ||
        (is_http_1_1() ? !fields.has("Host") : fields.has("Transfer-Encoding"))) {
        return false;
    }
    is_persistent_ = is_http_1_1() && keep_alive();
    has_body_ = !is_done();
    announced_bytes_ = content_length().value_or(0);
    return true;
}

void request_parser::on_request_impl(
    beast::verb /*verb*/, view method, view target, int version, error& /*ec*/)
{
    message.method.assign(method.data(), method.size());
    message.target.assign(target.data(), target.size());
    version_ = version;
}

void request_parser::on_field_impl(
    beast::field /*field*/, view name, view value, error& /*ec*/)
{
    if (!is_head_done_) { // Trailers are ignored.
        message.headers.add(
            std::string(name.data(), name.size()),
            std::string(value.data(), value.size()));
    }
}

std::size_t request_parser::on_body_impl(view body, error& /*ec*/)
{
    sink_({body.data(), body.size()});
    return body.size();
}

std::size_t
request_parser::on_chunk_body_impl(std::uint64_t /*remaining*/, view body, error& ec)
{
    return on_body_impl(body, ec);
}

} // namespace cuminpitch::http
