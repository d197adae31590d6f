#pragma once

#include <unistd.h>

#include <utility>

namespace cuminpitch::net {

/// Owns a file descriptor and closes it on destruction.
class unique_fd
{
public:
    unique_fd() = default;
    explicit unique_fd(int fd) : fd_(fd) {}
    unique_fd(unique_fd&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
    unique_fd& operator=(unique_fd&& other) noexcept
    {
        std::swap(fd_, other.fd_);
        return *this;
    }
    unique_fd(const unique_fd&) = delete;
    unique_fd& operator=(const unique_fd&) = delete;
    ~unique_fd()
    {
        if (fd_ >= 0) {
            ::close(fd_);
        }
    }

    int get() const { return fd_; }
    explicit operator bool() const { return fd_ >= 0; }

private:
    int fd_ = -1;
};

} // namespace cuminpitch::net
