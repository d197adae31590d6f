#pragma once

#include <absl/time/time.h>

#include <algorithm>
#include <cmath>

namespace cuminpitch::admission {

/// Moving average of samples over about a second, or over about ten samples if fewer
/// arrive in that time.
class recent_average
{
public:
    void add(absl::Time now, double sample)
    {
        if (now - last_ > max_age) {
            count_ = 0;
            sum_ = 0;
        }
        const double by_time = std::exp(-absl::FDivDuration(now - last_, time_constant));
        // Older samples keep the weight that is missing for the minimum.
        const double by_count =
            count_ > 0 ? std::min(1.0, (min_samples - 1) / count_) : 1.0;
        const double kept = std::max(by_time, by_count);
        count_ = count_ * kept + 1;
        sum_ = sum_ * kept + sample;
        last_ = now;
    }

    /// Whether there are enough samples, and recent ones.
    bool is_valid(absl::Time now) const
    {
        constexpr double rounding = 1e-6;
        return count_ >= min_samples - rounding && now - last_ <= max_age;
    }

    /// 0 without samples.
    double value() const { return count_ > 0 ? sum_ / count_ : 0; }

private:
    static constexpr absl::Duration time_constant = absl::Seconds(1);
    /// Without a sample for this long, the former ones say nothing about the load.
    static constexpr absl::Duration max_age = absl::Seconds(3);
    static constexpr double min_samples = 10;

    double count_ = 0;
    double sum_ = 0;
    absl::Time last_ = absl::UnixEpoch();
};

} // namespace cuminpitch::admission
