#pragma once

#include "cuminpitch/core/endpoint.hpp"

#include <absl/time/time.h>

#include <functional>
#include <optional>
#include <vector>

namespace cuminpitch::daemon {

/// Time between two looks at the settings for a change that no signal told.
constexpr absl::Duration settings_check_interval = absl::Seconds(1);

/// Reads the seeds of the settings again. Empty if they are as before, or can't be read
/// at the moment, which it logs.
using seed_source = std::function<std::optional<std::vector<core::endpoint>>()>;

} // namespace cuminpitch::daemon
