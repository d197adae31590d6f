#include "cuminpitch/net/tcp_transport.hpp"

#include "cuminpitch/core/clock.hpp"
#include "cuminpitch/telemetry/log.hpp"
#include "net/frame_codec_priv.hpp"
#include "net/unique_fd_priv.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/synchronization/mutex.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <deque>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

namespace cuminpitch::net {
namespace {

/// Minimum time between two attempts to connect to the same peer.
constexpr absl::Duration reconnect_interval = absl::Milliseconds(100);

/// A connection is closed if the peer's kernel does not acknowledge data for this long.
/// Thus a peer that becomes reachable again receives no outdated messages, and a dead
/// connection is replaced before changes must be in force, two seconds after their
/// commit.
constexpr unsigned user_timeout_ms = 1500;

/// A connection that a peer opened is silent for as long as the peer has nothing to send.
/// It is probed, and closed if the peer's kernel has not answered for the user timeout,
/// which takes precedence over the number of probes.
constexpr unsigned keepalive_idle_s = 10;
constexpr unsigned keepalive_interval_s = 3;
constexpr unsigned inbound_user_timeout_ms = 20'000;

constexpr auto last_channel = static_cast<std::uint8_t>(channel::group);

sockaddr_in to_sockaddr(const core::endpoint& it)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(it.port);
    inet_pton(AF_INET, it.host.c_str(), &address.sin_addr);
    return address;
}

void set_option(int fd, int level, int name, unsigned value)
{
    setsockopt(fd, level, name, &value, sizeof value);
}

core::result<unique_fd> open_listener(const core::endpoint& at)
{
    unique_fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    set_option(fd.get(), SOL_SOCKET, SO_REUSEADDR, 1);
    const auto address = to_sockaddr(at);
    if (::bind(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) !=
            0 ||
        ::listen(fd.get(), SOMAXCONN) != 0) {
        return make_error_code(core::errc::address_in_use);
    }
    return fd;
}

/// A connection that this process opens to send frames to a peer, and its send queue.
struct outbound
{
    unique_fd fd;
    bool connected = false;
    absl::Time next_attempt = absl::InfinitePast();
    std::deque<std::string> queue;
    std::size_t queued_bytes = 0;
    std::size_t front_sent_bytes = 0;
    /// When the connection was lost or refused, until it is made again.
    std::optional<absl::Time> lost_at;
    std::size_t dropped_frames = 0; ///< Since then.
};

/// A connection that a peer opened to send frames to this process.
struct inbound
{
    unique_fd fd;
    frame_reader reader;
    std::optional<peer> from;
};

} // namespace

struct tcp_transport::impl
{
    tcp_transport_options options;
    handler on_frame;
    unique_fd listener;
    unique_fd epoll;
    unique_fd wakeup;
    std::thread loop_thread;

    absl::Mutex mutex;
    bool stopping ABSL_GUARDED_BY(mutex) = false;
    absl::flat_hash_map<core::endpoint, std::vector<std::string>>
        pending_frames ABSL_GUARDED_BY(mutex);
    absl::flat_hash_map<core::endpoint, std::size_t> unsent_bytes ABSL_GUARDED_BY(mutex);
    std::size_t total_unsent_bytes ABSL_GUARDED_BY(mutex) = 0; ///< Sum of unsent_bytes.
    absl::flat_hash_set<core::endpoint> blocked ABSL_GUARDED_BY(mutex);

    // The following members are used by the loop thread only.
    absl::flat_hash_map<core::endpoint, outbound> outbounds;
    absl::flat_hash_map<int, core::endpoint> outbound_by_fd;
    absl::flat_hash_map<int, inbound> inbounds;

    void watch(int fd, std::uint32_t events, int operation) const
    {
        epoll_event event{};
        event.events = events;
        event.data.fd = fd;
        epoll_ctl(epoll.get(), operation, fd, &event);
    }

    void wake() const
    {
        const std::uint64_t one = 1;
        [[maybe_unused]] const auto n = ::write(wakeup.get(), &one, sizeof one);
    }

    void run();
    void send_pending(absl::Time now);
    void connect(const core::endpoint& to, outbound& it, absl::Time now);
    static void log_connected(const core::endpoint& to, outbound& it);
    void close(const core::endpoint& to, outbound& it);
    void flush(const core::endpoint& to, outbound& it);
    void discard_queue(const core::endpoint& to, outbound& it);
    void accept_all();
    void read_from(int fd);
    bool deliver(inbound& it);
};

void tcp_transport::impl::run()
{
    std::array<epoll_event, 64> events{};
    while (true) {
        const int n = epoll_wait(epoll.get(), events.data(), events.size(), 1000);
        {
            const absl::MutexLock lock(&mutex);
            if (stopping) {
                return;
            }
        }
        for (int i = 0; i < n; ++i) {
            const int fd = events[i].data.fd;
            if (fd == listener.get()) {
                accept_all();
            } else if (fd == wakeup.get()) {
                std::uint64_t count = 0;
                [[maybe_unused]] const auto read = ::read(fd, &count, sizeof count);
            } else if (inbounds.contains(fd)) {
                read_from(fd);
            } else if (const auto it = outbound_by_fd.find(fd);
                       it != outbound_by_fd.end()) {
                const core::endpoint to = it->second;
                auto& out = outbounds[to];
                if ((events[i].events & (EPOLLERR | EPOLLHUP | EPOLLRDHUP)) != 0) {
                    close(to, out);
                } else {
                    out.connected = true;
                    log_connected(to, out);
                    flush(to, out);
                }
            }
        }
        send_pending(core::monotonic_now());
    }
}

void tcp_transport::impl::send_pending(absl::Time now)
{
    absl::flat_hash_map<core::endpoint, std::vector<std::string>> pending;
    {
        const absl::MutexLock lock(&mutex);
        pending.swap(pending_frames);
    }
    for (auto& [to, frames] : pending) {
        auto& out = outbounds[to];
        for (auto& it : frames) {
            out.queued_bytes += it.size();
            out.queue.push_back(std::move(it));
        }
        if (!out.fd) {
            connect(to, out, now);
        }
        if (out.connected) {
            flush(to, out);
        }
    }
}

void tcp_transport::impl::connect(const core::endpoint& to, outbound& it, absl::Time now)
{
    if (now < it.next_attempt) {
        discard_queue(to, it);
        return;
    }
    it.next_attempt = now + reconnect_interval;
    it.fd = unique_fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    set_option(it.fd.get(), IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(it.fd.get(), IPPROTO_TCP, TCP_USER_TIMEOUT, user_timeout_ms);
    const auto address = to_sockaddr(to);
    const int rc = ::connect(
        it.fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address);
    if (rc != 0 && errno != EINPROGRESS) {
        close(to, it);
        return;
    }
    it.connected = false;
    std::string hello = encode_frame(hello_channel, encode_hello(options.self));
    it.queued_bytes += hello.size();
    it.queue.push_front(std::move(hello));
    {
        const absl::MutexLock lock(&mutex);
        unsent_bytes[to] += it.queue.front().size();
        total_unsent_bytes += it.queue.front().size();
    }
    outbound_by_fd[it.fd.get()] = to;
    watch(it.fd.get(), EPOLLOUT | EPOLLRDHUP | EPOLLET, EPOLL_CTL_ADD);
}

void tcp_transport::impl::log_connected(const core::endpoint& to, outbound& it)
{
    const auto lost_at = std::exchange(it.lost_at, std::nullopt);
    const auto dropped = std::exchange(it.dropped_frames, 0);
    if (lost_at) {
        telemetry::log(
            telemetry::severity::info,
            "connection restored",
            {{"peer", to.str()},
             {"away_ms", absl::ToInt64Milliseconds(core::monotonic_now() - *lost_at)},
             {"dropped_frames", static_cast<std::int64_t>(dropped)}});
    }
}

void tcp_transport::impl::close(const core::endpoint& to, outbound& it)
{
    if (!it.lost_at) {
        it.lost_at = core::monotonic_now();
        telemetry::log(
            telemetry::severity::info,
            "connection lost",
            {{"peer", to.str()}, {"was_connected", it.connected}});
    }
    if (it.fd) {
        outbound_by_fd.erase(it.fd.get());
    }
    it.fd = unique_fd();
    it.connected = false;
    discard_queue(to, it);
}

void tcp_transport::impl::discard_queue(const core::endpoint& to, outbound& it)
{
    it.dropped_frames += it.queue.size();
    it.queue.clear();
    it.front_sent_bytes = 0;
    const absl::MutexLock lock(&mutex);
    unsent_bytes[to] -= it.queued_bytes;
    total_unsent_bytes -= it.queued_bytes;
    it.queued_bytes = 0;
}

void tcp_transport::impl::flush(const core::endpoint& to, outbound& it)
{
    while (!it.queue.empty()) {
        const std::string& buf = it.queue.front();
        const auto n = ::send(
            it.fd.get(),
            buf.data() + it.front_sent_bytes,
            buf.size() - it.front_sent_bytes,
            MSG_NOSIGNAL);
        if (n < 0) {
            if (errno != EAGAIN && errno != EINTR) {
                close(to, it);
            }
            return;
        }
        it.front_sent_bytes += static_cast<std::size_t>(n);
        if (it.front_sent_bytes == buf.size()) {
            const auto size = buf.size();
            it.queue.pop_front();
            it.front_sent_bytes = 0;
            it.queued_bytes -= size;
            const absl::MutexLock lock(&mutex);
            unsent_bytes[to] -= size;
            total_unsent_bytes -= size;
        }
    }
}

void tcp_transport::impl::accept_all()
{
    while (true) {
        unique_fd fd(
            ::accept4(listener.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
        if (!fd) {
            return;
        }
        const int raw = fd.get();
        set_option(raw, SOL_SOCKET, SO_KEEPALIVE, 1);
        set_option(raw, IPPROTO_TCP, TCP_KEEPIDLE, keepalive_idle_s);
        set_option(raw, IPPROTO_TCP, TCP_KEEPINTVL, keepalive_interval_s);
        set_option(raw, IPPROTO_TCP, TCP_USER_TIMEOUT, inbound_user_timeout_ms);
        watch(raw, EPOLLIN, EPOLL_CTL_ADD);
        inbounds.emplace(
            raw, inbound{std::move(fd), frame_reader(options.max_frame_bytes), {}});
    }
}

void tcp_transport::impl::read_from(int fd)
{
    auto& it = inbounds.at(fd);
    std::array<char, 65536> buf;
    const auto n = ::recv(fd, buf.data(), buf.size(), 0);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (n > 0) {
        it.reader.append(buf.data(), static_cast<std::size_t>(n));
    }
    if (n <= 0 || !deliver(it)) {
        inbounds.erase(fd);
    }
}

/// Passes complete frames to the handler. False if the connection must be closed.
bool tcp_transport::impl::deliver(inbound& it)
{
    while (auto raw = it.reader.next()) {
        if (!it.from) {
            it.from =
                raw->channel == hello_channel ? decode_hello(raw->payload) : std::nullopt;
            if (!it.from) {
                return false;
            }
            continue;
        }
        if (raw->channel < 1 || raw->channel > last_channel) {
            return false;
        }
        on_frame(
            *it.from,
            frame{static_cast<net::channel>(raw->channel), std::move(raw->payload)});
    }
    return !it.reader.is_malformed();
}

tcp_transport::tcp_transport(std::unique_ptr<impl> it) : impl_(std::move(it)) {}

core::result<std::unique_ptr<tcp_transport>>
tcp_transport::create(tcp_transport_options options, handler on_frame)
{
    auto listener = open_listener(options.listen.value_or(options.self.internal));
    if (!listener) {
        return listener.error();
    }
    auto it = std::make_unique<impl>();
    it->options = std::move(options);
    it->on_frame = std::move(on_frame);
    it->listener = std::move(listener).value();
    it->epoll = unique_fd(epoll_create1(EPOLL_CLOEXEC));
    it->wakeup = unique_fd(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC));
    it->watch(it->listener.get(), EPOLLIN, EPOLL_CTL_ADD);
    it->watch(it->wakeup.get(), EPOLLIN, EPOLL_CTL_ADD);
    it->loop_thread = std::thread([raw = it.get()] { raw->run(); });
    return std::unique_ptr<tcp_transport>(new tcp_transport(std::move(it)));
}

tcp_transport::~tcp_transport()
{
    {
        const absl::MutexLock lock(&impl_->mutex);
        impl_->stopping = true;
    }
    impl_->wake();
    impl_->loop_thread.join();
}

void tcp_transport::send(const core::endpoint& to, frame message)
{
    std::string buf = encode_frame(std::move(message));
    {
        const absl::MutexLock lock(&impl_->mutex);
        auto& unsent = impl_->unsent_bytes[to];
        const auto& options = impl_->options;
        const bool is_full = unsent > 0 && unsent + buf.size() > options.max_queued_bytes;
        const auto total = impl_->total_unsent_bytes;
        const bool is_total_full = total > 0 && buf.size() >= options.min_limited_bytes &&
                                   total + buf.size() > options.max_total_queued_bytes;
        if (impl_->blocked.contains(to) || is_full || is_total_full) {
            return;
        }
        unsent += buf.size();
        impl_->total_unsent_bytes += buf.size();
        impl_->pending_frames[to].push_back(std::move(buf));
    }
    impl_->wake();
}

void tcp_transport::set_blocked(const core::endpoint& to, bool blocked)
{
    const absl::MutexLock lock(&impl_->mutex);
    if (blocked) {
        impl_->blocked.insert(to);
    } else {
        impl_->blocked.erase(to);
    }
}

} // namespace cuminpitch::net
