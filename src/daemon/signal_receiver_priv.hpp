#pragma once

#include <absl/time/time.h>

namespace cuminpitch::daemon {

enum class process_signal
{
    none,
    stop,   ///< SIGTERM or SIGINT.
    reload, ///< SIGHUP.
};

/// Receives the signals of the process synchronously. Must be constructed before any
/// other thread starts, so that all threads inherit the blocked signal mask.
class signal_receiver
{
public:
    signal_receiver();

    /// Returns the next signal, or `none` if none arrives within `timeout`.
    process_signal wait(absl::Duration timeout);
};

} // namespace cuminpitch::daemon
