#include "telemetry/log_queue_priv.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <deque>
#include <memory>

namespace cuminpitch::telemetry {
namespace {

/// Maximum time that the destructor waits for the reader of the log.
constexpr absl::Duration shutdown_timeout = absl::Milliseconds(200);

void write_all(int fd, const std::string& text)
{
    std::size_t written = 0;
    while (written < text.size()) {
        const auto n = ::write(fd, text.data() + written, text.size() - written);
        if (n < 0 && errno != EINTR) {
            return; // The reader is gone, and there is no other place to report it.
        }
        written += n > 0 ? static_cast<std::size_t>(n) : 0;
    }
}

} // namespace

struct log_queue::state
{
    state(int to, std::size_t max_lines, double per_second)
        : fd(to), limit(max_lines), rate(per_second), tokens(2 * per_second)
    {
    }

    const int fd;
    const std::size_t limit;
    const double rate;
    mutable absl::Mutex mutex;
    std::deque<std::string> lines ABSL_GUARDED_BY(mutex);
    double tokens ABSL_GUARDED_BY(mutex);
    absl::Time last_refill ABSL_GUARDED_BY(mutex) = absl::InfinitePast();
    std::uint64_t dropped ABSL_GUARDED_BY(mutex) = 0;
    std::uint64_t reported ABSL_GUARDED_BY(mutex) = 0;
    bool is_writing ABSL_GUARDED_BY(mutex) = false;
    bool stopping ABSL_GUARDED_BY(mutex) = false;
};

log_queue::log_queue(int fd, std::size_t limit, double rate)
    : state_(std::make_shared<state>(fd, limit, rate)),
      thread_([it = state_] { run(it); })
{
}

log_queue::~log_queue()
{
    const bool is_flushed = flush(shutdown_timeout);
    {
        const absl::MutexLock lock(&state_->mutex);
        state_->stopping = true;
    }
    if (is_flushed) {
        thread_.join();
    } else {
        thread_.detach();
    }
}

void log_queue::push(absl::Time now, std::string line)
{
    state& it = *state_;
    const absl::MutexLock lock(&it.mutex);
    if (it.last_refill != absl::InfinitePast()) {
        const double refilled = absl::ToDoubleSeconds(now - it.last_refill) * it.rate;
        it.tokens = std::min(2 * it.rate, it.tokens + std::max(0.0, refilled));
    }
    it.last_refill = now;
    if (it.tokens < 1 || it.lines.size() >= it.limit) {
        ++it.dropped;
        return;
    }
    it.tokens -= 1;
    it.lines.push_back(std::move(line));
}

std::uint64_t log_queue::dropped() const
{
    const absl::MutexLock lock(&state_->mutex);
    return state_->dropped;
}

bool log_queue::flush(absl::Duration timeout)
{
    state& it = *state_;
    const absl::MutexLock lock(&it.mutex);
    const auto is_empty = [&it]() ABSL_NO_THREAD_SAFETY_ANALYSIS {
        return it.lines.empty() && !it.is_writing;
    };
    return it.mutex.AwaitWithTimeout(absl::Condition(&is_empty), timeout);
}

void log_queue::run(const std::shared_ptr<state>& shared_state)
{
    state& it = *shared_state;
    const auto has_work = [&it]() ABSL_NO_THREAD_SAFETY_ANALYSIS {
        return !it.lines.empty() || it.stopping;
    };
    for (;;) {
        std::string text;
        {
            const absl::MutexLock lock(&it.mutex);
            it.is_writing = false;
            it.mutex.Await(absl::Condition(&has_work));
            if (it.lines.empty()) {
                return;
            }
            it.is_writing = true;
            for (auto& line : it.lines) {
                text += line;
                text += '\n';
            }
            it.lines.clear();
            if (it.dropped > it.reported) {
                text += R"({"level":"warning","event":"log lines dropped","count":)" +
                        std::to_string(it.dropped - it.reported) + "}\n";
                it.reported = it.dropped;
            }
        }
        write_all(it.fd, text);
    }
}

} // namespace cuminpitch::telemetry
