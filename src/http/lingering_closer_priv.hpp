#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <chrono>
#include <thread>

namespace cuminpitch::http {

/// Keeps sockets open until the peer has closed its side. Closing a socket with unread
/// input resets the connection, and the reset can discard a response that the peer has
/// not read yet (RFC 9112, 9.6).
class lingering_closer
{
public:
    /// Monotonic, since the wall clock may jump.
    using time = std::chrono::steady_clock::time_point;

    lingering_closer();
    /// Closes all sockets immediately.
    ~lingering_closer();
    lingering_closer(const lingering_closer&) = delete;
    lingering_closer& operator=(const lingering_closer&) = delete;

    /// Shuts down the sending side of `socket` and keeps a duplicate of it if its peer
    /// may still send. The caller closes `socket` itself afterwards.
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
    std::thread thread_; ///< Started by the first linger().
};

} // namespace cuminpitch::http
