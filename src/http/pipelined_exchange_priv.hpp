#pragma once

#include "cuminpitch/http/server.hpp"

#include <string>

namespace cuminpitch::http {

class pipelined_connection;

/// An open request of a pipelined_connection, whose mutex guards all but the constants.
class pipelined_exchange : public exchange
{
public:
    pipelined_exchange(
        std::shared_ptr<pipelined_connection> connection,
        bool is_head,
        bool is_persistent)
        : connection_(std::move(connection)), is_head_(is_head),
          is_persistent_(is_persistent)
    {
    }

    void respond(response it) override;
    void on_caller_gone(std::function<void()> callback) override;
    void break_off(std::optional<response> it, std::size_t body_bytes) override;

private:
    friend class pipelined_connection;

    std::size_t unwritten_bytes() const { return head_.size() + body_.size() - written_; }

    const std::shared_ptr<pipelined_connection> connection_;
    const bool is_head_;
    const bool is_persistent_; ///< The caller lets the connection stay open.
    bool closes_ = false;      ///< The connection closes after the response.
    bool wants_continue_ = false;
    bool answered_ = false;
    bool gone_ = false; ///< Removed from the connection without a response.
    std::string head_;  ///< Status 100 if it was sent, and the head of the response.
    std::string body_;
    std::size_t response_at_ = 0; ///< Where the response begins in `head_`.
    std::size_t written_ = 0;
    std::uint64_t held_bytes_ = 0;
    std::function<void()> callback_;
};

} // namespace cuminpitch::http
