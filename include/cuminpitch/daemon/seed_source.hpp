#pragma once

#include "cuminpitch/core/endpoint.hpp"

#include <absl/time/time.h>

#include <functional>
#include <optional>
#include <vector>

namespace cuminpitch::daemon {

/// Interval at which the settings are checked for changes that no signal announced.
constexpr absl::Duration settings_check_interval = absl::Seconds(1);

/// Reads the seeds from the settings again. Returns nothing if they are unchanged or
/// can't be read; logs the latter.
using seed_source = std::function<std::optional<std::vector<core::endpoint>>()>;

} // namespace cuminpitch::daemon
