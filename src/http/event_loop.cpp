#include "event_loop_priv.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <cerrno>

namespace cuminpitch::http {
namespace {

constexpr std::size_t read_bytes = 32U << 10U;
constexpr int events_per_wait = 64;
/// Idle connections are looked for this often in the idle timeout, within the bounds.
constexpr int sweeps_per_timeout = 8;
constexpr std::chrono::milliseconds min_sweep(10);
constexpr std::chrono::milliseconds max_sweep(5000);
/// Time after which accepting is tried again if no descriptor is free.
constexpr std::chrono::milliseconds accept_retry(100);

std::chrono::milliseconds sweep_interval(absl::Duration idle_timeout)
{
    const auto part = absl::ToChronoMilliseconds(idle_timeout / sweeps_per_timeout);
    return std::clamp(part, min_sweep, max_sweep);
}

} // namespace

event_loop::event_loop(
    pipelined_context& context, int listener, unsigned connection_limit)
    : context_(context), listener_(listener), connection_limit_(connection_limit),
      epoll_(::epoll_create1(EPOLL_CLOEXEC)),
      wakeup_(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)), buf_(read_bytes)
{
    assert(epoll_ >= 0 && wakeup_ >= 0);
    epoll_event event{};
    event.events = EPOLLIN | EPOLLET; // Each write is an event, so nothing reads it.
    event.data.ptr = nullptr;
    ::epoll_ctl(epoll_, EPOLL_CTL_ADD, wakeup_, &event);
    listen(true);
    thread_ = std::thread([this] { run(); });
}

event_loop::~event_loop()
{
    stop();
    for (const auto& [key, it] : connections_) {
        it->close(true);
    }
    ::close(wakeup_);
    ::close(epoll_);
}

void event_loop::stop()
{
    {
        const absl::MutexLock lock(&mutex_);
        stopping_ = true;
    }
    if (thread_.joinable()) {
        wake();
        thread_.join();
    }
}

void event_loop::schedule(std::shared_ptr<pipelined_connection> it)
{
    const absl::MutexLock lock(&mutex_);
    scheduled_.push_back(std::move(it));
    // The thread itself looks at the list before it waits.
    if (scheduled_.size() == 1 && std::this_thread::get_id() != thread_id_.load()) {
        wake();
    }
}

void event_loop::wake() const
{
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto written = ::write(wakeup_, &one, sizeof one);
}

void event_loop::run()
{
    thread_id_ = std::this_thread::get_id();
    std::array<epoll_event, events_per_wait> events{};
    auto now = std::chrono::steady_clock::now();
    for (;;) {
        const int timeout = wait_ms(now);
        const int n = ::epoll_wait(epoll_, events.data(), events_per_wait, timeout);
        now = std::chrono::steady_clock::now();
        for (int i = 0; i < n; ++i) {
            const auto& event = events.at(static_cast<std::size_t>(i));
            if (event.data.ptr == this) {
                accept_one();
            } else if (event.data.ptr != nullptr) {
                serve(
                    *static_cast<pipelined_connection*>(event.data.ptr),
                    event.events,
                    now);
            }
        }
        serve_scheduled(now);
        if (now >= next_sweep_) {
            close_idle(now);
        }
        closed_.clear();
        const absl::MutexLock lock(&mutex_);
        if (stopping_) {
            return;
        }
    }
}

/// Time until the next sweep in ms, or -1 if none is needed.
int event_loop::wait_ms(time now)
{
    {
        const absl::MutexLock lock(&mutex_);
        if (!scheduled_.empty()) {
            return 0;
        }
    }
    const bool is_retrying = !is_listening_ && !is_listener_down_;
    if (!is_retrying &&
        (connections_.empty() || context_.options.idle_timeout <= absl::ZeroDuration())) {
        return -1;
    }
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(next_sweep_ - now).count();
    return static_cast<int>(std::max<std::int64_t>(left, 0)) + 1;
}

void event_loop::accept_one()
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    const int socket = ::accept4(
        listener_,
        reinterpret_cast<sockaddr*>(&address),
        &size,
        SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (socket < 0) {
        // EINVAL: the server has stopped listening.
        is_listener_down_ = errno == EINVAL;
        if (errno != EAGAIN && errno != EINTR && errno != ECONNABORTED) {
            listen(false);
        }
        return;
    }
    char peer[INET_ADDRSTRLEN] = "";
    ::inet_ntop(AF_INET, &address.sin_addr, peer, sizeof peer);
    const auto it = std::make_shared<pipelined_connection>(socket, peer, context_, *this);
    connections_.emplace(it.get(), it);
    epoll_event event{};
    event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
    event.data.ptr = it.get();
    ::epoll_ctl(epoll_, EPOLL_CTL_ADD, socket, &event);
    if (connections_.size() >= connection_limit_) {
        listen(false);
    }
}

/// Adds the listener to the epoll set or removes it. Callers wait in the backlog of the
/// listener while it is not in the set.
void event_loop::listen(bool is_wanted)
{
    if (is_wanted == is_listening_ || (is_wanted && is_listener_down_)) {
        return;
    }
    is_listening_ = is_wanted;
    epoll_event event{};
    event.events = EPOLLIN | EPOLLEXCLUSIVE; // One thread wakes up for a connection.
    event.data.ptr = this;
    ::epoll_ctl(epoll_, is_wanted ? EPOLL_CTL_ADD : EPOLL_CTL_DEL, listener_, &event);
    next_sweep_ = std::min(next_sweep_, std::chrono::steady_clock::now() + accept_retry);
}

void event_loop::serve(pipelined_connection& it, std::uint32_t events, time now)
{
    if (!it.serve(events, absl::MakeSpan(buf_), now)) {
        const auto found = connections_.find(&it);
        if (found != connections_.end()) {
            // The closer may keep the connection open with a descriptor of its own.
            ::epoll_ctl(epoll_, EPOLL_CTL_DEL, it.socket(), nullptr);
            closed_.push_back(std::move(found->second));
            connections_.erase(found);
            closed_.back()->close(false);
            listen(true);
        }
    }
}

void event_loop::serve_scheduled(time now)
{
    std::vector<std::shared_ptr<pipelined_connection>> due;
    {
        const absl::MutexLock lock(&mutex_);
        due.swap(scheduled_);
    }
    for (const auto& it : due) {
        serve(*it, 0, now);
    }
}

void event_loop::close_idle(time now)
{
    const auto idle_timeout = context_.options.idle_timeout;
    next_sweep_ = now + sweep_interval(idle_timeout);
    if (connections_.size() < connection_limit_) {
        listen(true);
    }
    if (idle_timeout <= absl::ZeroDuration()) {
        return;
    }
    std::vector<std::shared_ptr<pipelined_connection>> idle;
    for (const auto& [key, it] : connections_) {
        if (it->is_idle(now, absl::ToChronoNanoseconds(idle_timeout))) {
            idle.push_back(it);
        }
    }
    for (const auto& it : idle) {
        ::epoll_ctl(epoll_, EPOLL_CTL_DEL, it->socket(), nullptr);
        connections_.erase(it.get());
        it->close(false);
    }
}

} // namespace cuminpitch::http
