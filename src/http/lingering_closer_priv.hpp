#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <chrono>
#include <thread>

namespace cuminpitch::http {

/// Closes sockets only after the peer has closed its side. A socket that is closed with
/// unread input is reset, and the reset can discard a response that the peer has not read
/// yet (RFC 9112, 9.6).
class lingering_closer
{
public:
    /// Not the time of day, which may jump.
    using time = std::chrono::steady_clock::time_point;

    lingering_closer();
    /// Closes all sockets at once.
    ~lingering_closer();
    lingering_closer(const lingering_closer&) = delete;
    lingering_closer& operator=(const lingering_closer&) = delete;

    /// Takes over a duplicate of `socket` if its peer may still send. The caller closes
    /// `socket` itself, after it has shut down its sending side.
    void linger(time now, int socket);

private:
    void run();
    int close_expired(time now);
    void discard(int socket);
    void close_one(int socket);

    int epoll_ = -1;
    int wakeup_ = -1;
    absl::Mutex mutex_;
    bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
    absl::flat_hash_map<int, time> deadlines_ ABSL_GUARDED_BY(mutex_);
    std::thread thread_; ///< Started with the first socket.
};

} // namespace cuminpitch::http
