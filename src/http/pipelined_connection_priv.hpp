#pragma once

#include "incoming_body_priv.hpp"
#include "lingering_closer_priv.hpp"
#include "pipelined_exchange_priv.hpp"
#include "request_parser_priv.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/types/span.h>
#include <sys/uio.h>

#include <chrono>
#include <deque>
#include <vector>

namespace cuminpitch::http {

class pipelined_connection;

/// What the connections of a server share.
struct pipelined_context
{
    const server_options options;
    const server::handler handler;
    std::atomic<std::uint64_t> held_bytes{0};
    std::atomic<std::size_t> in_flight{0};
    std::atomic<bool> is_draining{false};
    lingering_closer closer;
};

/// The thread that reads a connection.
class connection_scheduler
{
public:
    virtual ~connection_scheduler() = default;
    /// Makes the thread call pipelined_connection::serve(). Thread-safe.
    virtual void schedule(std::shared_ptr<pipelined_connection> it) = 0;
};

/// A connection of a caller with its open exchanges, in the order of their requests. The
/// requests are read on one thread. Responses are written by the thread that has them.
class pipelined_connection : public std::enable_shared_from_this<pipelined_connection>
{
public:
    using time = std::chrono::steady_clock::time_point;

    /// Takes over the non-blocking `socket`. `context` and `thread` must outlive close().
    pipelined_connection(
        int socket,
        std::string peer,
        pipelined_context& context,
        connection_scheduler& thread);

    /// Reads, hands over and writes what it can. `events` are those of epoll, `buf` is
    /// used during the call only. Returns false if the connection must be closed. Must be
    /// called on the thread of the connection.
    bool serve(std::uint32_t events, absl::Span<char> buf, time now);

    /// True if the caller has been inactive for `limit` while the server waits for it.
    bool is_idle(time now, std::chrono::nanoseconds limit) const;

    /// Closes the socket. With `is_stopping` the callbacks of open exchanges don't run.
    void close(bool is_stopping);

    int socket() const { return socket_; }

    /// For pipelined_exchange.
    void
    answer(pipelined_exchange& to, std::optional<response> it, std::size_t body_bytes);
    void on_caller_gone(pipelined_exchange& of, std::function<void()> callback);

private:
    using callbacks = std::vector<std::function<void()>>;

    // On the thread of the connection:
    void receive(absl::Span<char> buf);
    bool may_receive();
    std::size_t parse(std::string_view in);
    bool begin_request();
    bool open(const std::shared_ptr<pipelined_exchange>& it);
    void finish_request();
    void fail(const refusal& why);
    bool settle();
    bool has_unread_input() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    bool may_begin() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void flush() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void close_after_last() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    std::size_t gather(absl::Span<iovec> out) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void consume(std::size_t bytes) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void cancel_from(std::size_t index) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void schedule() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void retire(pipelined_exchange& it) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    const int socket_;
    const std::string peer_;
    pipelined_context& context_;
    connection_scheduler& thread_;

    // Used on the thread of the connection only:
    std::optional<request_parser> parser_; ///< Of the request that is being received.
    std::optional<incoming_body> body_;
    std::shared_ptr<pipelined_exchange> receiving_; ///< Null until its head is complete.
    std::string pending_;                           ///< Input that isn't parsed yet.
    bool is_starved_ = false;                       ///< `pending_` is part of something.
    bool readable_ = false;                         ///< The socket may have input.
    bool caller_left_ = false;
    int reads_left_ = 0; ///< In this call of serve().

    mutable absl::Mutex mutex_;
    std::deque<std::shared_ptr<pipelined_exchange>> queue_ ABSL_GUARDED_BY(mutex_);
    std::size_t waiting_bytes_ ABSL_GUARDED_BY(mutex_) = 0;
    callbacks due_ ABSL_GUARDED_BY(mutex_);
    time active_at_ ABSL_GUARDED_BY(mutex_);
    /// The thread of the connection runs serve() and will write.
    bool busy_ ABSL_GUARDED_BY(mutex_) = false;
    bool scheduled_ ABSL_GUARDED_BY(mutex_) = false;
    bool paused_ ABSL_GUARDED_BY(mutex_) = false;   ///< Input waits for may_begin().
    bool blocked_ ABSL_GUARDED_BY(mutex_) = false;  ///< The socket takes no output.
    bool is_last_ ABSL_GUARDED_BY(mutex_) = false;  ///< No request is read any more.
    bool finished_ ABSL_GUARDED_BY(mutex_) = false; ///< The last response is written.
    bool broken_ ABSL_GUARDED_BY(mutex_) = false;
    bool closed_ ABSL_GUARDED_BY(mutex_) = false;
};

} // namespace cuminpitch::http
