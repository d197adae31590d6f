#pragma once

#include "cuminpitch/core/process_settings.hpp"
#include "cuminpitch/daemon/entry_api.hpp"
#include "cuminpitch/daemon/seed_source.hpp"

namespace cuminpitch::daemon {

/// Extensions of an entry instance by a platform.
struct entry_extras
{
    const entry_api* api = nullptr; ///< Null if the platform has none.
    seed_source seeds;              ///< Empty if seeds never change.
};

/// Runs an entry instance until its graceful stop after SIGTERM or SIGINT is complete.
/// Returns the exit status of the process.
int run_entry(const core::entry_settings& settings, const entry_extras& extras = {});

} // namespace cuminpitch::daemon
