#include "telemetry/log_queue_priv.hpp"

#include <gtest/gtest.h>

#include <fcntl.h>
#include <unistd.h>

namespace cuminpitch::telemetry {
namespace {

class log_queue_test : public testing::Test
{
protected:
    log_queue_test() { EXPECT_EQ(::pipe(pipe_fds), 0); }
    ~log_queue_test() override
    {
        ::close(pipe_fds[0]);
        ::close(pipe_fds[1]);
    }
    std::string read_some() const
    {
        std::string buf(1U << 20U, '\0');
        const auto n = ::read(pipe_fds[0], buf.data(), buf.size());
        buf.resize(n > 0 ? static_cast<std::size_t>(n) : 0);
        return buf;
    }

    /// Sum of all reports: the writer may report while lines are still being dropped.
    static std::uint64_t reported_drops(const std::string& text)
    {
        const std::string name = R"("count":)";
        std::uint64_t out = 0;
        for (auto at = text.find(name); at != std::string::npos;
             at = text.find(name, at + 1)) {
            out += std::stoull(text.substr(at + name.size()));
        }
        return out;
    }

    int pipe_fds[2] = {-1, -1};
    absl::Time now = absl::FromUnixSeconds(1000);
};

// Guards against a process that blocks because its log is not read.
TEST_F(log_queue_test, stalled_reader_does_not_block_push)
{
    log_queue it(pipe_fds[1], 100, 1e9);
    const std::string line(10'000, 'x');
    for (int i = 0; i < 1000; ++i) {
        it.push(now, line);
    }
    EXPECT_GT(it.dropped(), 0U);
    EXPECT_FALSE(it.flush(absl::Milliseconds(50)));
    // Reads the rest so that the writer thread, which uses the descriptor, can end.
    ::fcntl(pipe_fds[0], F_SETFL, O_NONBLOCK);
    while (!it.flush(absl::Milliseconds(10))) {
        read_some();
    }
}

// Guards against a log rate that grows with the load without limit, and against lines
// that are dropped without a report.
TEST_F(log_queue_test, rate_is_limited_and_drops_are_reported)
{
    log_queue it(pipe_fds[1], 1000, 10);
    for (int i = 0; i < 50; ++i) {
        it.push(now, "line");
    }
    EXPECT_EQ(it.dropped(), 30U);
    now += absl::Seconds(1);
    it.push(now, "later");
    ASSERT_TRUE(it.flush(absl::Seconds(5)));
    const auto text = read_some();
    EXPECT_NE(text.find("later"), std::string::npos);
    EXPECT_NE(text.find("log lines dropped"), std::string::npos);
    EXPECT_EQ(reported_drops(text), 30U) << text;
}

} // namespace
} // namespace cuminpitch::telemetry
