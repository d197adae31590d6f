#pragma once

#include "cuminpitch/http/server.hpp"
#include "disconnect_watcher_priv.hpp"

#include <absl/synchronization/mutex.h>
#include <microhttpd.h>

#include <optional>

namespace cuminpitch::http {

/// A libmicrohttpd request whose connection is suspended until a response is available.
class suspended_exchange : public exchange,
                           public disconnect_listener,
                           public std::enable_shared_from_this<suspended_exchange>
{
public:
    suspended_exchange(
        std::uint64_t id, MHD_Connection* connection, disconnect_watcher& watcher);

    void respond(response it) override;
    void on_caller_gone(std::function<void()> callback) override;
    void break_off(std::optional<response> it, std::size_t body_bytes) override;

    void on_disconnect() override;
    void on_server_stop() override;

    /// Queues the response if there is one, otherwise suspends the connection. Must be
    /// called on the connection's thread. With `closes` the connection closes after the
    /// response.
    MHD_Result respond_or_suspend(bool is_head, bool closes);

    /// Must be called before libmicrohttpd releases the connection.
    void close();

private:
    struct answer
    {
        std::optional<response> message; ///< If empty, the connection is closed.
        std::optional<std::size_t> cut_after;
    };

    void set_answer(answer it);
    void resume();

    const std::uint64_t id_;
    MHD_Connection* const connection_;
    const int socket_;
    disconnect_watcher& watcher_;
    absl::Mutex mutex_;
    bool suspended_ = false;
    bool closed_ = false;
    bool disconnected_ = false;
    bool answered_ = false;
    answer answer_;
    std::function<void()> disconnect_callback_;
};

/// Queues the response. With `closes` the connection closes after it, with `cut_after`
/// after that many bytes of the body.
MHD_Result queue_response(
    MHD_Connection* connection,
    response it,
    bool is_head,
    bool closes,
    std::optional<std::size_t> cut_after = std::nullopt);

} // namespace cuminpitch::http
