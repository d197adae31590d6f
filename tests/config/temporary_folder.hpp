#pragma once

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <string>

namespace cuminpitch::config {

/// A temporary folder for test files. The destructor deletes it.
class temporary_folder
{
public:
    temporary_folder()
    {
        std::string name = testing::TempDir() + "declarations-XXXXXX";
        path_ = mkdtemp(name.data());
    }
    ~temporary_folder()
    {
        std::error_code ec;
        std::filesystem::remove_all(path_, ec);
    }
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;

    void write(const std::string& file, const std::string& text) const
    {
        std::filesystem::create_directories((path_ / file).parent_path());
        std::ofstream(path_ / file) << text;
    }
    const std::filesystem::path& path() const { return path_; }

private:
    std::filesystem::path path_;
};

} // namespace cuminpitch::config
