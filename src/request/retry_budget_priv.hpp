#pragma once

#include <absl/time/time.h>

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace cuminpitch::request {

/// Token bucket that limits retries to a percentage of the requests, so that they don't
/// multiply the load of a pool whose servers fail.
class retry_budget
{
public:
    /// Capacity of a bucket that doesn't scale with the load. It is full for a new pool,
    /// which may use this number of retries before its requests have earned tokens.
    static constexpr double burst = 10;

    explicit retry_budget(std::uint32_t percent) { set_percent(percent); }

    void set_percent(std::uint32_t percent)
    {
        if (percent == 0) {
            tokens_ = 0;
        } else if (percent_ == 0) {
            tokens_ = scales_with_load_ ? 1 : burst;
        }
        percent_ = percent;
    }

    /// Sets the capacity to the tokens that the requests of about the last
    /// `load_time_constant` have earned. For pools that many entries share: a fixed burst
    /// at each entry would add up.
    void set_scales_with_load(bool it)
    {
        scales_with_load_ = it;
        if (it) {
            tokens_ = std::min(tokens_, capacity());
        }
    }

    void count_request(absl::Time now)
    {
        if (scales_with_load_) {
            const double age =
                absl::FDivDuration(now - last_request_, load_time_constant);
            recent_requests_ = recent_requests_ * std::exp(-std::max(age, 0.0)) + 1;
            last_request_ = now;
        }
        tokens_ = std::min(capacity(), tokens_ + static_cast<double>(percent_) / 100);
    }

    bool allows() const { return tokens_ >= 1; }

    /// Takes a token for a retry. False if there is none.
    bool take()
    {
        if (!allows()) {
            return false;
        }
        tokens_ -= 1;
        return true;
    }

private:
    /// A quarter of the time window over which the users' platforms count retries.
    static constexpr absl::Duration load_time_constant = absl::Milliseconds(2500);

    double capacity() const
    {
        return scales_with_load_ ? std::max(1.0, recent_requests_ * percent_ / 100)
                                 : burst;
    }

    std::uint32_t percent_ = 0;
    double tokens_ = 0;
    bool scales_with_load_ = false;
    double recent_requests_ = 0;
    absl::Time last_request_ = absl::UnixEpoch();
};

} // namespace cuminpitch::request
