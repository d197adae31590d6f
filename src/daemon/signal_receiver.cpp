#include "daemon/signal_receiver_priv.hpp"

#include <csignal>
#include <pthread.h>

namespace cuminpitch::daemon {
namespace {

sigset_t handled_signals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGHUP);
    return set;
}

} // namespace

signal_receiver::signal_receiver()
{
    const sigset_t set = handled_signals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGXFSZ, SIG_IGN); // Writes beyond the limit then fail with EFBIG.
}

process_signal signal_receiver::wait(absl::Duration timeout)
{
    const sigset_t set = handled_signals();
    const timespec limit = absl::ToTimespec(timeout);
    const int signal = sigtimedwait(&set, nullptr, &limit);
    if (signal == SIGHUP) {
        return process_signal::reload;
    }
    return signal > 0 ? process_signal::stop : process_signal::none;
}

} // namespace cuminpitch::daemon
