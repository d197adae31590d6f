#pragma once

#include "cuminpitch/core/endpoint.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <memory>

namespace cuminpitch::testing {

/// Runs TCP proxies and timers on one thread. All functions are thread-safe.
class proxy_loop
{
public:
    /// Impairment of the connections through one proxy.
    struct impairment
    {
        absl::Duration delay;
        bool holds_to_target = false; ///< Holds back what the caller sends.
        bool holds_to_caller = false; ///< Holds back what the target sends.
        bool refuses = false;         ///< Resets each new connection.
    };
    /// Answers that the target seems to give twice: after a whole HTTP response, bytes of
    /// it are written again, at once, some ms later or when the next request arrives.
    struct repetition
    {
        enum class form
        {
            whole,
            cut, ///< At a random byte, one in two times inside the head.
            in_pieces,
        };
        form written = form::whole;
        unsigned percent = 0; ///< Of the responses.
        std::uint64_t seed = 0;
    };
    using proxy_id = std::uint64_t;

    proxy_loop();
    ~proxy_loop();
    proxy_loop(const proxy_loop&) = delete;
    proxy_loop& operator=(const proxy_loop&) = delete;

    /// Listens at `from` and forwards its connections to `to`. Port 0 takes a free port.
    proxy_id add(const core::endpoint& from, const core::endpoint& to);
    core::endpoint listening(proxy_id id) const;
    void set(proxy_id id, const impairment& it);
    void set_repetition(proxy_id id, const repetition& it);
    /// Number of whole writes of repeated bytes, over all proxies.
    std::uint64_t repetitions() const;
    /// Forwards new connections to `to`; open ones keep their target.
    void set_target(proxy_id id, const core::endpoint& to);
    /// Resets all open connections of the proxy.
    void reset(proxy_id id);

    /// Runs `what` on the thread of the loop after `delay`.
    void after(absl::Duration delay, std::function<void()> what);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace cuminpitch::testing
