#pragma once

#include <absl/time/time.h>

#include <compare>

namespace cuminpitch::core {

/// A number of requests per second.
class request_rate
{
public:
    constexpr request_rate() = default;
    explicit constexpr request_rate(double per_second) : per_second_(per_second) {}

    constexpr double per_second() const { return per_second_; }
    /// Number of requests in `time`, with a fraction.
    double requests_in(absl::Duration time) const
    {
        return per_second_ * absl::ToDoubleSeconds(time);
    }

    friend constexpr request_rate operator*(request_rate rate, double factor)
    {
        return request_rate(rate.per_second_ * factor);
    }
    friend constexpr auto operator<=>(request_rate, request_rate) = default;

private:
    double per_second_ = 0;
};

} // namespace cuminpitch::core
