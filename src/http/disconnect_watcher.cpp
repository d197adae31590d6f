#include "disconnect_watcher_priv.hpp"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <array>
#include <cassert>

namespace cuminpitch::http {
namespace {

constexpr std::uint64_t wakeup_id = 0;
constexpr int events_per_wait = 64;

} // namespace

disconnect_watcher::disconnect_watcher()
    : epoll_(::epoll_create1(EPOLL_CLOEXEC)), wakeup_(::eventfd(0, EFD_CLOEXEC))
{
    assert(epoll_ >= 0 && wakeup_ >= 0);
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.u64 = wakeup_id;
    ::epoll_ctl(epoll_, EPOLL_CTL_ADD, wakeup_, &event);
    thread_ = std::thread([this] { run(); });
}

disconnect_watcher::~disconnect_watcher()
{
    stop();
    thread_.join();
    ::close(wakeup_);
    ::close(epoll_);
}

bool disconnect_watcher::add(
    int socket, std::uint64_t id, std::shared_ptr<disconnect_listener> it)
{
    const absl::MutexLock lock(&mutex_);
    if (stopping_) {
        return false;
    }
    listeners_[id] = std::move(it);
    epoll_event event{};
    event.events = EPOLLRDHUP | EPOLLONESHOT;
    event.data.u64 = id;
    ::epoll_ctl(epoll_, EPOLL_CTL_ADD, socket, &event);
    return true;
}

void disconnect_watcher::remove(int socket, std::uint64_t id)
{
    const absl::MutexLock lock(&mutex_);
    if (listeners_.erase(id) > 0) {
        ::epoll_ctl(epoll_, EPOLL_CTL_DEL, socket, nullptr);
    }
}

void disconnect_watcher::stop()
{
    std::vector<std::shared_ptr<disconnect_listener>> all;
    {
        const absl::MutexLock lock(&mutex_);
        stopping_ = true;
        for (const auto& [id, it] : listeners_) {
            all.push_back(it);
        }
    }
    for (const auto& it : all) {
        it->on_server_stop();
    }
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto written = ::write(wakeup_, &one, sizeof one);
}

void disconnect_watcher::run()
{
    std::array<epoll_event, events_per_wait> events{};
    for (;;) {
        const int n = ::epoll_wait(epoll_, events.data(), events_per_wait, -1);
        for (int i = 0; i < n; ++i) {
            const auto id = events.at(static_cast<std::size_t>(i)).data.u64;
            if (id == wakeup_id) {
                return;
            }
            std::shared_ptr<disconnect_listener> it;
            {
                const absl::MutexLock lock(&mutex_);
                const auto found = listeners_.find(id);
                if (found != listeners_.end()) {
                    it = found->second;
                }
            }
            if (it) {
                it->on_disconnect();
            }
        }
    }
}

} // namespace cuminpitch::http
