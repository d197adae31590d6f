#include "cuminpitch/request/server_notice.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace cuminpitch::request {
namespace {

using fields = std::vector<std::pair<std::string, std::string>>;

server_notice read(int status, const fields& headers)
{
    http::response it;
    it.status = status;
    for (const auto& [name, value] : headers) {
        it.headers.add(name, value);
    }
    return read_server_notice(it, {});
}

constexpr int ok = 200;
constexpr int unavailable = 503;
const std::string leaving = "Cuminpitch-Leaving";
const std::string retry_after = "Retry-After";

// Guards against a server that is left alone for ever because of a value with another
// meaning.
TEST(server_notice, only_the_value_1_says_that_a_server_is_leaving)
{
    EXPECT_TRUE(read(ok, {{leaving, "1"}}).is_leaving);
    EXPECT_TRUE(read(unavailable, {{leaving, "1"}}).is_leaving);
    EXPECT_EQ(read(ok, {}), server_notice());
    EXPECT_EQ(read(ok, {{leaving, "0"}}), server_notice());
    for (const auto& text :
         {std::string(), std::string("true"), std::string(4000, '1')}) {
        const auto it = read(ok, {{leaving, text}});
        EXPECT_FALSE(it.is_leaving) << text;
        EXPECT_TRUE(it.is_leaving_malformed) << text;
    }
    EXPECT_TRUE(read(ok, {{leaving, "1"}, {leaving, "1"}}).is_leaving);
    EXPECT_TRUE(read(ok, {{leaving, "0"}, {leaving, "1"}}).is_leaving);
}

// Guards against a hold-off that is cut short, or one that nobody asked for.
TEST(server_notice, retry_after_of_a_rejection_is_read_whole)
{
    const auto hold_off = [](const std::string& text) {
        return read(unavailable, {{retry_after, text}});
    };
    EXPECT_EQ(hold_off("3").hold_off, absl::Seconds(3));
    EXPECT_EQ(hold_off("0.25").hold_off, absl::Milliseconds(250));
    EXPECT_EQ(hold_off("7200").hold_off, absl::Hours(2));
    EXPECT_EQ(hold_off("0"), server_notice());
    EXPECT_EQ(read(ok, {{retry_after, "3"}}), server_notice());
    EXPECT_EQ(
        read(unavailable, {{retry_after, "1"}, {retry_after, "4"}}).hold_off,
        absl::Seconds(4));
    for (const auto& text :
         {std::string(),
          std::string("-3"),
          std::string("1e3"),
          std::string("Sat, 05 Dec 2026 10:00:00 GMT"),
          std::string("86401"),
          std::string(400, '9')}) {
        const auto it = hold_off(text);
        EXPECT_EQ(it.hold_off, absl::ZeroDuration()) << text;
        EXPECT_TRUE(it.is_hold_off_malformed) << text;
    }
}

} // namespace
} // namespace cuminpitch::request
