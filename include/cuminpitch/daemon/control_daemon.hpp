#pragma once

#include "cuminpitch/core/process_settings.hpp"
#include "cuminpitch/daemon/control_api.hpp"
#include "cuminpitch/daemon/seed_source.hpp"

namespace cuminpitch::daemon {

/// Extensions of a control instance by a platform.
struct control_extras
{
    const control_api* api = nullptr; ///< Null if the platform has none.
    seed_source seeds;                ///< Empty if seeds never change.
};

/// Runs a control instance until its graceful stop after SIGTERM or SIGINT is complete.
/// Returns the exit status of the process.
int run_control(
    const core::control_settings& settings, const control_extras& extras = {});

} // namespace cuminpitch::daemon
