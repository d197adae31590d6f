#pragma once

#include <absl/time/time.h>

#include <optional>

namespace cuminpitch::control {

/// Tells when an instance that knows no leader should log it: once a second.
class leader_absence
{
public:
    /// Returns the time without a known leader if it should be logged now.
    std::optional<absl::Duration> check(absl::Time now, bool is_leader_known)
    {
        if (is_leader_known) {
            since_ = absl::InfiniteFuture();
            return std::nullopt;
        }
        if (since_ == absl::InfiniteFuture()) {
            since_ = now;
            next_log_ = now + log_interval;
        }
        if (now < next_log_) {
            return std::nullopt;
        }
        next_log_ = now + log_interval;
        return now - since_;
    }

private:
    static constexpr absl::Duration log_interval = absl::Seconds(1);

    absl::Time since_ = absl::InfiniteFuture();
    absl::Time next_log_ = absl::InfiniteFuture();
};

} // namespace cuminpitch::control
