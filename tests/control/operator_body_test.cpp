#include "control/operator_api_priv.hpp"

#include <gtest/gtest.h>

namespace cuminpitch::control {
namespace {

constexpr std::size_t many_levels = 100'000;

std::string nested(std::size_t levels)
{
    return std::string(levels, '[') + std::string(levels, ']');
}

bool is_refused(const std::string& body)
{
    return std::holds_alternative<malformed_body>(parse_change(body, 0));
}

// Guards against a call that ends the process because a value is nested so deeply that
// copying it exhausts the stack.
TEST(operator_body, deeply_nested_values_are_refused)
{
    const std::string deep = nested(many_levels);
    EXPECT_TRUE(is_refused(deep));
    EXPECT_TRUE(is_refused(
        R"({"id":"c","base_revision":0,"operations":[{"path":"teams/t/x","value":)" +
        deep + "}]}"));
    EXPECT_TRUE(is_refused(R"({"other":)" + deep + R"(,"id":"c"})"));
    EXPECT_TRUE(std::holds_alternative<malformed_body>(
        parse_init(R"({"instances":[)" + deep + "]}")));
    EXPECT_TRUE(std::holds_alternative<malformed_body>(
        parse_reassign(R"({"pool":"t/p","entries":[)" + deep + "]}")));
}

// Guards against numbers that don't fit their type, and keys of which only one counts.
TEST(operator_body, odd_numbers_and_repeated_keys_are_refused)
{
    for (const char* base : {"1e400", "1e30", "-1", "18446744073709551616", "0.5"}) {
        EXPECT_TRUE(is_refused(
            std::string(R"({"id":"c","operations":[{"path":"teams/t/x","value":1}],)") +
            R"("base_revision":)" + base + "}"))
            << base;
    }
    EXPECT_TRUE(is_refused(R"({"id":"c","id":"d","base_revision":0,)"
                           R"("operations":[{"path":"teams/t/x","value":1}]})"));
    EXPECT_FALSE(is_refused(
        R"({"id":"c","base_revision":0,"operations":[{"path":"teams/t/x","value":1}]})"));
}

} // namespace
} // namespace cuminpitch::control
