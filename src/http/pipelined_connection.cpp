#include "pipelined_connection_priv.hpp"

#include "request_checks_priv.hpp"
#include "response_bytes_priv.hpp"
#include "target_priv.hpp"

#include <absl/strings/match.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace cuminpitch::http {
namespace {

constexpr std::string_view continue_line = "HTTP/1.1 100 Continue\r\n\r\n";
/// No further request is read while more bytes of responses wait for the caller.
constexpr std::size_t max_waiting_bytes = 1U << 20U;
/// Reads in a row before other connections of the thread have their turn.
constexpr int max_reads = 16;
/// Two for each response. More responses than this are written by a second call.
constexpr std::size_t max_buffers = 64;

} // namespace

pipelined_connection::pipelined_connection(
    int socket,
    std::string peer,
    pipelined_context& context,
    connection_scheduler& thread)
    : socket_(socket), peer_(std::move(peer)), context_(context), thread_(thread),
      active_at_(std::chrono::steady_clock::now())
{
}

bool pipelined_connection::serve(std::uint32_t events, absl::Span<char> buf, time now)
{
    bool may_read = true;
    caller_left_ = caller_left_ || (events & EPOLLRDHUP) != 0;
    readable_ = readable_ || (events & EPOLLIN) != 0;
    reads_left_ = max_reads;
    {
        const absl::MutexLock lock(&mutex_);
        scheduled_ = false;
        if (closed_) {
            return true;
        }
        busy_ = true;
        paused_ = false;
        broken_ = broken_ || (events & (EPOLLERR | EPOLLHUP)) != 0;
        blocked_ = blocked_ && (events & EPOLLOUT) == 0;
        active_at_ = events != 0 ? now : active_at_;
        // A caller that leaves while requests are open wants no further ones to run. One
        // that sends its requests and shuts down its side at once is served as far as
        // the handler responds immediately.
        may_read = !broken_ && !(caller_left_ && !queue_.empty());
    }
    do {
        if (may_read) {
            receive(buf);
        }
    } while (settle());
    callbacks due;
    bool is_open = true;
    {
        const absl::MutexLock lock(&mutex_);
        due.swap(due_);
        is_open = !broken_ && !finished_;
    }
    for (const auto& callback : due) {
        callback();
    }
    return is_open;
}

void pipelined_connection::receive(absl::Span<char> buf)
{
    for (;;) {
        if (!pending_.empty() && !is_starved_) {
            pending_.erase(0, parse(pending_));
        }
        if (!readable_ || reads_left_ == 0 || !may_receive()) {
            return;
        }
        --reads_left_;
        const auto n = ::recv(socket_, buf.data(), buf.size(), 0);
        if (n > 0) {
            const auto size = static_cast<std::size_t>(n);
            // With edge-triggered events, a short read means that no input is left.
            readable_ = size == buf.size();
            const std::string_view in(buf.data(), size);
            if (pending_.empty()) {
                pending_ = in.substr(parse(in));
            } else {
                pending_ += in;
                is_starved_ = false;
            }
        } else if (n == 0) {
            caller_left_ = true;
            readable_ = false;
        } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
            readable_ = false;
        } else if (errno != EINTR) {
            const absl::MutexLock lock(&mutex_);
            broken_ = true;
            return;
        }
    }
}

bool pipelined_connection::may_receive()
{
    const absl::MutexLock lock(&mutex_);
    return !is_last_ && (parser_.has_value() || may_begin());
}

/// Returns the number of bytes that are done with.
std::size_t pipelined_connection::parse(std::string_view in)
{
    std::size_t used = 0;
    is_starved_ = false;
    while (used < in.size()) {
        if (!parser_) {
            const absl::MutexLock lock(&mutex_);
            if (!may_begin()) {
                return used;
            }
            // Empty lines before a request are skipped (RFC 9112, 2.2).
            if (in.substr(used).starts_with("\r\n")) {
                used += 2;
                continue;
            }
            if (in.substr(used) == "\r") {
                break;
            }
            parser_.emplace([this](std::string_view piece) { body_->append(piece); });
        }
        auto state = parser_->parse(in.substr(used), used);
        if (state == request_parser::state::head_done) {
            if (!begin_request()) {
                return in.size();
            }
            state = parser_->parse(in.substr(used), used);
        }
        if (state == request_parser::state::complete) {
            finish_request();
        } else if (state == request_parser::state::malformed) {
            fail(not_run_refusal(400, "malformed-request"));
            return in.size();
        } else if (state == request_parser::state::head_too_long) {
            fail(not_run_refusal(431, "headers-too-large"));
            return in.size();
        } else if (body_ && body_->is_endless()) {
            fail(*body_->refused());
            return in.size();
        } else {
            break;
        }
    }
    is_starved_ = true;
    return used;
}

/// Opens the exchange of a request whose head is complete. Returns false if the request
/// is refused without reading its body.
bool pipelined_connection::begin_request()
{
    auto& message = parser_->message;
    message.peer_address = peer_;
    const bool waits = message.headers.has("Expect");
    body_.emplace(context_.options, context_.held_bytes);
    if (!split_target(message)) {
        fail(not_run_refusal(400, "malformed-request"));
        return false;
    }
    body_->announce(parser_->announced_bytes());
    if (body_->refused() && (waits || body_->is_endless())) {
        fail(*body_->refused());
        return false;
    }
    receiving_ = std::make_shared<pipelined_exchange>(
        shared_from_this(), message.method == "HEAD", parser_->is_persistent());
    receiving_->wants_continue_ =
        parser_->has_body() && parser_->is_http_1_1() &&
        absl::EqualsIgnoreCase(message.headers.get("Expect"), "100-continue");
    return open(receiving_);
}

/// Returns false if an earlier response closes the connection.
bool pipelined_connection::open(const std::shared_ptr<pipelined_exchange>& it)
{
    const absl::MutexLock lock(&mutex_);
    if (is_last_) {
        it->gone_ = true;
        return false;
    }
    ++context_.in_flight;
    queue_.push_back(it);
    return true;
}

void pipelined_connection::finish_request()
{
    const auto to = std::move(receiving_);
    auto message = std::move(parser_->message);
    const auto refused = body_->refused();
    message.body = body_->take();
    bool is_wanted = true;
    {
        const absl::MutexLock lock(&mutex_);
        is_wanted = !to->gone_;
        is_last_ = is_last_ || !to->is_persistent_;
        to->wants_continue_ = false;
        if (is_wanted) {
            to->held_bytes_ = body_->take_held_bytes();
        }
    }
    parser_.reset();
    body_.reset();
    if (refused) {
        to->respond(refusal_response(*refused));
    } else if (is_wanted) {
        context_.handler(std::move(message), to);
    }
}

/// Refuses the request that is being received and all that follow.
void pipelined_connection::fail(const refusal& why)
{
    auto it = refusal_response(why);
    it.headers.set("Connection", "close");
    if (!receiving_) {
        receiving_ = std::make_shared<pipelined_exchange>(
            shared_from_this(), parser_->message.method == "HEAD", false);
        open(receiving_);
    }
    receiving_->respond(std::move(it));
    receiving_.reset();
    parser_.reset();
    body_.reset();
}

/// Writes what is ready. Returns true if there is input that may be read now.
bool pipelined_connection::settle()
{
    const absl::MutexLock lock(&mutex_);
    if (caller_left_) {
        is_last_ = true;
        const auto open = std::find_if(
            queue_.begin(), queue_.end(), [](const auto& it) { return !it->answered_; });
        cancel_from(static_cast<std::size_t>(open - queue_.begin()));
    }
    flush();
    finished_ = finished_ || (caller_left_ && queue_.empty());
    if (broken_ || finished_) {
        cancel_from(0);
        busy_ = false;
        return false;
    }
    if (has_unread_input() && (parser_ || may_begin())) {
        if (reads_left_ > 0) {
            return true;
        }
        schedule();
    } else {
        paused_ = has_unread_input();
    }
    busy_ = false;
    return false;
}

bool pipelined_connection::has_unread_input() const
{
    return !is_last_ && (readable_ || (!pending_.empty() && !is_starved_));
}

bool pipelined_connection::may_begin() const
{
    return !is_last_ && (queue_.empty() || !context_.is_draining) &&
           queue_.size() < context_.options.pipeline_depth &&
           waiting_bytes_ <= max_waiting_bytes;
}

void pipelined_connection::schedule()
{
    if (!scheduled_) {
        scheduled_ = true;
        thread_.schedule(shared_from_this());
    }
}

void pipelined_connection::answer(
    pipelined_exchange& to, std::optional<response> it, std::size_t body_bytes)
{
    std::string head;
    std::string body;
    bool closes = true;
    if (it) {
        const bool is_cut = body_bytes != std::string::npos;
        const bool is_last = !to.is_persistent_ || asks_to_close(it->headers);
        closes = is_cut || is_last;
        head = response_head_bytes(*it, to.is_head_);
        if (is_last) {
            add_close_field(head);
        }
        if (can_have_body(it->status, to.is_head_)) {
            body = std::move(it->body);
            body.resize(std::min(body.size(), body_bytes));
        }
    }
    std::function<void()> unused;
    const absl::MutexLock lock(&mutex_);
    if (to.answered_ || to.gone_) {
        return;
    }
    to.answered_ = true;
    to.closes_ = closes;
    waiting_bytes_ += head.size() + body.size();
    to.response_at_ = to.head_.size();
    to.head_ += head;
    to.body_ = std::move(body);
    unused.swap(to.callback_);
    if (closes) {
        is_last_ = true;
        const auto at = std::find_if(queue_.begin(), queue_.end(), [&](const auto& each) {
            return each.get() == &to;
        });
        cancel_from(static_cast<std::size_t>(at - queue_.begin()) + 1);
    }
    if (!busy_) {
        flush();
        if (broken_ || finished_ || !due_.empty() || (paused_ && may_begin())) {
            schedule();
        }
    }
}

void pipelined_connection::on_caller_gone(
    pipelined_exchange& of, std::function<void()> callback)
{
    {
        const absl::MutexLock lock(&mutex_);
        if (of.answered_) {
            return;
        }
        if (!of.gone_) {
            of.callback_.swap(callback);
            return;
        }
    }
    callback();
}

void pipelined_connection::flush()
{
    consume(0); // An exchange that is broken off without a response has no bytes.
    close_after_last();
    std::array<iovec, max_buffers> buffers{};
    while (!blocked_ && !broken_ && !finished_) {
        msghdr message{};
        message.msg_iov = buffers.data();
        message.msg_iovlen = gather(absl::MakeSpan(buffers));
        if (message.msg_iovlen == 0) {
            return;
        }
        const auto n = ::sendmsg(socket_, &message, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (n >= 0) {
            active_at_ = std::chrono::steady_clock::now();
            consume(static_cast<std::size_t>(n));
        } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
            blocked_ = true; // Until epoll reports the socket as writable.
        } else if (errno != EINTR) {
            broken_ = true;
        }
    }
}

/// While the server drains, marks the response to the last open request as the one that
/// closes the connection, unless a part of it has been written.
void pipelined_connection::close_after_last()
{
    if (!context_.is_draining || queue_.empty()) {
        return;
    }
    auto& last = *queue_.back();
    if (!last.answered_ || last.closes_ || last.written_ > last.response_at_) {
        return;
    }
    is_last_ = true;
    last.closes_ = true;
    waiting_bytes_ += add_close_field(last.head_);
}

/// Collects the bytes that may be written, up to the first exchange without a response.
std::size_t pipelined_connection::gather(absl::Span<iovec> out)
{
    std::size_t n = 0;
    for (const auto& it : queue_) {
        if (n + 2 > out.size()) {
            break;
        }
        if (!it->answered_ && it->wants_continue_) {
            it->wants_continue_ = false;
            it->head_ = continue_line;
            waiting_bytes_ += continue_line.size();
        }
        const std::size_t in_head = std::min(it->written_, it->head_.size());
        const std::size_t in_body = it->written_ - in_head;
        if (in_head < it->head_.size()) {
            out[n++] = {it->head_.data() + in_head, it->head_.size() - in_head};
        }
        if (in_body < it->body_.size()) {
            out[n++] = {it->body_.data() + in_body, it->body_.size() - in_body};
        }
        if (!it->answered_) {
            break;
        }
    }
    return n;
}

/// Removes the exchanges whose responses are written, after `bytes` more bytes.
void pipelined_connection::consume(std::size_t bytes)
{
    while (!queue_.empty() && !finished_) {
        const auto it = queue_.front();
        const std::size_t n = std::min(bytes, it->unwritten_bytes());
        it->written_ += n;
        bytes -= n;
        waiting_bytes_ -= n;
        if (!it->answered_ || it->unwritten_bytes() > 0) {
            return;
        }
        finished_ = it->closes_;
        queue_.pop_front();
        retire(*it);
    }
}

void pipelined_connection::cancel_from(std::size_t index)
{
    while (queue_.size() > index) {
        const auto it = std::move(queue_.back());
        queue_.pop_back();
        waiting_bytes_ -= it->unwritten_bytes();
        if (!it->answered_) {
            it->gone_ = true;
            if (it->callback_) {
                due_.push_back(std::exchange(it->callback_, nullptr));
            }
        }
        retire(*it);
    }
}

/// Must be called once for each exchange that leaves the queue.
void pipelined_connection::retire(pipelined_exchange& it)
{
    it.head_ = std::string();
    it.body_ = std::string();
    context_.held_bytes -= std::exchange(it.held_bytes_, 0);
    --context_.in_flight;
}

bool pipelined_connection::is_idle(time now, std::chrono::nanoseconds limit) const
{
    const absl::MutexLock lock(&mutex_);
    const bool waits_for_handler =
        !queue_.empty() && !queue_.front()->answered_ && queue_.front() != receiving_;
    return !waits_for_handler && now - active_at_ > limit;
}

void pipelined_connection::close(bool is_stopping)
{
    callbacks due;
    {
        const absl::MutexLock lock(&mutex_);
        closed_ = true;
        is_last_ = true;
        cancel_from(0);
        due.swap(due_);
    }
    if (!is_stopping) {
        context_.closer.linger(std::chrono::steady_clock::now(), socket_);
    }
    ::close(socket_);
    receiving_.reset();
    parser_.reset();
    body_.reset();
    pending_ = std::string();
    if (!is_stopping) {
        for (const auto& callback : due) {
            callback();
        }
    }
}

} // namespace cuminpitch::http
