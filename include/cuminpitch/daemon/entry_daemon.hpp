#pragma once

#include "cuminpitch/core/process_settings.hpp"
#include "cuminpitch/daemon/entry_api.hpp"
#include "cuminpitch/daemon/seed_source.hpp"

namespace cuminpitch::daemon {

/// What a platform adds to an entry.
struct entry_extras
{
    const entry_api* api = nullptr; ///< Null without one.
    seed_source seeds;              ///< Empty if the settings don't change.
};

/// Runs an entry instance until SIGTERM or SIGINT and the planned stop that follows.
/// Returns the exit status of the process.
int run_entry(const core::entry_settings& settings, const entry_extras& extras = {});

} // namespace cuminpitch::daemon
