#pragma once

#include <absl/time/time.h>

#include <cstdint>

namespace cuminpitch::health {

/// Running estimate of the 90th percentile of durations, by stochastic approximation of
/// their logarithm (Robbins and Monro 1951): a duration above the estimate raises it by
/// 0.9 steps, one below lowers it by 0.1 steps.
class latency_quantile
{
public:
    void add(absl::Duration duration);

    /// Whether the duration is clearly above the percentile. False until enough durations
    /// were added.
    bool is_slow(absl::Duration duration) const;

    absl::Duration value() const;

private:
    double log_us_ = 0;
    std::uint64_t count_ = 0;
};

} // namespace cuminpitch::health
