#include "lingering_closer_priv.hpp"

#include <fcntl.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <cerrno>
#include <vector>

namespace cuminpitch::http {
namespace {

/// A peer that reads its response closes the connection within a round trip; 1 s covers
/// links between regions and one lost packet.
constexpr std::chrono::seconds max_linger(1);
/// Limits the file descriptors that lingering peers can occupy.
constexpr std::size_t max_sockets = 64;
constexpr int events_per_wait = 16;

/// True if the peer hasn't closed its side or there is unread input.
bool may_reset(int socket)
{
    char first = 0;
    const auto n = ::recv(socket, &first, 1, MSG_PEEK | MSG_DONTWAIT);
    return n > 0 || (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
}

} // namespace

lingering_closer::lingering_closer()
    : epoll_(::epoll_create1(EPOLL_CLOEXEC)), wakeup_(::eventfd(0, EFD_CLOEXEC))
{
    assert(epoll_ >= 0 && wakeup_ >= 0);
    epoll_event event{};
    event.events = EPOLLIN | EPOLLET;
    event.data.fd = wakeup_;
    ::epoll_ctl(epoll_, EPOLL_CTL_ADD, wakeup_, &event);
}

lingering_closer::~lingering_closer()
{
    bool is_started = false;
    {
        const absl::MutexLock lock(&mutex_);
        stopping_ = true;
        is_started = thread_.joinable();
    }
    if (is_started) {
        const std::uint64_t one = 1;
        [[maybe_unused]] const auto written = ::write(wakeup_, &one, sizeof one);
        thread_.join();
    }
    for (const auto& [socket, deadline] : deadlines_) {
        ::close(socket);
    }
    ::close(wakeup_);
    ::close(epoll_);
}

void lingering_closer::linger(time now, int socket)
{
    if (!may_reset(socket)) {
        return;
    }
    const absl::MutexLock lock(&mutex_);
    if (stopping_ || deadlines_.size() >= max_sockets) {
        return;
    }
    const int kept = ::fcntl(socket, F_DUPFD_CLOEXEC, 0);
    if (kept < 0) {
        return; // No descriptor is free: the socket closes without lingering.
    }
    ::shutdown(kept, SHUT_WR);
    deadlines_[kept] = now + max_linger;
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.fd = kept;
    ::epoll_ctl(epoll_, EPOLL_CTL_ADD, kept, &event);
    if (!thread_.joinable()) {
        thread_ = std::thread([this] { run(); });
    } else if (deadlines_.size() == 1) {
        const std::uint64_t one = 1;
        [[maybe_unused]] const auto written = ::write(wakeup_, &one, sizeof one);
    }
}

void lingering_closer::run()
{
    std::array<epoll_event, events_per_wait> events{};
    for (;;) {
        const int wait_ms = close_expired(std::chrono::steady_clock::now());
        const int n = ::epoll_wait(epoll_, events.data(), events_per_wait, wait_ms);
        for (int i = 0; i < n; ++i) {
            const int socket = events.at(static_cast<std::size_t>(i)).data.fd;
            if (socket != wakeup_) {
                discard(socket);
            }
        }
        const absl::MutexLock lock(&mutex_);
        if (stopping_) {
            return;
        }
    }
}

/// Closes expired sockets. Returns the time to the next deadline in ms, or -1 if no
/// socket is left.
int lingering_closer::close_expired(time now)
{
    std::vector<int> expired;
    auto next = time::max();
    {
        const absl::MutexLock lock(&mutex_);
        for (const auto& [socket, deadline] : deadlines_) {
            if (deadline <= now) {
                expired.push_back(socket);
            } else {
                next = std::min(next, deadline);
            }
        }
    }
    for (const int socket : expired) {
        close_one(socket);
    }
    if (next == time::max()) {
        return -1;
    }
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(next - now);
    return static_cast<int>(wait.count()) + 1;
}

void lingering_closer::discard(int socket)
{
    std::array<char, 16384> buf{};
    const auto n = ::recv(socket, buf.data(), buf.size(), MSG_DONTWAIT);
    if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR)) {
        close_one(socket);
    }
}

void lingering_closer::close_one(int socket)
{
    const absl::MutexLock lock(&mutex_);
    if (deadlines_.erase(socket) > 0) {
        // The server may not have closed its own descriptor of the connection yet. The
        // connection would then stay in the set under a number that is used again.
        ::epoll_ctl(epoll_, EPOLL_CTL_DEL, socket, nullptr);
        ::close(socket);
    }
}

} // namespace cuminpitch::http
