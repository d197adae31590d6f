#pragma once

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>

namespace cuminpitch::telemetry {

/// Writes lines to a file descriptor on a separate thread. A reader that stops reading
/// blocks only that thread.
class log_queue
{
public:
    /// `limit` is the maximum number of queued lines. `rate` is the average number of
    /// lines per second; bursts of twice as many lines are allowed (token bucket).
    log_queue(int fd, std::size_t limit, double rate);
    /// Flushes the queue, and detaches the thread if the reader still blocks it then.
    ~log_queue();
    log_queue(const log_queue&) = delete;
    log_queue& operator=(const log_queue&) = delete;

    /// Never blocks. Drops the line if the queue is full or the rate is exceeded.
    void push(absl::Time now, std::string line);
    /// Returns the number of lines dropped since the start.
    std::uint64_t dropped() const;
    /// Waits until all queued lines are written. False if the timeout expires first.
    bool flush(absl::Duration timeout);

private:
    struct state;

    static void run(const std::shared_ptr<state>& shared_state);

    std::shared_ptr<state> state_;
    std::thread thread_;
};

} // namespace cuminpitch::telemetry
