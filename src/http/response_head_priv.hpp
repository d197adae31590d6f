#pragma once

#include "cuminpitch/http/message.hpp"
#include "cuminpitch/http/mismatch.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

namespace cuminpitch::http {

/// Reads the head of a response line by line and accepts or rejects it as a whole.
/// Stricter than RFC 9112, sections 4 to 6, which allows a recipient to repair some
/// heads, and than libcurl, which takes parts of two messages for one head.
class response_head
{
public:
    /// Limit on the size of the head, interim heads and trailers together.
    static constexpr std::size_t limit_bytes = 256U << 10U;

    /// `is_first_response` is true on a new connection. On a kept one, a part of an
    /// earlier response may stand before this one, so a head is rejected if a status line
    /// could begin inside one of its lines.
    explicit response_head(bool is_first_response = true)
        : is_first_response_(is_first_response)
    {
    }

    /// Takes the next line with its line end: CR LF, or LF alone. After a final head it
    /// takes the trailers, and ignores them. Must not be called after a rejection.
    mismatch add(std::string_view line);

    /// The newest head ends with an empty line.
    bool is_complete() const { return is_complete_; }
    /// is_complete() and the status isn't interim (1xx).
    bool is_final() const { return is_complete_ && status_ >= first_final_status; }
    /// Of the newest head, 0 before its status line.
    int status() const { return status_; }
    const http::headers& fields() const { return fields_; }
    /// Moves the fields out of a final head.
    http::headers take_fields() { return std::move(fields_); }

private:
    static constexpr int first_final_status = 200;

    bool begins_later(std::string_view line) const;
    mismatch add_status_line(std::string_view line);
    mismatch add_field(std::string_view line);
    mismatch check_framing() const;

    bool is_first_response_;
    bool is_complete_ = false;
    int status_ = 0;
    std::size_t bytes_ = 0;
    http::headers fields_;
};

} // namespace cuminpitch::http
