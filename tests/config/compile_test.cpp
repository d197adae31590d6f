#include "cuminpitch/config/compile.hpp"

#include "cuminpitch/config/diff.hpp"
#include "cuminpitch/core/random.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace cuminpitch::config {
namespace {

settings valid_tree()
{
    return {
        {"teams/a/pools/p/entries", "3"},
        {"teams/a/routes/r/host", "\"a.example\""},
        {"teams/a/routes/r/path_prefix", "\"/x\""},
        {"teams/a/routes/r/methods", "[\"GET\",\"HEAD\"]"},
        {"teams/a/routes/r/pool", "\"p\""},
        {"teams/b/pools/q/min_healthy_percent", "50"}};
}

void add_route(
    settings& tree,
    const std::string& path,
    const std::string& methods,
    const std::string& pool)
{
    tree[path + "/host"] = "\"a.example\"";
    tree[path + "/path_prefix"] = "\"/x\"";
    tree[path + "/pool"] = "\"" + pool + "\"";
    if (!methods.empty()) {
        tree[path + "/methods"] = methods;
    }
}

std::vector<std::string> problem_paths(const settings& tree)
{
    std::vector<std::string> result;
    const auto compiled = compile(tree);
    if (const auto* problems = std::get_if<std::vector<problem>>(&compiled)) {
        for (const auto& it : *problems) {
            EXPECT_THAT(it.reason, testing::HasSubstr("allowed"));
            EXPECT_EQ(it.file, file_of(it.path));
            result.push_back(it.path);
        }
    }
    return result;
}

// Guards against a setting that is stored in the wrong member or with the wrong unit.
TEST(compile, reads_every_setting)
{
    settings tree = valid_tree();
    const std::string pool = "teams/a/pools/p/";
    tree[pool + "min_healthy_servers"] = "6";
    tree[pool + "departure_ms"] = "2000";
    tree[pool + "false_ejections_per_server_month"] = "0.1";
    tree[pool + "deadline_ms"] = "4000";
    tree[pool + "queue_limit"] = "7";
    tree[pool + "retry_percent"] = "8";
    tree[pool + "caller_share_percent"] = "9";
    tree[pool + "max_request_bytes"] = "10";
    tree[pool + "max_response_bytes"] = "11";
    tree[pool + "probe_path"] = "\"/probe\"";
    tree["teams/a/routes/r/idempotent"] = "true";
    tree["teams/a/routes/r/deadline_ms"] = "1500";
    const core::team_id team("a");
    pool_settings expected;
    expected.id = {team, "p"};
    expected.min_healthy_servers = 6;
    expected.departure = absl::Seconds(2);
    expected.false_ejections_per_server_month = 0.1;
    expected.deadline = absl::Seconds(4);
    expected.queue_limit = 7;
    expected.retry_percent = 8;
    expected.caller_share_percent = 9;
    expected.max_request_bytes = 10;
    expected.max_response_bytes = 11;
    expected.probe_path = "/probe";
    const route_settings route{
        {team, "r"},
        "a.example",
        "/x",
        {"GET", "HEAD"},
        {team, "p"},
        {},
        true,
        absl::Milliseconds(1500)};
    const auto compiled = compile(tree);
    const auto& all = std::get<declarations>(compiled);
    EXPECT_EQ(all.pools.at(expected.id), expected);
    EXPECT_EQ(all.routes.at(route.id), route);
}

// Guards against a value of a wrong type or out of range that is accepted or converted.
TEST(compile, refuses_wrong_types_and_ranges)
{
    const std::vector<std::pair<std::string, std::string>> wrong = {
        {"teams/a/pools/p/entries", "0"},
        {"teams/a/pools/p/entries", "17"},
        {"teams/a/pools/p/entries", "\"3\""},
        {"teams/a/pools/p/entries", "2.5"},
        {"teams/a/pools/p/entries", "-1"},
        {"teams/a/pools/p/min_healthy_percent", "101"},
        {"teams/a/pools/p/min_healthy_servers", "0"},
        {"teams/a/pools/p/departure_ms", "1499"},
        {"teams/a/pools/p/departure_ms", "60001"},
        {"teams/a/pools/p/false_ejections_per_server_month", "0"},
        {"teams/a/pools/p/max_request_bytes", "67108865"},
        {"teams/a/pools/p/probe_path", "\"probe\""},
        {"teams/a/pools/p/unknown", "1"},
        {"teams/a/routes/r/host", "\"A.example\""},
        {"teams/a/routes/r/host", "\"a.example:80\""},
        {"teams/a/routes/r/path_prefix", "\"x\""},
        {"teams/a/routes/r/path_prefix", "\"/.cuminpitch/v1\""},
        {"teams/a/routes/r/methods", "[]"},
        {"teams/a/routes/r/methods", "[\"get\"]"},
        {"teams/a/routes/r/methods", "[\"GET\",\"GET\"]"},
        {"teams/a/routes/r/idempotent", "1"},
        {"teams/a/routes/r/pool", "\"none\""},
        {"teams/a/routes/r/pool", "\"q\""},
        {"teams/a/routes/r/pool", "not JSON"},
        {"teams/a/routes/r/deadline_ms", "0"},
        {"teams/a/routes/r/public", "1"},
        {"teams/a/routes/r/large_responses", "true"},
        {"teams/a/limits/callers/requires_key", "1"},
        {"teams/a/customers/c/keys", "\"k\""},
        {"teams/a/customers/c/keys", "[\"\"]"},
        {"teams/a/customers/c/keys", "[\"a\",\"a\"]"},
        {"teams/a/customers/c/keys", "[\"a b\"]"},
        {"teams/a/customers/c/keys", "[\"a\\u0001\"]"},
        {"teams/a/customers/c/keys", "[\"" + std::string(257, 'k') + "\"]"},
        {"teams/a/customers/c/keys", "[1]"},
        {"teams/a/customers/c/name", "\"\""},
        {"teams/a/customers/c/priority", "-1"},
        {"teams/a/customers/c/rate_per_s", "-0.5"},
        {"teams/a/customers/c/rate_per_s", "1e999"},
        {"teams/a/customers/c/rate_per_s", "\"1\""},
        {"teams/a/customers/c/burst", "1"},
        {"teams/a/customers/c/quota", "1"},
        {"teams/a/queues/r/x", "1"},
        {"teams/A/pools/p/entries", "1"},
        {"teams/a/pools/p/entries/x", "1"}};
    for (const auto& [path, value] : wrong) {
        settings tree = valid_tree();
        tree[path] = value;
        EXPECT_THAT(problem_paths(tree), testing::ElementsAre(path)) << value;
    }
}

// Guards against two customers with one key or name, also after a change of one of them,
// and against a reason that shows a key.
TEST(compile, refuses_customers_with_the_same_key_or_name)
{
    settings tree = valid_tree();
    tree["teams/a/customers/c/keys"] = "[\"secret-1\",\"secret-2\"]";
    tree["teams/a/customers/d/keys"] = "[\"secret-3\"]";
    tree["teams/b/customers/c/keys"] = "[\"secret-1\"]";
    const auto before = compile(tree);
    ASSERT_TRUE(std::holds_alternative<declarations>(before));
    tree["teams/a/customers/d/keys"] = "[\"secret-3\",\"secret-2\"]";
    tree["teams/a/customers/d/name"] = "\"c\"";
    const std::vector<std::string> changed = {
        "teams/a/customers/d/keys", "teams/a/customers/d/name"};
    for (const auto& compiled :
         {compile(tree), recompile(std::get<declarations>(before), tree, changed)}) {
        const auto* problems = std::get_if<std::vector<problem>>(&compiled);
        ASSERT_NE(problems, nullptr);
        ASSERT_EQ(problems->size(), 2U);
        EXPECT_EQ(problems->front().path, changed[0]);
        EXPECT_EQ(problems->back().path, changed[1]);
        EXPECT_THAT(problems->front().reason, testing::Not(testing::HasSubstr("secret")));
    }
    tree["teams/a/customers/d/keys"] = "[\"secret-3\",";
    const auto cut = compile(tree);
    for (const auto& it : std::get<std::vector<problem>>(cut)) {
        EXPECT_THAT(it.reason, testing::Not(testing::HasSubstr("secret")));
    }
}

// Guards against an incomplete route, and against two contradictory health minimums of
// which one would be ignored.
TEST(compile, refuses_missing_and_contradictory_settings)
{
    settings tree = valid_tree();
    tree.erase("teams/a/routes/r/host");
    tree.erase("teams/a/routes/r/pool");
    tree["teams/b/pools/q/min_healthy_servers"] = "2";
    EXPECT_THAT(
        problem_paths(tree),
        testing::ElementsAre(
            "teams/a/routes/r/host",
            "teams/a/routes/r/pool",
            "teams/b/pools/q/min_healthy_servers"));
}

// Guards against two routes, also of different teams, that match the same request.
TEST(compile, refuses_overlapping_routes)
{
    for (const char* methods : {"", "[\"POST\",\"HEAD\"]"}) {
        settings tree = valid_tree();
        add_route(tree, "teams/b/routes/s", methods, "q");
        EXPECT_THAT(
            problem_paths(tree), testing::ElementsAre("teams/b/routes/s/path_prefix"));
    }
    settings tree = valid_tree();
    add_route(tree, "teams/b/routes/s", "[\"POST\"]", "q");
    EXPECT_THAT(problem_paths(tree), testing::IsEmpty());
}

// Guards against an incremental compilation whose result differs from that of a full one.
TEST(compile, recompile_equals_compile_for_random_changes)
{
    core::random_source random(20261204);
    const auto pick = [&](const std::vector<std::string>& from) {
        return from[random() % from.size()];
    };
    settings tree;
    declarations before;
    int valid = 0;
    int invalid = 0;
    for (int step = 0; step < 6'000; ++step) {
        settings next = tree;
        std::vector<std::string> changed;
        for (std::uint64_t n = 1 + random() % 4; n > 0; --n) {
            const auto team = "teams/" + pick({"a", "b"});
            const auto pool = team + "/pools/" + pick({"p", "q"});
            const auto route = team + "/routes/" + pick({"r", "s"});
            const std::vector<std::pair<std::string, std::string>> operations = {
                {pool + "/entries", pick({"", "", "3", "4", "99"})},
                {pool + "/retry_percent", pick({"", "1"})},
                {route + "/host", "\"a\""},
                {route + "/path_prefix", pick({"\"/x\"", "\"/y\""})},
                {route + "/pool", pick({"\"p\"", "\"q\""})},
                {route + "/methods", pick({"", "[\"GET\"]", "[\"GET\",\"PUT\"]"})},
                {pick({route + "/x/y", "odd", pool + "/", team + "/x/y/z"}),
                 pick({"", "", "1"})}};
            // Half of the changes set a whole route, so that valid trees are common.
            const bool whole = random() % 2 == 0;
            const std::size_t first = whole ? 2 : random() % operations.size();
            for (std::size_t i = first; i < (whole ? 6 : first + 1); ++i) {
                const auto& [path, value] = operations[i];
                changed.push_back(path);
                next.erase(path);
                if (!value.empty()) {
                    next[path] = value;
                }
            }
        }
        const auto expected = compile(next);
        ASSERT_EQ(recompile(before, next, changed), expected) << "step " << step;
        if (const auto* all = std::get_if<declarations>(&expected)) {
            before = *all;
            tree = next;
            ++valid;
        } else {
            ++invalid;
        }
    }
    EXPECT_GT(valid, 1'000);
    EXPECT_GT(invalid, 1'000);
}

// Guards against instances that store different texts for the same value.
TEST(settings, canonical_text_ignores_formatting)
{
    EXPECT_EQ(
        canonical_json(" { \"b\": 1,\n\"a\": [ 0.10 ] } ").value(),
        R"({"a":[0.1],"b":1})");
    for (const char* text : {"", "1 2", "{\"a\":1,\"a\":1}", "nan", "'a'", "\"\xff\""}) {
        EXPECT_FALSE(canonical_json(text).has_value()) << text;
    }
}

// Guards against a missed difference and against an operation on an unchanged path.
TEST(diff, lists_additions_changes_and_deletions)
{
    const settings from = {{"a", "1"}, {"b", "1"}, {"c", "1"}};
    const settings to = {{"b", "1"}, {"c", "2"}, {"d", "1"}};
    std::vector<std::string> lines;
    for (const auto& it : diff(from, to)) {
        lines.push_back(to_string(it));
    }
    EXPECT_THAT(lines, testing::ElementsAre("- a = 1", "~ c = 1 -> 2", "+ d = 1"));
}

} // namespace
} // namespace cuminpitch::config
