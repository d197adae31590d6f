#pragma once

#include "cuminpitch/daemon/seed_source.hpp"

#include <absl/time/time.h>

#include <optional>
#include <utility>
#include <vector>

namespace cuminpitch::daemon {

/// Checks the settings for changed seeds, on a signal and every settings_check_interval.
class seed_watcher
{
public:
    explicit seed_watcher(seed_source source) : source_(std::move(source)) {}

    /// Returns the seeds if they have changed. `is_signaled` is true if a signal
    /// requested the check, which is then done before the interval has passed.
    std::optional<std::vector<core::endpoint>> check(absl::Time now, bool is_signaled)
    {
        if (!source_ || (!is_signaled && now < next_check_)) {
            return std::nullopt;
        }
        next_check_ = now + settings_check_interval;
        return source_();
    }

private:
    seed_source source_;
    absl::Time next_check_ = absl::InfinitePast();
};

} // namespace cuminpitch::daemon
