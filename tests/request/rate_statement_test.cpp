#include "fixture.hpp"

#include <string>
#include <variant>

namespace cuminpitch::request {
namespace {

rate_statement read(const std::vector<std::string>& values)
{
    http::headers fields;
    for (const auto& it : values) {
        fields.add("Max-Rate", it);
    }
    return read_rate_statement(fields, "max-rate");
}

// Guards against a limit that is read as another number than the server named.
TEST(rate_statement, reads_decimal_numbers)
{
    const std::vector<std::pair<std::string, double>> cases = {
        {"1.6", 1.6},
        {"50", 50},
        {"0", 0},
        {"0.0", 0},
        {"007.50", 7.5},
        {".5", 0.5},
        {"3.", 3},
        {"0.000000000000000000000000000001", 1e-30}};
    for (const auto& [text, per_second] : cases) {
        const auto it = read({text});
        const auto* rate = std::get_if<core::request_rate>(&it);
        ASSERT_NE(rate, nullptr) << text;
        EXPECT_DOUBLE_EQ(rate->per_second(), per_second) << text;
    }
}

// Guards against a value that can't be read and is taken for a limit, or for its end.
TEST(rate_statement, rejects_malformed_values)
{
    const std::vector<std::string> cases = {
        "",
        ".",
        "-1",
        "+1",
        "nan",
        "inf",
        "infinity",
        "1e3",
        "0x10",
        "1,5",
        "1 2",
        "1.2.3",
        "1/s",
        std::string(400, '9'),
        "0." + std::string(400, '0')};
    for (const auto& text : cases) {
        const auto it = read({text});
        const auto* malformed = std::get_if<rate_malformed>(&it);
        ASSERT_NE(malformed, nullptr) << text;
        EXPECT_EQ(malformed->text, text.substr(0, 32));
    }
    EXPECT_TRUE(std::holds_alternative<rate_malformed>(read({"2", "x"})));
}

// Guards against a repeated header by which a server gets more than the lower limit.
TEST(rate_statement, lowest_of_several_values_counts)
{
    const auto it = read({"7", "2.5", "3"});
    ASSERT_TRUE(std::holds_alternative<core::request_rate>(it));
    EXPECT_DOUBLE_EQ(std::get<core::request_rate>(it).per_second(), 2.5);
}

// Guards against coordination of a limit that no server can reach.
TEST(rate_statement, missing_and_huge_values_mean_no_limit)
{
    EXPECT_TRUE(std::holds_alternative<rate_unlimited>(read({})));
    EXPECT_TRUE(std::holds_alternative<rate_unlimited>(read({"100000"})));
    EXPECT_TRUE(std::holds_alternative<rate_unlimited>(read({std::string(32, '9')})));
}

class stated_rate_test : public dispatcher_test
{
protected:
    rate_statement rate_of(int status, http::headers fields)
    {
        const auto sent = only<start_attempt>(arrive("/order"));
        const auto seen =
            all<observe>(finish(sent.send.attempt, complete(status, std::move(fields))));
        return seen.empty() ? rate_statement() : seen.front().what.max_rate;
    }
};

// Guards against a limit that is ended by a response which says nothing about it.
TEST_F(stated_rate_test, only_a_response_to_an_executed_request_ends_a_limit)
{
    EXPECT_TRUE(std::holds_alternative<rate_unlimited>(rate_of(200, {})));
    EXPECT_TRUE(std::holds_alternative<rate_unlimited>(rate_of(404, {})));
    EXPECT_TRUE(std::holds_alternative<rate_unstated>(rate_of(500, {})));
    EXPECT_TRUE(std::holds_alternative<rate_unstated>(
        rate_of(503, make_headers({{"Cuminpitch-Run", "not-run"}}))));
}

// Guards against limits that are named only in refusals and failures.
TEST_F(stated_rate_test, every_complete_response_may_name_a_limit)
{
    for (const int status : {200, 404, 429, 500, 503}) {
        const auto it = rate_of(status, make_headers({{"Cuminpitch-Max-Rate", "2"}}));
        EXPECT_TRUE(std::holds_alternative<core::request_rate>(it)) << status;
    }
    const auto shed = rate_of(
        503, make_headers({{"Cuminpitch-Run", "not-run"}, {"Cuminpitch-Max-Rate", "2"}}));
    EXPECT_TRUE(std::holds_alternative<core::request_rate>(shed));
}

} // namespace
} // namespace cuminpitch::request
