#include "suspended_exchange_priv.hpp"

#include <absl/strings/match.h>

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <memory>

namespace cuminpitch::http {
namespace {

constexpr std::size_t block_bytes = 64U << 10U;

struct body_source
{
    std::string body;
    std::size_t cut_after;
};

ssize_t read_body(void* cls, std::uint64_t position, char* out, std::size_t max)
{
    const auto& source = *static_cast<body_source*>(cls);
    if (position >= source.cut_after) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    const auto n = std::min<std::size_t>(max, source.cut_after - position);
    std::memcpy(out, source.body.data() + position, n);
    return static_cast<ssize_t>(n);
}

void free_source(void* cls)
{
    const std::unique_ptr<body_source> source(static_cast<body_source*>(cls));
}

/// The value for Content-Length: the body size, or for HEAD the one in the headers.
std::uint64_t announced_size(const response& it, bool is_head)
{
    const std::string length = is_head ? it.headers.get("Content-Length") : "";
    if (!length.empty() && it.body.empty()) {
        return std::strtoull(length.c_str(), nullptr, 10);
    }
    return it.body.size();
}

/// libmicrohttpd sets the framing headers itself.
bool is_framing(const std::string& name)
{
    return absl::EqualsIgnoreCase(name, "Content-Length") ||
           absl::EqualsIgnoreCase(name, "Transfer-Encoding");
}

} // namespace

MHD_Result queue_response(
    MHD_Connection* connection,
    response it,
    bool is_head,
    bool closes,
    std::optional<std::size_t> cut_after)
{
    if (closes) {
        it.headers.set("Connection", "close");
    }
    const std::uint64_t size = announced_size(it, is_head);
    const std::size_t end = std::min(cut_after.value_or(it.body.size()), it.body.size());
    auto source = std::make_unique<body_source>(body_source{std::move(it.body), end});
    MHD_Response* out = MHD_create_response_from_callback(
        size, block_bytes, &read_body, source.get(), &free_source);
    if (out == nullptr) {
        return MHD_NO;
    }
    static_cast<void>(source.release());
    for (const auto& [name, value] : it.headers.fields()) {
        if (!is_framing(name)) {
            std::string clean = value;
            // libmicrohttpd rejects header values that contain a tab.
            std::replace(clean.begin(), clean.end(), '\t', ' ');
            MHD_add_response_header(out, name.c_str(), clean.c_str());
        }
    }
    const auto queued =
        MHD_queue_response(connection, static_cast<unsigned>(it.status), out);
    MHD_destroy_response(out);
    return queued;
}

suspended_exchange::suspended_exchange(
    std::uint64_t id, MHD_Connection* connection, disconnect_watcher& watcher)
    : id_(id), connection_(connection),
      socket_(MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)
                  ->connect_fd),
      watcher_(watcher)
{
}

void suspended_exchange::respond(response it)
{
    set_answer({std::move(it), std::nullopt});
}

void suspended_exchange::break_off(std::optional<response> it, std::size_t body_bytes)
{
    set_answer({std::move(it), body_bytes});
}

void suspended_exchange::set_answer(answer it)
{
    std::function<void()> unused;
    const absl::MutexLock lock(&mutex_);
    if (answered_ || disconnected_ || closed_) {
        return;
    }
    answered_ = true;
    answer_ = std::move(it);
    unused.swap(disconnect_callback_);
    resume();
}

void suspended_exchange::on_caller_gone(std::function<void()> callback)
{
    {
        const absl::MutexLock lock(&mutex_);
        if (answered_) {
            return;
        }
        if (!disconnected_ && !closed_) {
            disconnect_callback_ = std::move(callback);
            return;
        }
    }
    callback();
}

void suspended_exchange::on_disconnect()
{
    std::function<void()> callback;
    {
        const absl::MutexLock lock(&mutex_);
        if (!suspended_) {
            return;
        }
        disconnected_ = true;
        callback.swap(disconnect_callback_);
        resume();
    }
    if (callback) {
        callback();
    }
}

void suspended_exchange::on_server_stop()
{
    std::function<void()> unused;
    const absl::MutexLock lock(&mutex_);
    disconnected_ = true;
    unused.swap(disconnect_callback_);
    resume();
}

void suspended_exchange::resume()
{
    if (suspended_) {
        suspended_ = false;
        watcher_.remove(socket_, id_);
        MHD_resume_connection(connection_);
    }
}

MHD_Result suspended_exchange::respond_or_suspend(bool is_head, bool closes)
{
    const absl::MutexLock lock(&mutex_);
    if (disconnected_) {
        return MHD_NO;
    }
    if (answered_) {
        if (!answer_.message) {
            return MHD_NO;
        }
        return queue_response(
            connection_, std::move(*answer_.message), is_head, closes, answer_.cut_after);
    }
    if (!watcher_.add(socket_, id_, shared_from_this())) {
        return MHD_NO;
    }
    suspended_ = true;
    MHD_suspend_connection(connection_);
    return MHD_YES;
}

void suspended_exchange::close()
{
    std::function<void()> callback;
    {
        const absl::MutexLock lock(&mutex_);
        closed_ = true;
        callback.swap(disconnect_callback_);
    }
    if (callback) {
        callback();
    }
}

} // namespace cuminpitch::http
