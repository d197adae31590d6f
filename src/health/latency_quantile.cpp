#include "cuminpitch/health/latency_quantile.hpp"

#include <algorithm>
#include <cmath>

namespace cuminpitch::health {
namespace {

constexpr double quantile = 0.9;
constexpr std::uint64_t warm_up = 50;

// Steps in units of the natural logarithm. The first ones let the estimate converge
// quickly; with the last one it follows a tenfold slowdown within about 50 requests.
constexpr double first_step = 0.5;
constexpr double last_step = 0.05;

// Servers of one pool differ a little in speed, so only a duration above the percentile
// by this factor counts as slow.
constexpr double margin = 1.25;

double log_us(absl::Duration duration)
{
    return std::log(std::max(1.0, absl::ToDoubleMicroseconds(duration)));
}

} // namespace

void latency_quantile::add(absl::Duration duration)
{
    const double x = log_us(duration);
    ++count_;
    if (count_ == 1) {
        log_us_ = x;
        return;
    }
    const double step =
        std::max(last_step, first_step / std::sqrt(static_cast<double>(count_)));
    log_us_ += x > log_us_ ? step * quantile : -step * (1 - quantile);
}

bool latency_quantile::is_slow(absl::Duration duration) const
{
    return count_ >= warm_up && log_us(duration) > log_us_ + std::log(margin);
}

absl::Duration latency_quantile::value() const
{
    return absl::Microseconds(std::exp(log_us_));
}

} // namespace cuminpitch::health
