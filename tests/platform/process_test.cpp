#include "support/child_process.hpp"

#include <absl/time/clock.h>
#include <gtest/gtest.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace cuminpitch::testing {
namespace {

class platform_process : public ::testing::TestWithParam<const char*>
{
protected:
    platform_process() : folder(make_temporary_folder("platform-process"))
    {
        const auto endpoint = [] { return "127.0.0.1:" + std::to_string(free_port()); };
        std::ofstream out(folder + "/settings");
        out << "id=a\nhttp=" << endpoint() << "\ninternal=" << endpoint()
            << "\nfailure-domain=d\nplatform.seeds=127.0.0.2:1\n"
               "platform.internal-port=7660\nplatform.retry-ratio=0.2\n"
               "platform.keep-s=5\n";
        if (std::string(GetParam()) == "control") {
            std::filesystem::create_directory(folder + "/data");
            out << "data-dir=" << folder << "/data\n";
        } else {
            out << "stop-grace=1s\n";
        }
    }

    const std::string folder;
};

// Guards against a signal that terminates the process because a thread was started before
// the signal was blocked. On the platform this caused exits with status 129 after the log
// got its own thread.
TEST_P(platform_process, reloads_on_sighup_and_stops_in_order_on_sigterm)
{
    ::setenv("CUMINPITCH_CONFIG", (folder + "/settings").c_str(), 1);
    auto started = child_process::start(
        {std::string(CUMINPITCH_BINARY_DIR) + "/cuminpitch-platform", GetParam()},
        folder + "/log");
    ASSERT_TRUE(started.has_value());
    const auto has_logged = [&](const std::string& event) {
        const absl::Time end = absl::Now() + absl::Seconds(10);
        while (absl::Now() < end) {
            std::ifstream in(folder + "/log");
            const std::string text(std::istreambuf_iterator<char>(in), {});
            if (text.find("\"" + event + "\"") != std::string::npos) {
                return true;
            }
            absl::SleepFor(absl::Milliseconds(20));
        }
        return false;
    };
    ASSERT_TRUE(has_logged("started"));
    started->send_signal(SIGHUP);
    EXPECT_TRUE(has_logged("reload"));
    started->send_signal(SIGTERM);
    EXPECT_EQ(started->wait(absl::Seconds(10)), 0);
    EXPECT_TRUE(has_logged("stopped"));
}

INSTANTIATE_TEST_SUITE_P(roles, platform_process, ::testing::Values("entry", "control"));

} // namespace
} // namespace cuminpitch::testing
