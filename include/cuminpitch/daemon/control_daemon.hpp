#pragma once

#include "cuminpitch/core/process_settings.hpp"
#include "cuminpitch/daemon/control_api.hpp"
#include "cuminpitch/daemon/seed_source.hpp"

namespace cuminpitch::daemon {

/// What a platform adds to a control instance.
struct control_extras
{
    const control_api* api = nullptr; ///< Null without one.
    seed_source seeds;                ///< Empty if the settings don't change.
};

/// Runs a control instance until SIGTERM or SIGINT and the planned stop that follows.
/// Returns the exit status of the process.
int run_control(
    const core::control_settings& settings, const control_extras& extras = {});

} // namespace cuminpitch::daemon
