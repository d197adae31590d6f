#include "cuminpitch/http/server.hpp"

#include "cuminpitch/http/refusal.hpp"
#include "disconnect_watcher_priv.hpp"
#include "lingering_closer_priv.hpp"
#include "pipelined_server_priv.hpp"
#include "request_checks_priv.hpp"
#include "suspended_exchange_priv.hpp"
#include "target_priv.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_set.h>
#include <absl/synchronization/mutex.h>
#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <cstring>

namespace cuminpitch::http {
namespace {

/// A request that libmicrohttpd is receiving.
struct incoming
{
    http::request message;
    std::shared_ptr<suspended_exchange> exchange;
    std::optional<refusal> refused;
    std::uint64_t held_bytes = 0;
    std::uint64_t discarded_bytes = 0;
    bool started = false;
    bool handled = false;
    bool is_head = false;
};

std::string peer_of(MHD_Connection* connection)
{
    const auto* info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    char text[INET_ADDRSTRLEN] = "";
    if (info != nullptr && info->client_addr->sa_family == AF_INET) {
        const auto* address = reinterpret_cast<const sockaddr_in*>(info->client_addr);
        ::inet_ntop(AF_INET, &address->sin_addr, text, sizeof text);
    }
    return text;
}

MHD_Result add_header(
    void* cls,
    MHD_ValueKind /*kind*/,
    const char* name,
    std::size_t name_size,
    const char* value,
    std::size_t value_size)
{
    static_cast<headers*>(cls)->add(
        std::string(name, name_size),
        value == nullptr ? std::string() : std::string(value, value_size));
    return MHD_YES;
}

class microhttpd_server : public server
{
public:
    microhttpd_server(server_options options, handler it)
        : options_(std::move(options)), handler_(std::move(it))
    {
    }

    ~microhttpd_server() override
    {
        if (daemon_ != nullptr) {
            watcher_.stop();
            stop_listening();
            stop_reading();
            MHD_stop_daemon(daemon_);
        }
    }

    bool start();
    core::endpoint listening() const override;
    void stop_listening() override;
    void drain() override { is_draining_ = true; }
    std::size_t in_flight() const override { return in_flight_; }

private:
    static void* begin(void* cls, const char* target, MHD_Connection* connection);
    static MHD_Result access(
        void* cls,
        MHD_Connection* connection,
        const char* url,
        const char* method,
        const char* version,
        const char* data,
        std::size_t* size,
        void** context);
    static void completed(
        void* cls,
        MHD_Connection* connection,
        void** context,
        MHD_RequestTerminationCode code);

    static void connection_changed(
        void* cls,
        MHD_Connection* connection,
        void** context,
        MHD_ConnectionNotificationCode code);

    void stop_reading();
    MHD_Result read_head(MHD_Connection* connection, incoming& it, const char* method);
    MHD_Result read_body(incoming& it, const char* data, std::size_t size);
    bool hold(incoming& it, std::size_t body_bytes);
    MHD_Result finish(MHD_Connection* connection, incoming& it);
    void refuse_body(incoming& it, refusal why);

    const server_options options_;
    const handler handler_;
    std::atomic<std::uint64_t> next_id_{1};
    std::atomic<std::uint64_t> held_bytes_{0};
    std::atomic<std::size_t> in_flight_{0};
    std::atomic<bool> is_listening_{true};
    std::atomic<bool> is_draining_{false};
    disconnect_watcher watcher_;
    lingering_closer closer_;
    absl::Mutex mutex_;
    absl::flat_hash_set<int> sockets_ ABSL_GUARDED_BY(mutex_); ///< Open connections.
    MHD_Daemon* daemon_ = nullptr;
};

bool microhttpd_server::start()
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(options_.listen.port);
    if (::inet_pton(AF_INET, options_.listen.host.c_str(), &address.sin_addr) != 1) {
        return false;
    }
    // libmicrohttpd does not allow a thread pool of size 1.
    const unsigned pool = options_.threads > 1 ? options_.threads : 0;
    const auto idle = static_cast<unsigned>(absl::ToInt64Seconds(options_.idle_timeout));
    daemon_ = MHD_start_daemon(
        MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME,
        options_.listen.port,
        nullptr,
        nullptr,
        &access,
        this,
        MHD_OPTION_SOCK_ADDR,
        reinterpret_cast<sockaddr*>(&address),
        MHD_OPTION_THREAD_POOL_SIZE,
        pool,
        MHD_OPTION_CONNECTION_LIMIT,
        options_.connection_limit,
        MHD_OPTION_CONNECTION_TIMEOUT,
        idle,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT,
        head_limit_bytes, // Holds also one block of the body.
        MHD_OPTION_STRICT_FOR_CLIENT,
        1,
        MHD_OPTION_URI_LOG_CALLBACK,
        &begin,
        this,
        MHD_OPTION_NOTIFY_COMPLETED,
        &completed,
        this,
        MHD_OPTION_NOTIFY_CONNECTION,
        &connection_changed,
        this,
        MHD_OPTION_END);
    return daemon_ != nullptr;
}

core::endpoint microhttpd_server::listening() const
{
    const auto* info = MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_BIND_PORT);
    return {options_.listen.host, info == nullptr ? options_.listen.port : info->port};
}

/// MHD_quiesce_daemon is not used: in 0.9.75 it and a worker thread may both remove the
/// socket from the epoll set, and the second removal aborts the process. Shutting the
/// socket down refuses connections too, but epoll reports it as ready to the workers
/// until the server is destroyed.
void microhttpd_server::stop_listening()
{
    if (is_listening_.exchange(false)) {
        const auto* info = MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_LISTEN_FD);
        if (info != nullptr) {
            ::shutdown(info->listen_fd, SHUT_RDWR);
        }
    }
}

void microhttpd_server::connection_changed(
    void* cls,
    MHD_Connection* connection,
    void** /*context*/,
    MHD_ConnectionNotificationCode code)
{
    auto& self = *static_cast<microhttpd_server*>(cls);
    const auto* info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    if (info == nullptr) {
        return;
    }
    const absl::MutexLock lock(&self.mutex_);
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        self.sockets_.insert(info->connect_fd);
    } else {
        self.sockets_.erase(info->connect_fd);
        if (self.is_listening_) {
            self.closer_.linger(std::chrono::steady_clock::now(), info->connect_fd);
        }
    }
}

/// libmicrohttpd 0.9.75 crashes if it reads a malformed request while MHD_stop_daemon
/// runs: it fails to queue the error response but uses it anyway. Shutting down the input
/// of all sockets first makes it close idle connections before that.
void microhttpd_server::stop_reading()
{
    constexpr absl::Duration max_wait = absl::Milliseconds(500);
    const absl::MutexLock lock(&mutex_);
    for (const int fd : sockets_) {
        ::shutdown(fd, SHUT_RD);
    }
    const auto are_closed = [this]() ABSL_NO_THREAD_SAFETY_ANALYSIS {
        return sockets_.empty();
    };
    mutex_.AwaitWithTimeout(absl::Condition(&are_closed), max_wait);
}

void* microhttpd_server::begin(void* cls, const char* target, MHD_Connection* connection)
{
    auto& self = *static_cast<microhttpd_server*>(cls);
    ++self.in_flight_;
    auto it = std::make_unique<incoming>();
    it->exchange =
        std::make_shared<suspended_exchange>(self.next_id_++, connection, self.watcher_);
    it->message.target = target;
    return it.release();
}

MHD_Result microhttpd_server::access(
    void* cls,
    MHD_Connection* connection,
    const char* /*url*/,
    const char* method,
    const char* /*version*/,
    const char* data,
    std::size_t* size,
    void** context)
{
    auto& self = *static_cast<microhttpd_server*>(cls);
    auto& it = *static_cast<incoming*>(*context);
    if (!it.started) {
        it.started = true;
        return self.read_head(connection, it, method);
    }
    if (*size > 0) {
        const std::size_t n = *size;
        *size = 0;
        return self.read_body(it, data, n);
    }
    return self.finish(connection, it);
}

MHD_Result
microhttpd_server::read_head(MHD_Connection* connection, incoming& it, const char* method)
{
    auto& message = it.message;
    message.method = method;
    it.is_head = message.method == "HEAD";
    message.peer_address = peer_of(connection);
    MHD_get_connection_values_n(
        connection, MHD_HEADER_KIND, &add_header, &message.headers);
    if (!split_target(message) || !has_unambiguous_framing(message.headers)) {
        it.handled = true;
        return queue_response(
            connection,
            refusal_response(not_run_refusal(400, "malformed-request")),
            it.is_head,
            true);
    }
    const std::string length = message.headers.get("Content-Length");
    const auto announced = std::strtoull(length.c_str(), nullptr, 10);
    if (announced > options_.max_body_bytes) {
        refuse_body(it, not_run_refusal(413, "request-too-large"));
        const bool waits = message.headers.has("Expect");
        if (waits || announced > discard_limit_bytes + options_.max_body_bytes) {
            return finish(connection, it);
        }
    } else if (announced > 0 && !hold(it, announced)) {
        refuse_body(it, memory_refusal());
        if (message.headers.has("Expect")) {
            return finish(connection, it);
        }
    }
    return MHD_YES;
}

/// Gives the body room for `body_bytes` bytes and counts the memory before it is used.
/// The body of a chunked request grows by half of its size at a time. Returns false if
/// the bodies of all requests would exceed their limit.
bool microhttpd_server::hold(incoming& it, std::size_t body_bytes)
{
    if (body_bytes <= it.held_bytes) {
        return true;
    }
    const std::size_t wanted = std::min<std::uint64_t>(
        options_.max_body_bytes,
        std::max(body_bytes, it.message.body.size() + it.message.body.size() / 2));
    const auto added = wanted - it.held_bytes;
    if ((held_bytes_ += added) > options_.max_held_bytes &&
        wanted > options_.small_body_bytes) {
        held_bytes_ -= added;
        return false;
    }
    it.held_bytes = wanted;
    it.message.body.reserve(wanted);
    return true;
}

MHD_Result microhttpd_server::read_body(incoming& it, const char* data, std::size_t size)
{
    const std::size_t total = it.message.body.size() + size;
    if (!it.refused && total > options_.max_body_bytes) {
        refuse_body(it, not_run_refusal(413, "request-too-large"));
    } else if (!it.refused && !hold(it, total)) {
        refuse_body(it, memory_refusal());
    }
    if (it.refused) {
        it.discarded_bytes += size;
        return it.discarded_bytes > discard_limit_bytes ? MHD_NO : MHD_YES;
    }
    it.message.body.append(data, size);
    return MHD_YES;
}

MHD_Result microhttpd_server::finish(MHD_Connection* connection, incoming& it)
{
    if (!it.handled) {
        it.handled = true;
        if (it.refused) {
            return queue_response(
                connection, refusal_response(*it.refused), it.is_head, is_draining_);
        }
        handler_(std::move(it.message), it.exchange);
    }
    return it.exchange->respond_or_suspend(it.is_head, is_draining_);
}

void microhttpd_server::refuse_body(incoming& it, refusal why)
{
    it.refused = std::move(why);
    it.message.body = std::string();
    held_bytes_ -= it.held_bytes;
    it.held_bytes = 0;
}

void microhttpd_server::completed(
    void* cls,
    MHD_Connection* /*connection*/,
    void** context,
    MHD_RequestTerminationCode /*code*/)
{
    auto& self = *static_cast<microhttpd_server*>(cls);
    const std::unique_ptr<incoming> it(static_cast<incoming*>(*context));
    *context = nullptr;
    if (it) {
        self.held_bytes_ -= it->held_bytes;
        it->exchange->close();
        --self.in_flight_;
    }
}

} // namespace

core::result<std::unique_ptr<server>> server::create(server_options options, handler it)
{
    if (options.pipeline_depth > 1) {
        return pipelined_server::create(std::move(options), std::move(it));
    }
    auto out = std::make_unique<microhttpd_server>(std::move(options), std::move(it));
    if (!out->start()) {
        return core::make_error_code(core::errc::address_in_use);
    }
    return std::unique_ptr<server>(std::move(out));
}

} // namespace cuminpitch::http
