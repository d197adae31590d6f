#pragma once

#include <absl/time/time.h>

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace cuminpitch::testing {

/// A child process of a test or of the demo. The destructor sends SIGKILL to its process
/// id if it is still running.
class child_process
{
public:
    /// Runs the program with its standard output and error appended to `log_file`. Empty
    /// if the program can't be started.
    static std::optional<child_process>
    start(const std::vector<std::string>& command, const std::string& log_file);

    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&& other) noexcept;
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    ~child_process();

    pid_t pid() const { return pid_; }
    void send_signal(int signal) const;

    /// Waits for the process to end. Returns its exit status, or the negated signal
    /// number if a signal ended it. Empty if it still runs after `timeout`.
    std::optional<int> wait(absl::Duration timeout);

    void kill_and_wait();

private:
    explicit child_process(pid_t pid) : pid_(pid) {}
    pid_t pid_ = -1;
    std::optional<int> status_;
};

/// Returns a TCP port of 127.0.0.1, below the ephemeral range, that no socket is bound
/// to. Successive calls return different ports.
std::uint16_t free_port();

/// Creates an empty folder in the system's folder for temporary files and returns its
/// path, which is empty on failure.
std::string make_temporary_folder(const std::string& name);

} // namespace cuminpitch::testing
