#pragma once

#include "cuminpitch/http/server.hpp"

#include "raw_socket.hpp"

#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>
#include <gtest/gtest.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cuminpitch::http {

inline constexpr unsigned depth = 4;

inline std::string get(const std::string& path, const std::string& fields = "")
{
    return "GET " + path + " HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n";
}

inline std::size_t occurrences(const std::string& text, const std::string& part)
{
    std::size_t n = 0;
    for (auto at = text.find(part); at != std::string::npos;
         at = text.find(part, at + 1)) {
        ++n;
    }
    return n;
}

/// A server with a pipeline depth of `depth`, whose requests the test answers.
class pipelining_fixture : public testing::Test
{
protected:
    struct handed_over
    {
        request message;
        std::shared_ptr<exchange> to;
        absl::Time at;
    };

    void start(server_options options = {})
    {
        options.listen = {"127.0.0.1", 0};
        options.pipeline_depth = depth;
        server_ = server::create(options, [this](request in, auto to) {
                      to->on_caller_gone([this] { ++gone_; });
                      const absl::MutexLock lock(&mutex_);
                      open_.push_back({std::move(in), std::move(to), absl::Now()});
                  }).value();
    }
    std::uint16_t port() const { return server_->listening().port; }
    std::size_t count()
    {
        const absl::MutexLock lock(&mutex_);
        return open_.size();
    }
    handed_over at(std::size_t i)
    {
        const absl::MutexLock lock(&mutex_);
        return open_.at(i);
    }
    /// Responds with the path.
    void respond(std::size_t i, const std::string& connection = "")
    {
        const auto it = at(i);
        auto out = json_response(200, it.message.path);
        if (!connection.empty()) {
            out.headers.set("Connection", connection);
        }
        it.to->respond(std::move(out));
    }
    bool wait_for(const std::function<bool()>& is_true) const
    {
        const auto end = absl::Now() + absl::Seconds(3);
        while (!is_true() && absl::Now() < end) {
            absl::SleepFor(absl::Milliseconds(1));
        }
        return is_true();
    }
    bool wait_for_requests(std::size_t n)
    {
        return wait_for([&] { return count() >= n; });
    }
    /// True if no more requests are handed over for a while.
    bool stays_at(std::size_t n)
    {
        absl::SleepFor(absl::Milliseconds(50));
        return count() == n;
    }
    bool is_idle() const
    {
        return wait_for([&] { return server_->in_flight() == 0; });
    }

    std::atomic<int> gone_{0};
    absl::Mutex mutex_;
    std::vector<handed_over> open_;
    std::unique_ptr<server> server_;
};

} // namespace cuminpitch::http
