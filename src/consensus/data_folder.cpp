#include "data_folder_priv.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

namespace cuminpitch::consensus {
namespace {

constexpr mode_t file_mode = 0600;

std::error_code last_system_error()
{
    return {errno, std::system_category()};
}

bool write_all(int fd, std::uint64_t offset, std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t n =
            ::pwrite(fd, bytes.data(), bytes.size(), static_cast<off_t>(offset));
        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n <= 0) {
            return false;
        }
        offset += static_cast<std::uint64_t>(n);
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

bool write_all(int fd, std::initializer_list<std::string_view> parts)
{
    std::uint64_t offset = 0;
    for (const auto it : parts) {
        if (!write_all(fd, offset, it)) {
            return false;
        }
        offset += it.size();
    }
    return true;
}

} // namespace

file_handle::~file_handle()
{
    if (valid()) {
        ::close(fd_);
    }
}

file_handle::file_handle(file_handle&& other) noexcept : fd_(std::exchange(other.fd_, -1))
{
}

file_handle& file_handle::operator=(file_handle&& other) noexcept
{
    std::swap(fd_, other.fd_);
    return *this;
}

core::result<data_folder> data_folder::open(const std::filesystem::path& path)
{
    std::error_code ec;
    std::filesystem::create_directories(path, ec);
    if (ec) {
        return ec;
    }
    data_folder out;
    out.folder_ = file_handle(::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (!out.folder_.valid()) {
        return last_system_error();
    }
    out.lock_ = file_handle(
        ::openat(out.folder_.get(), "lock", O_RDWR | O_CREAT | O_CLOEXEC, file_mode));
    if (!out.lock_.valid()) {
        return last_system_error();
    }
    if (::flock(out.lock_.get(), LOCK_EX | LOCK_NB) != 0) {
        return std::make_error_code(std::errc::device_or_resource_busy);
    }
    return out;
}

core::result<std::optional<std::string>> data_folder::read(const char* name) const
{
    const file_handle file(::openat(folder_.get(), name, O_RDONLY | O_CLOEXEC));
    if (!file.valid()) {
        if (errno == ENOENT) {
            return std::optional<std::string>();
        }
        return last_system_error();
    }
    struct stat info = {};
    if (::fstat(file.get(), &info) != 0) {
        return last_system_error();
    }
    std::string out(static_cast<std::size_t>(info.st_size), '\0');
    std::size_t at = 0;
    while (at < out.size()) {
        const ssize_t n = ::read(file.get(), out.data() + at, out.size() - at);
        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n <= 0) {
            return n == 0 ? std::make_error_code(std::errc::io_error)
                          : last_system_error();
        }
        at += static_cast<std::size_t>(n);
    }
    return std::optional<std::string>(std::move(out));
}

core::result<void> data_folder::replace(
    const char* name, std::initializer_list<std::string_view> parts) const
{
    const std::string temporary = std::string(name) + ".tmp";
    const file_handle file(::openat(
        folder_.get(),
        temporary.c_str(),
        O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC,
        file_mode));
    const bool done =
        file.valid() && write_all(file.get(), parts) && ::fsync(file.get()) == 0 &&
        ::renameat(folder_.get(), temporary.c_str(), folder_.get(), name) == 0 &&
        ::fsync(folder_.get()) == 0;
    if (!done) {
        // Gives back the space of an incomplete file.
        ::unlinkat(folder_.get(), temporary.c_str(), 0);
        return make_error_code(core::errc::storage_failed);
    }
    return boost::outcome_v2::success();
}

core::result<file_handle> data_folder::open_for_writing(const char* name) const
{
    file_handle out(::openat(folder_.get(), name, O_WRONLY | O_CLOEXEC));
    if (!out.valid()) {
        return last_system_error();
    }
    return out;
}

core::result<void>
write_durably(const file_handle& file, std::uint64_t offset, std::string_view bytes)
{
    if (!write_all(file.get(), offset, bytes) || ::fdatasync(file.get()) != 0) {
        return make_error_code(core::errc::storage_failed);
    }
    return boost::outcome_v2::success();
}

core::result<void> truncate_durably(const file_handle& file, std::uint64_t size)
{
    if (::ftruncate(file.get(), static_cast<off_t>(size)) != 0 ||
        ::fdatasync(file.get()) != 0) {
        return make_error_code(core::errc::storage_failed);
    }
    return boost::outcome_v2::success();
}

} // namespace cuminpitch::consensus
