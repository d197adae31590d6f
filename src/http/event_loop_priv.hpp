#pragma once

#include "pipelined_connection_priv.hpp"

#include <absl/container/flat_hash_map.h>

#include <atomic>
#include <thread>

namespace cuminpitch::http {

/// A thread that accepts connections and reads them, with epoll.
class event_loop : public connection_scheduler
{
public:
    /// `listener` is a non-blocking listening socket. It and `context` must outlive this.
    event_loop(pipelined_context& context, int listener, unsigned connection_limit);
    /// Closes all connections without the callbacks of open exchanges.
    ~event_loop() override;
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    void schedule(std::shared_ptr<pipelined_connection> it) override;
    void stop();

private:
    using time = pipelined_connection::time;

    void run();
    int wait_ms(time now);
    void accept_one();
    void serve(pipelined_connection& it, std::uint32_t events, time now);
    void serve_scheduled(time now);
    void close_idle(time now);
    void listen(bool is_wanted);
    void wake() const;

    pipelined_context& context_;
    const int listener_;
    const unsigned connection_limit_;
    const int epoll_;
    const int wakeup_;
    std::vector<char> buf_;
    absl::flat_hash_map<pipelined_connection*, std::shared_ptr<pipelined_connection>>
        connections_;
    /// Closed connections that events of the current turn may refer to.
    std::vector<std::shared_ptr<pipelined_connection>> closed_;
    bool is_listening_ = false;     ///< The listener is in the epoll set.
    bool is_listener_down_ = false; ///< The server has stopped listening.
    time next_sweep_{};

    absl::Mutex mutex_;
    bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
    std::vector<std::shared_ptr<pipelined_connection>> scheduled_ ABSL_GUARDED_BY(mutex_);
    std::atomic<std::thread::id> thread_id_{};
    std::thread thread_;
};

} // namespace cuminpitch::http
