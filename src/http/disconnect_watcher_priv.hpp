#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <memory>
#include <thread>
#include <vector>

namespace cuminpitch::http {

/// Notified when the peer of a watched connection closes it.
class disconnect_listener
{
public:
    virtual ~disconnect_listener() = default;
    virtual void on_disconnect() = 0;
    /// Called when the server stops. The listener must resume its connection.
    virtual void on_server_stop() = 0;
};

/// Watches the sockets of suspended connections, which libmicrohttpd does not read. A
/// caller that shuts down only its sending side also counts as disconnected.
class disconnect_watcher
{
public:
    disconnect_watcher();
    ~disconnect_watcher();
    disconnect_watcher(const disconnect_watcher&) = delete;
    disconnect_watcher& operator=(const disconnect_watcher&) = delete;

    /// Returns false once stop() was called. The socket must stay open until remove().
    bool add(int socket, std::uint64_t id, std::shared_ptr<disconnect_listener> it);
    void remove(int socket, std::uint64_t id);

    /// Accepts no more sockets and calls on_server_stop() of all listeners.
    void stop();

private:
    void run();

    int epoll_ = -1;
    int wakeup_ = -1;
    absl::Mutex mutex_;
    bool stopping_ = false;
    absl::flat_hash_map<std::uint64_t, std::shared_ptr<disconnect_listener>> listeners_;
    std::thread thread_;
};

} // namespace cuminpitch::http
