#include "cuminpitch/telemetry/log.hpp"
#include "cuminpitch/telemetry/metrics.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <sstream>

namespace cuminpitch::telemetry {
namespace {

// Guards against label values that make the exposition unparsable for all other series.
TEST(metrics, escapes_label_values_and_sorts_by_name)
{
    metrics it;
    it.add("b_total", {{"caller", "a\"b\\c\nd"}}, 2);
    it.set("a_servers", 3);
    EXPECT_EQ(
        it.exposition(),
        "# TYPE a_servers gauge\na_servers 3\n"
        "# TYPE b_total counter\nb_total{caller=\"a\\\"b\\\\c\\nd\"} 2\n");
    EXPECT_EQ(it.counter("b_total", {{"caller", "a\"b\\c\nd"}}), 2);
    EXPECT_EQ(it.counter("missing"), 0);
}

// Guards against buckets that are not cumulative, and against durations outside the bins
// that are not counted.
TEST(metrics, counts_durations_outside_the_bins)
{
    metrics it;
    for (const auto value :
         {absl::ZeroDuration(), absl::Milliseconds(2), absl::Hours(1)}) {
        it.record("wait_seconds", value, {{"pool", "p"}});
    }
    const std::string text = it.exposition();
    const auto has = [&](const std::string& line) {
        return text.find(line + "\n") != std::string::npos;
    };
    EXPECT_TRUE(has("wait_seconds_bucket{pool=\"p\",le=\"0.001\"} 1")) << text;
    EXPECT_TRUE(has("wait_seconds_bucket{pool=\"p\",le=\"100\"} 2")) << text;
    EXPECT_TRUE(has("wait_seconds_bucket{pool=\"p\",le=\"+Inf\"} 3")) << text;
    EXPECT_TRUE(has("wait_seconds_count{pool=\"p\"} 3")) << text;
}

// Guards against lines on standard output, invalid JSON and missing debug lines.
TEST(log, writes_one_json_line_to_standard_error)
{
    start_log("entry", severity::debug);
    testing::internal::CaptureStderr();
    testing::internal::CaptureStdout();
    log(severity::debug,
        "first",
        {{"text", "a\"b\n%level\xff"}, {"n", std::int64_t(3)}, {"ok", true}});
    log(severity::error, "second");
    std::istringstream lines(testing::internal::GetCapturedStderr());
    EXPECT_EQ(testing::internal::GetCapturedStdout(), "");
    std::string line;
    ASSERT_TRUE(std::getline(lines, line));
    const auto first = nlohmann::json::parse(line);
    EXPECT_EQ(first["level"], "debug");
    EXPECT_EQ(first["process"], "entry");
    EXPECT_EQ(first["text"], "a\"b\n%level\xef\xbf\xbd");
    EXPECT_EQ(first["n"], 3);
    ASSERT_TRUE(std::getline(lines, line));
    EXPECT_EQ(nlohmann::json::parse(line)["event"], "second");
    EXPECT_FALSE(std::getline(lines, line));
}

// Guards against events below the configured severity that are logged anyway.
TEST(log, omits_events_below_the_threshold)
{
    start_log("entry", severity::warning);
    testing::internal::CaptureStderr();
    log(severity::info, "hidden");
    EXPECT_EQ(testing::internal::GetCapturedStderr(), "");
}

} // namespace
} // namespace cuminpitch::telemetry
