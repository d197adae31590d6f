#pragma once

#include "cuminpitch/core/error.hpp"

#include <cstdint>
#include <filesystem>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace cuminpitch::consensus {

/// Owns a file descriptor.
class file_handle
{
public:
    file_handle() = default;
    explicit file_handle(int fd) : fd_(fd) {}
    ~file_handle();
    file_handle(file_handle&& other) noexcept;
    file_handle& operator=(file_handle&& other) noexcept;

    int get() const { return fd_; }
    bool valid() const { return fd_ >= 0; }

private:
    int fd_ = -1;
};

/// Access to the files of one data folder, which is locked against other processes.
class data_folder
{
public:
    /// Creates the folder if it does not exist and locks it. Returns
    /// std::errc::device_or_resource_busy if another process has locked it.
    static core::result<data_folder> open(const std::filesystem::path& path);

    /// Returns the whole content of the file, or an empty optional if there is no such
    /// file.
    core::result<std::optional<std::string>> read(const char* name) const;
    /// Atomically replaces the content of the file with these parts. The new content is
    /// durable on return; after a crash during the call the file has either the old or
    /// the new content.
    core::result<void>
    replace(const char* name, std::initializer_list<std::string_view> parts) const;
    core::result<file_handle> open_for_writing(const char* name) const;

private:
    file_handle folder_;
    file_handle lock_;
};

/// Writes the bytes at the offset. They are durable on return.
core::result<void>
write_durably(const file_handle& file, std::uint64_t offset, std::string_view bytes);
/// Truncates the file to `size` bytes. The new size is durable on return.
core::result<void> truncate_durably(const file_handle& file, std::uint64_t size);

} // namespace cuminpitch::consensus
