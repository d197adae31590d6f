#include "soak/loopback_proxy.hpp"

#include "cuminpitch/core/random.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/strings/numbers.h>
#include <absl/synchronization/mutex.h>
#include <boost/asio.hpp>

#include <array>
#include <atomic>
#include <thread>

namespace cuminpitch::testing {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

/// Interval at which a held direction checks whether it may continue.
constexpr std::chrono::milliseconds hold_check_interval(5);
constexpr std::size_t block_bytes = 16384;

tcp::endpoint to_asio(const core::endpoint& it)
{
    return {asio::ip::make_address(it.host), it.port};
}

/// Length of the head of the response that `it` consists of; 0 if it isn't whole, or
/// something else.
std::size_t head_of_whole(const std::string& it)
{
    constexpr std::string_view end = "\r\n\r\n";
    constexpr std::string_view field = "Content-Length: ";
    const auto head = it.find(end);
    const auto at = it.find(field);
    if (!it.starts_with("HTTP/1.1 ") || head == std::string::npos || at > head) {
        return 0;
    }
    const auto from = at + field.size();
    std::size_t length = 0;
    const bool is_number =
        absl::SimpleAtoi(it.substr(from, it.find('\r', from) - from), &length);
    return is_number && it.size() == head + end.size() + length ? head + end.size() : 0;
}

void close_with_reset(tcp::socket& it)
{
    error_code ec; // The socket may be closed already.
    it.set_option(asio::socket_base::linger(true, 0), ec);
    it.close(ec);
}

struct proxy;

/// A pair of sockets that are connected through the proxy. At most one block is in
/// transit in each direction.
class pipe : public std::enable_shared_from_this<pipe>
{
public:
    pipe(asio::io_context& io, proxy& owner, tcp::socket caller)
        : owner_(owner), ends_{std::move(caller), tcp::socket(io)},
          timers_{asio::steady_timer(io), asio::steady_timer(io)}
    {
    }

    void open(const tcp::endpoint& to);
    void reset()
    {
        for (auto& it : ends_) {
            close_with_reset(it);
        }
        for (auto& it : timers_) {
            it.cancel();
        }
    }

private:
    void read(std::size_t from);
    void hold(std::size_t from, std::size_t n, std::chrono::nanoseconds wait);
    void write(std::size_t from, std::size_t n);
    void finish(std::size_t from, const error_code& why);
    void repeat();
    void write_again(const std::string& first, const std::string& rest);
    void write_again_after(
        std::uint64_t ms, const std::string& first, const std::string& rest);

    proxy& owner_;
    std::array<tcp::socket, 2> ends_; ///< The caller and the target.
    std::array<asio::steady_timer, 2> timers_;
    std::array<std::array<char, block_bytes>, 2> blocks_{};
    int ended_ = 0;
    std::string response_; ///< What the target sent since the last byte of the caller.
    /// Repetitions that the next request triggers, each in two parts.
    std::vector<std::pair<std::string, std::string>> waiting_;
};

struct proxy
{
    proxy(
        asio::io_context& it,
        const core::endpoint& from,
        const core::endpoint& to,
        std::atomic<std::uint64_t>& count)
        : io(it), acceptor(it, to_asio(from)), target(to), repetitions(count)
    {
    }

    void accept()
    {
        acceptor.async_accept([this](const error_code& ec, tcp::socket caller) {
            if (ec) {
                return;
            }
            if (state.refuses) {
                close_with_reset(caller);
            } else {
                const auto it = std::make_shared<pipe>(io, *this, std::move(caller));
                pipes.insert(it);
                it->open(to_asio(target));
            }
            accept();
        });
    }

    asio::io_context& io;
    tcp::acceptor acceptor;
    core::endpoint target;
    proxy_loop::impairment state;
    proxy_loop::repetition repeated;
    core::random_source random;
    std::atomic<std::uint64_t>& repetitions;
    absl::flat_hash_set<std::shared_ptr<pipe>> pipes;
};

void pipe::open(const tcp::endpoint& to)
{
    ends_[1].async_connect(to, [self = shared_from_this()](const error_code& ec) {
        if (ec) {
            self->finish(1, ec);
            return;
        }
        self->read(0);
        self->read(1);
    });
}

void pipe::read(std::size_t from)
{
    ends_[from].async_read_some(
        asio::buffer(blocks_[from]),
        [self = shared_from_this(), from](const error_code& ec, std::size_t n) {
            if (ec) {
                self->finish(from, ec);
            } else {
                self->hold(from, n, absl::ToChronoNanoseconds(self->owner_.state.delay));
            }
        });
}

void pipe::hold(std::size_t from, std::size_t n, std::chrono::nanoseconds wait)
{
    const auto& state = owner_.state;
    const bool is_held = from == 0 ? state.holds_to_target : state.holds_to_caller;
    if (wait.count() == 0 && !is_held) {
        write(from, n);
        return;
    }
    timers_[from].expires_after(is_held ? hold_check_interval : wait);
    timers_[from].async_wait([self = shared_from_this(), from, n, is_held](
                                 const error_code& ec) {
        if (ec) {
            return;
        }
        const auto wait = is_held ? absl::ToChronoNanoseconds(self->owner_.state.delay)
                                  : std::chrono::nanoseconds(0);
        self->hold(from, n, wait);
    });
}

void pipe::write(std::size_t from, std::size_t n)
{
    if (from == 1) {
        response_.append(blocks_[1].data(), n);
    } else {
        response_.clear();
        for (const auto& [first, rest] : std::exchange(waiting_, {})) {
            write_again(first, rest);
        }
    }
    asio::async_write(
        ends_[1 - from],
        asio::buffer(blocks_[from].data(), n),
        [self = shared_from_this(), from](const error_code& ec, std::size_t) {
            if (ec) {
                self->finish(1 - from, ec);
            } else {
                if (from == 1) {
                    self->repeat();
                }
                self->read(from);
            }
        });
}

/// Draws whether, how and when the response is written again.
void pipe::repeat()
{
    constexpr std::uint64_t most_ms = 60;
    auto& random = owner_.random;
    const auto head = head_of_whole(response_);
    if (head == 0 || random() % 100 >= owner_.repeated.percent) {
        return;
    }
    using form = proxy_loop::repetition::form;
    const auto limit = random() % 2 == 0 ? head : response_.size();
    const auto cut = 1 + random() % (limit - 1);
    const auto how = owner_.repeated.written;
    const auto first = how == form::whole ? response_ : response_.substr(0, cut);
    const auto rest = how == form::in_pieces ? response_.substr(cut) : "";
    switch (random() % 3) {
    case 0:
        write_again(first, rest);
        break;
    case 1:
        write_again_after(1 + random() % most_ms, first, rest);
        break;
    default:
        waiting_.emplace_back(first, rest);
    }
}

void pipe::write_again(const std::string& first, const std::string& rest)
{
    constexpr std::uint64_t most_ms_between = 30;
    error_code ec;
    // Waiting for a caller that doesn't read would hold up all proxies.
    ends_[0].non_blocking(true, ec);
    const auto n = ends_[0].write_some(asio::buffer(first), ec);
    if (ec || n < first.size()) {
        return;
    }
    ++owner_.repetitions;
    if (!rest.empty()) {
        write_again_after(1 + owner_.random() % most_ms_between, rest, "");
    }
}

void pipe::write_again_after(
    std::uint64_t ms, const std::string& first, const std::string& rest)
{
    const auto timer =
        std::make_shared<asio::steady_timer>(owner_.io, std::chrono::milliseconds(ms));
    timer->async_wait(
        [self = shared_from_this(), timer, first, rest](const error_code& ec) {
            if (!ec) {
                self->write_again(first, rest);
            }
        });
}

/// Propagates an orderly end of one direction as a shutdown of that direction only. Any
/// other error resets both connections.
void pipe::finish(std::size_t from, const error_code& why)
{
    if (why == asio::error::eof && ++ended_ < 2) {
        error_code ec; // The other side may be closed already.
        ends_[1 - from].shutdown(tcp::socket::shutdown_send, ec);
        return;
    }
    if (why == asio::error::eof) {
        error_code ec; // The other side may be closed already.
        ends_[0].close(ec);
        ends_[1].close(ec);
    } else {
        reset();
    }
    owner_.pipes.erase(shared_from_this());
}

} // namespace

struct proxy_loop::impl
{
    asio::io_context io;
    asio::executor_work_guard<asio::io_context::executor_type> work =
        asio::make_work_guard(io);
    mutable absl::Mutex mutex;
    absl::flat_hash_map<proxy_id, std::unique_ptr<proxy>> proxies;
    proxy_id last = 0;
    std::atomic<std::uint64_t> repetitions{0};
    std::thread thread;

    proxy& at(proxy_id id) const
    {
        const absl::MutexLock lock(&mutex);
        return *proxies.at(id);
    }
};

proxy_loop::proxy_loop() : impl_(std::make_unique<impl>())
{
    impl_->thread = std::thread([raw = impl_.get()] { raw->io.run(); });
}

proxy_loop::~proxy_loop()
{
    impl_->io.stop();
    impl_->thread.join();
    for (auto& [id, it] : impl_->proxies) {
        it->pipes.clear();
    }
}

proxy_loop::proxy_id proxy_loop::add(const core::endpoint& from, const core::endpoint& to)
{
    auto made = std::make_unique<proxy>(impl_->io, from, to, impl_->repetitions);
    auto& it = *made;
    proxy_id id = 0;
    {
        const absl::MutexLock lock(&impl_->mutex);
        id = ++impl_->last;
        impl_->proxies[id] = std::move(made);
    }
    asio::post(impl_->io, [&it] { it.accept(); });
    return id;
}

core::endpoint proxy_loop::listening(proxy_id id) const
{
    const auto it = impl_->at(id).acceptor.local_endpoint();
    return {it.address().to_string(), it.port()};
}

void proxy_loop::set(proxy_id id, const impairment& it)
{
    asio::post(impl_->io, [&to = impl_->at(id), it] { to.state = it; });
}

void proxy_loop::set_repetition(proxy_id id, const repetition& it)
{
    asio::post(impl_->io, [&to = impl_->at(id), it] {
        to.repeated = it;
        to.random.seed(it.seed);
    });
}

std::uint64_t proxy_loop::repetitions() const
{
    return impl_->repetitions;
}

void proxy_loop::set_target(proxy_id id, const core::endpoint& to)
{
    asio::post(impl_->io, [&it = impl_->at(id), to] { it.target = to; });
}

void proxy_loop::reset(proxy_id id)
{
    asio::post(impl_->io, [&it = impl_->at(id)] {
        for (const auto& each : std::exchange(it.pipes, {})) {
            each->reset();
        }
    });
}

void proxy_loop::after(absl::Duration delay, std::function<void()> what)
{
    auto timer =
        std::make_shared<asio::steady_timer>(impl_->io, absl::ToChronoNanoseconds(delay));
    timer->async_wait([timer, what = std::move(what)](const error_code& ec) {
        if (!ec) {
            what();
        }
    });
}

} // namespace cuminpitch::testing
