#include "support/time_of_day.hpp"

#include <absl/time/clock.h>

#include <atomic>
#include <chrono>
#include <ctime>
#include <sys/syscall.h>
#include <thread>
#include <unistd.h>

namespace {

std::atomic<std::int64_t> offset_s{0};

} // namespace

/// Replaces the function of the C library in the programs that use this file.
extern "C" int clock_gettime(clockid_t clock, timespec* out) noexcept
{
    const auto rc = static_cast<int>(::syscall(SYS_clock_gettime, clock, out));
    if (rc == 0 && clock == CLOCK_REALTIME) {
        out->tv_sec += offset_s.load();
    }
    return rc;
}

namespace cuminpitch::testing {

void move_time_of_day(absl::Duration offset)
{
    using std::chrono::steady_clock;
    constexpr std::chrono::seconds limit{20};
    constexpr absl::Duration tolerance = absl::Seconds(1);
    offset_s = absl::ToInt64Seconds(offset);
    const auto end = steady_clock::now() + limit;
    timespec exact{};
    do {
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
        clock_gettime(CLOCK_REALTIME, &exact);
    } while (absl::AbsDuration(absl::Now() - absl::TimeFromTimespec(exact)) > tolerance &&
             steady_clock::now() < end);
}

} // namespace cuminpitch::testing
