#pragma once

#include "cuminpitch/http/refusal.hpp"
#include "cuminpitch/http/server.hpp"

#include <atomic>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace cuminpitch::http {

/// The body of a request that is being received, within the limits of the server.
class incoming_body
{
public:
    incoming_body(const server_options& limits, std::atomic<std::uint64_t>& held)
        : limits_(limits), held_(held)
    {
    }

    incoming_body(const incoming_body&) = delete;
    ~incoming_body() { held_ -= held_bytes_; }

    /// Reserves room for a body of known length, or refuses it.
    void announce(std::uint64_t bytes);
    void append(std::string_view piece);

    const std::optional<refusal>& refused() const { return refused_; }
    /// True if a refused body is too long to be read to its end.
    bool is_endless() const;
    std::string take() { return std::move(body_); }
    /// Bytes that the body has added to the sum of all bodies. The caller subtracts them.
    std::uint64_t take_held_bytes() { return std::exchange(held_bytes_, 0); }

private:
    bool hold(std::size_t bytes);
    void refuse(refusal why);

    const server_options& limits_;
    std::atomic<std::uint64_t>& held_;
    std::string body_;
    std::optional<refusal> refused_;
    std::uint64_t announced_bytes_ = 0;
    std::uint64_t held_bytes_ = 0;
    std::uint64_t discarded_bytes_ = 0;
};

} // namespace cuminpitch::http
