#pragma once

#include <absl/time/time.h>

#include <cmath>

namespace cuminpitch::entry {

/// Share of recent attempts that servers rejected for lack of room.
class rejected_share
{
public:
    void count(absl::Time now, bool is_rejected)
    {
        decay(now);
        attempts_ += 1;
        rejected_ += is_rejected ? 1 : 0;
    }

    /// 0 while too few attempts are known.
    double share(absl::Time now) const
    {
        constexpr double min_attempts = 3;
        const double factor = remaining(now);
        return factor * attempts_ < min_attempts ? 0 : rejected_ / attempts_;
    }

private:
    static constexpr absl::Duration half_life = absl::Seconds(1);

    double remaining(absl::Time now) const
    {
        return std::exp2(-absl::FDivDuration(now - updated_, half_life));
    }

    void decay(absl::Time now)
    {
        const double factor = remaining(now);
        attempts_ *= factor;
        rejected_ *= factor;
        updated_ = now;
    }

    double attempts_ = 0;
    double rejected_ = 0;
    absl::Time updated_ = absl::UnixEpoch();
};

} // namespace cuminpitch::entry
