#include "cuminpitch/core/settings_file.hpp"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

namespace cuminpitch::core {
namespace {

class settings_file_test : public testing::Test
{
protected:
    ~settings_file_test() override { std::filesystem::remove(path); }
    void write(const std::string& text) const { std::ofstream(path) << text; }

    const std::string path = (std::filesystem::temp_directory_path() /
                              ("cuminpitch-settings-" + std::to_string(::getpid())))
                                 .string();
    settings_file file{path};
};

// Guards against lines that are dropped or parsed incorrectly.
TEST_F(settings_file_test, lines_become_flags)
{
    write("# comment\n\nid=a-1\n http=127.0.0.1:80 \nlist=a=b\nempty=\n");
    const auto read = file.read();
    EXPECT_EQ(
        std::get<std::vector<std::string>>(read),
        (std::vector<std::string>{"--id=a-1", "--http=127.0.0.1:80", "--list=a=b"}));
}

// Guards against a malformed line that is silently ignored.
TEST_F(settings_file_test, refuses_a_line_without_a_name)
{
    for (const std::string line : {"no sign", "=value"}) {
        write(line);
        const auto read = file.read();
        const auto& error = std::get<exit_request>(read);
        EXPECT_EQ(error.status, exit_bad_setting);
        EXPECT_NE(error.text.find("'" + line + "'"), std::string::npos) << error.text;
    }
}

// Guards against a change that is not detected, and against a file that is missing while
// it is being replaced and counts as changed.
TEST_F(settings_file_test, detects_changes)
{
    write("id=a\n");
    static_cast<void>(file.read());
    EXPECT_FALSE(file.has_changed());
    write("id=b\n");
    EXPECT_TRUE(file.has_changed());
    static_cast<void>(file.read());
    EXPECT_FALSE(file.has_changed());
    std::filesystem::remove(path);
    EXPECT_FALSE(file.has_changed());
}

} // namespace
} // namespace cuminpitch::core
