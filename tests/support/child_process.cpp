#include "support/child_process.hpp"

#include <absl/time/clock.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <utility>

namespace cuminpitch::testing {
namespace {

constexpr unsigned first_port = 10000;
constexpr unsigned port_count = 10000;
constexpr unsigned ports_per_process = 64;

bool is_free(std::uint16_t port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool ok =
        ::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
    ::close(fd);
    return ok;
}

} // namespace

std::optional<child_process>
child_process::start(const std::vector<std::string>& command, const std::string& log_file)
{
    std::vector<char*> argv;
    argv.reserve(command.size() + 1);
    for (const auto& it : command) {
        argv.push_back(const_cast<char*>(it.c_str()));
    }
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(
        &actions, STDOUT_FILENO, log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // A connection that this process closes would stay open, unread, in the child.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    pid_t pid = -1;
    const int rc = ::posix_spawn(&pid, argv[0], &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (rc != 0) {
        return std::nullopt;
    }
    return child_process(pid);
}

child_process::child_process(child_process&& other) noexcept
    : pid_(std::exchange(other.pid_, -1)), status_(other.status_)
{
}

child_process& child_process::operator=(child_process&& other) noexcept
{
    std::swap(pid_, other.pid_);
    std::swap(status_, other.status_);
    return *this;
}

child_process::~child_process()
{
    kill_and_wait();
}

void child_process::send_signal(int signal) const
{
    if (pid_ > 0 && !status_) {
        ::kill(pid_, signal);
    }
}

std::optional<int> child_process::wait(absl::Duration timeout)
{
    const absl::Time end = absl::Now() + timeout;
    while (!status_) {
        int status = 0;
        if (::waitpid(pid_, &status, WNOHANG) == pid_) {
            status_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
        } else if (absl::Now() >= end) {
            return std::nullopt;
        } else {
            absl::SleepFor(absl::Milliseconds(5));
        }
    }
    return status_;
}

void child_process::kill_and_wait()
{
    if (pid_ > 0 && !status_) {
        ::kill(pid_, SIGKILL);
        wait(absl::Seconds(10));
    }
}

std::uint16_t free_port()
{
    // Each process starts its search at a different port, so that tests that run in
    // parallel rarely try the same one.
    static std::atomic<unsigned> next =
        static_cast<unsigned>(::getpid()) * ports_per_process % port_count;
    while (true) {
        const auto port = static_cast<std::uint16_t>(first_port + next++ % port_count);
        if (is_free(port)) {
            return port;
        }
    }
}

std::string make_temporary_folder(const std::string& name)
{
    std::string pattern =
        (std::filesystem::temp_directory_path() / (name + "-XXXXXX")).string();
    return ::mkdtemp(pattern.data()) == nullptr ? std::string() : pattern;
}

} // namespace cuminpitch::testing
