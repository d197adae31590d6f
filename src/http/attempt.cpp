#include "attempt_priv.hpp"

#include "cuminpitch/core/clock.hpp"

#include <absl/strings/ascii.h>
#include <absl/strings/escaping.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <utility>

namespace cuminpitch::http {
namespace {

/// Framing bytes that a chunked body may have regardless of its size: as many as headers.
constexpr std::uint64_t framing_limit_bytes = response_head::limit_bytes;
/// Limit on received bytes per byte of a chunked body: a chunk of one byte takes six, and
/// more if its size is written with several digits.
constexpr std::uint64_t max_wire_bytes_per_body_byte = 16;
/// Limit on the bytes that are looked at before a request is sent.
constexpr std::size_t max_waiting_bytes = 512;
constexpr std::size_t max_excerpt_bytes = 80;

bool method_implies_body(const std::string& method)
{
    return method == "POST" || method == "PUT" || method == "PATCH";
}

/// Headers that libcurl sets itself, or that must not be sent twice.
bool is_managed_header(const std::string& name)
{
    return absl::EqualsIgnoreCase(name, "Content-Length") ||
           absl::EqualsIgnoreCase(name, "Transfer-Encoding") ||
           absl::EqualsIgnoreCase(name, "Expect");
}

} // namespace

attempt::attempt(
    client_request request,
    client::callback done,
    bool allow_resend,
    received_bytes& received,
    connection_table& connections)
    : request_(std::move(request)), done_(std::move(done)), allow_resend_(allow_resend),
      received_(received), connections_(connections),
      easy_(curl_easy_init(), &curl_easy_cleanup), fields_(nullptr, &curl_slist_free_all)
{
    if (easy_) {
        set_options();
        set_method();
        add_headers();
    }
}

attempt::~attempt()
{
    received_.held -= held_bytes_;
}

void attempt::set_options()
{
    CURL* it = easy_.get();
    curl_easy_setopt(it, CURLOPT_URL, ("http://" + request_.to.str() + "/").c_str());
    curl_easy_setopt(it, CURLOPT_REQUEST_TARGET, request_.target.c_str());
    curl_easy_setopt(it, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(it, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(it, CURLOPT_HTTP09_ALLOWED, 0L);
    curl_easy_setopt(it, CURLOPT_PROXY, "");
    curl_easy_setopt(it, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(it, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(it, CURLOPT_NOPROGRESS, 1L);
    curl_easy_setopt(it, CURLOPT_FOLLOWLOCATION, 0L);
    curl_easy_setopt(it, CURLOPT_HTTP_CONTENT_DECODING, 0L);
    const auto timeout = std::max<std::int64_t>(
        1,
        absl::ToInt64Milliseconds(absl::Ceil(request_.timeout, absl::Milliseconds(1))));
    const auto connect =
        std::max<std::int64_t>(1, absl::ToInt64Milliseconds(request_.connect_timeout));
    curl_easy_setopt(it, CURLOPT_TIMEOUT_MS, static_cast<long>(timeout));
    curl_easy_setopt(it, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(connect));
    curl_easy_setopt(it, CURLOPT_FRESH_CONNECT, request_.fresh_connection ? 1L : 0L);
    curl_easy_setopt(it, CURLOPT_PREREQFUNCTION, &may_send);
    curl_easy_setopt(it, CURLOPT_PREREQDATA, this);
    curl_easy_setopt(it, CURLOPT_OPENSOCKETFUNCTION, &open_socket);
    curl_easy_setopt(it, CURLOPT_OPENSOCKETDATA, this);
    // A connection outlives the attempt that opened it.
    curl_easy_setopt(it, CURLOPT_CLOSESOCKETFUNCTION, &close_socket);
    curl_easy_setopt(it, CURLOPT_CLOSESOCKETDATA, &connections_);
    curl_easy_setopt(it, CURLOPT_HEADERFUNCTION, &take_header);
    curl_easy_setopt(it, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(it, CURLOPT_WRITEFUNCTION, &take_body);
    curl_easy_setopt(it, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(it, CURLOPT_DEBUGFUNCTION, &count_wire_bytes);
    curl_easy_setopt(it, CURLOPT_DEBUGDATA, this);
    // libcurl fails at the end of the headers if they announce a longer body.
    curl_easy_setopt(
        it,
        CURLOPT_MAXFILESIZE_LARGE,
        static_cast<curl_off_t>(request_.max_response_bytes));
    curl_easy_setopt(it, CURLOPT_PRIVATE, this);
}

void attempt::set_method()
{
    CURL* it = easy_.get();
    if (request_.method == "HEAD") {
        // The body of a HEAD request has no defined meaning (RFC 9110, 9.3.2); not sent.
        curl_easy_setopt(it, CURLOPT_NOBODY, 1L);
        return;
    }
    const std::string& body = request_.content();
    if (!body.empty() || method_implies_body(request_.method)) {
        curl_easy_setopt(it, CURLOPT_POST, 1L);
        curl_easy_setopt(it, CURLOPT_POSTFIELDS, body.c_str());
        curl_easy_setopt(
            it, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(body.size()));
    }
    curl_easy_setopt(it, CURLOPT_CUSTOMREQUEST, request_.method.c_str());
}

void attempt::add_headers()
{
    const auto append = [this](const std::string& line) {
        curl_slist* longer = curl_slist_append(fields_.get(), line.c_str());
        if (longer != nullptr) {
            static_cast<void>(fields_.release());
            fields_.reset(longer);
        }
    };
    for (const auto& [name, value] : request_.headers.fields()) {
        if (!is_managed_header(name)) {
            append(absl::StrCat(name, value.empty() ? ";" : ": ", value));
        }
    }
    // A header line without a value stops libcurl from adding its default.
    for (const char* name : {"Accept", "Content-Type", "User-Agent"}) {
        if (!request_.headers.has(name)) {
            append(absl::StrCat(name, ":"));
        }
    }
    append("Expect:");
    curl_easy_setopt(easy_.get(), CURLOPT_HTTPHEADER, fields_.get());
}

// libcurl calls this each time before it sends the request, also when it retries on
// another connection because a reused one was closed without a response.
int attempt::may_send(
    void* self, char* /*to*/, char* /*from*/, int /*to_port*/, int local_port)
{
    auto& it = *static_cast<attempt*>(self);
    if (it.sends_ > 0 && !it.allow_resend_) {
        return CURL_PREREQFUNC_ABORT;
    }
    if (!it.may_use_connection(local_port)) {
        it.needs_restart_ = true;
        return CURL_PREREQFUNC_ABORT;
    }
    ++it.sends_;
    return CURL_PREREQFUNC_OK;
}

curl_socket_t
attempt::open_socket(void* self, curlsocktype /*purpose*/, curl_sockaddr* to)
{
    auto& it = *static_cast<attempt*>(self);
    it.opened_socket_ = ::socket(to->family, to->socktype, to->protocol);
    return it.opened_socket_;
}

int attempt::close_socket(void* connections, curl_socket_t it)
{
    static_cast<connection_table*>(connections)->remove(it);
    return ::close(it);
}

bool attempt::may_use_connection(int local_port)
{
    long connects = 0;
    curl_easy_getinfo(easy_.get(), CURLINFO_NUM_CONNECTS, &connects);
    is_new_connection_ = connects > 0;
    head_ = response_head(is_new_connection_);
    use_ = {};
    local_port_ = local_port;
    auto* it = is_new_connection_
                   ? &connections_.add(request_.to, local_port, opened_socket_)
                   : connections_.find(request_.to, local_port);
    if (it == nullptr) {
        return true;
    }
    use_.earlier_requests = it->requests++;
    if (is_new_connection_) {
        return true;
    }
    use_.rested = core::monotonic_now() - it->last_response;
    char buf[max_waiting_bytes];
    const auto n = ::recv(it->socket, buf, sizeof buf, MSG_PEEK | MSG_DONTWAIT);
    discarded_bytes_ = n > 0 ? static_cast<std::uint32_t>(n) : 0;
    const bool is_idle = n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    return is_idle;
}

std::size_t
attempt::take_header(char* data, std::size_t /*one*/, std::size_t n, void* self)
{
    auto& it = *static_cast<attempt*>(self);
    return it.header_line(std::string_view(data, n)) ? n : 0;
}

bool attempt::header_line(std::string_view line)
{
    const bool was_final = head_.is_final();
    if (const auto why = head_.add(line); why != mismatch::none) {
        reject(why, line);
    } else if (!was_final && head_.is_final()) {
        finish_head();
    }
    return mismatch_ == mismatch::none;
}

void attempt::reject(mismatch why, std::string_view line)
{
    if (mismatch_ == mismatch::none) {
        mismatch_ = why;
        excerpt_ = absl::CHexEscape(
            absl::string_view(line.data(), std::min(line.size(), max_excerpt_bytes)));
    }
}

void attempt::finish_head()
{
    long status = 0;
    curl_easy_getinfo(easy_.get(), CURLINFO_RESPONSE_CODE, &status);
    response_.status = head_.status();
    response_.headers = head_.take_fields();
    if (status != response_.status) {
        reject(mismatch::status_line, {});
    }
    const auto& expected = request_.expected;
    const auto why =
        expected.check(response_.status, response_.headers, is_new_connection_);
    if (why != mismatch::none) {
        reject(why, response_.headers.get(expected.header));
    }
    if (expected.is_ambiguous_refusal(response_.headers)) {
        is_reuse_forbidden_ = true;
        curl_easy_setopt(easy_.get(), CURLOPT_FORBID_REUSE, 1L);
    }
    if (response_.headers.has("Transfer-Encoding")) {
        // libcurl passes the framing of chunks only to the debug function.
        curl_easy_setopt(easy_.get(), CURLOPT_VERBOSE, 1L);
    }
}

std::size_t attempt::take_body(char* data, std::size_t /*one*/, std::size_t n, void* self)
{
    auto& it = *static_cast<attempt*>(self);
    if (it.response_.body.size() + n > it.request_.max_response_bytes) {
        it.exceeds_body_limit_ = true;
        return 0;
    }
    it.response_.body.append(data, n);
    it.held_bytes_ += n;
    it.received_.held += n;
    return n;
}

int attempt::count_wire_bytes(
    CURL* /*easy*/, curl_infotype what, char* /*data*/, std::size_t n, void* self)
{
    auto& it = *static_cast<attempt*>(self);
    if (what == CURLINFO_DATA_IN) {
        it.wire_body_bytes_ += n;
        const auto most =
            framing_limit_bytes + max_wire_bytes_per_body_byte * it.response_.body.size();
        if (it.wire_body_bytes_ > most) {
            it.exceeds_framing_limit_ = true;
            it.received_.any_exceeds_framing_limit = true;
        }
    }
    return 0;
}

http::failure attempt::failure_of(CURLcode code)
{
    if (exceeds_body_limit_) {
        return failure::endless_response;
    }
    if (mismatch_ != mismatch::none) {
        return failure::malformed_response;
    }
    if (code != CURLE_OK && sends_ == 0) {
        return failure::connect;
    }
    switch (code) {
    case CURLE_OK:
        return check_framing();
    case CURLE_OPERATION_TIMEDOUT:
        return failure::timeout;
    case CURLE_FILESIZE_EXCEEDED:
        return failure::response_too_large;
    case CURLE_PARTIAL_FILE:
        return failure::short_response;
    case CURLE_WEIRD_SERVER_REPLY:
    case CURLE_UNSUPPORTED_PROTOCOL:
    case CURLE_BAD_CONTENT_ENCODING:
    case CURLE_HTTP_RETURNED_ERROR:
        reject(mismatch::not_http, {});
        return failure::malformed_response;
    default:
        return failure::reset;
    }
}

http::failure attempt::check_framing()
{
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    if (!head_.is_complete()) {
        return failure::reset; // libcurl reports success if the connection ends here.
    }
    if (!head_.is_final()) {
        reject(mismatch::framing, {});
        return failure::malformed_response; // The server switched protocols unasked.
    }
    if (request_.method == "HEAD" || response_.status == no_content ||
        response_.status == not_modified) {
        return failure::none;
    }
    const bool framed = response_.headers.has("Content-Length") ||
                        response_.headers.has("Transfer-Encoding");
    return framed || request_.accepts_close_delimited ? failure::none
                                                      : failure::short_response;
}

bool attempt::has_surplus() const
{
    long version = 0;
    curl_easy_getinfo(easy_.get(), CURLINFO_HTTP_VERSION, &version);
    const bool is_kept = version == CURL_HTTP_VERSION_1_1 && !is_reuse_forbidden_ &&
                         !response_.headers.has("Connection");
    const bool has_end = response_.headers.has("Content-Length") ||
                         response_.headers.has("Transfer-Encoding");
    return is_kept && has_end && connections_.find(request_.to, local_port_) == nullptr;
}

void attempt::finish(CURLcode code)
{
    connect_timed_out_ = code == CURLE_OPERATION_TIMEDOUT && sends_ == 0;
    report(failure_of(code));
}

bool attempt::needs_restart()
{
    if (!std::exchange(needs_restart_, false)) {
        return false;
    }
    curl_easy_setopt(easy_.get(), CURLOPT_FRESH_CONNECT, 1L);
    return true;
}

void attempt::cancel()
{
    report(failure::cancelled);
}

void attempt::abort_endless()
{
    report(failure::endless_response);
}

void attempt::report(http::failure why)
{
    client_result out;
    out.failure = why;
    out.mismatch = mismatch_;
    out.excerpt = std::move(excerpt_);
    out.connection = use_;
    if (sends_ == 0) {
        out.connection = {};
    }
    out.connection.waiting_bytes = discarded_bytes_;
    if (auto* it = connections_.find(request_.to, local_port_)) {
        it->last_response = core::monotonic_now();
    }
    out.elapsed = absl::FromChrono(std::chrono::steady_clock::now() - begin_);
    if (why == failure::none) {
        out.verdict = core::verdict::ran;
        out.connection.has_surplus = has_surplus();
        out.response = std::move(response_);
    } else {
        out.verdict = sends_ == 0 ? core::verdict::not_run : core::verdict::may_have_run;
    }
    out.reused_connection = sends_ > 0 && !is_new_connection_;
    out.connect_timed_out = connect_timed_out_;
    done_(std::move(out));
}

} // namespace cuminpitch::http
