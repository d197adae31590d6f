#pragma once

#include <absl/time/time.h>

namespace cuminpitch::daemon {

enum class process_signal
{
    none,
    stop,   ///< SIGTERM or SIGINT.
    reload, ///< SIGHUP.
};

/// Receives the signals of the process. Make it before any other thread starts, so that
/// all threads inherit the blocked signals.
class signal_inbox
{
public:
    signal_inbox();

    /// The next signal; waits for one at most that long.
    process_signal wait(absl::Duration timeout);
};

} // namespace cuminpitch::daemon
