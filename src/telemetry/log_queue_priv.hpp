#pragma once

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>

namespace cuminpitch::telemetry {

/// Writes lines to a file descriptor on a thread of its own. A reader that doesn't read
/// holds up that thread only.
class log_queue
{
public:
    /// `limit`: lines that wait at most. `rate`: lines per second in the long run, with
    /// twice as many at once.
    log_queue(int fd, std::size_t limit, double rate);
    /// Gives up the thread if the reader blocks it.
    ~log_queue();
    log_queue(const log_queue&) = delete;
    log_queue& operator=(const log_queue&) = delete;

    /// Never blocks. Drops the line if there is no room or the rate is exceeded.
    void push(absl::Time now, std::string line);
    std::uint64_t dropped() const;
    /// Waits until everything is written. False if that takes longer.
    bool flush(absl::Duration timeout);

private:
    struct state;

    static void run(const std::shared_ptr<state>& it);

    std::shared_ptr<state> state_;
    std::thread thread_;
};

} // namespace cuminpitch::telemetry
