#include "cuminpitch/request/route_table.hpp"

#include "request/routing_path_priv.hpp"

#include <absl/time/clock.h>
#include <gtest/gtest.h>

namespace cuminpitch::request {
namespace {

class route_table_test : public testing::Test
{
protected:
    void
    add(const std::string& name,
        const std::string& host,
        const std::string& prefix,
        std::vector<std::string> methods = {})
    {
        const core::pool_id pool{core::team_id("a"), "p"};
        declared->pools[pool].id = pool;
        config::route_settings it;
        it.id = {pool.team, name};
        it.host = host;
        it.path_prefix = prefix;
        it.methods = std::move(methods);
        it.pool = pool;
        declared->routes[it.id] = it;
    }
    std::string find(
        const std::string& host,
        const std::string& path,
        const std::string& method = "GET")
    {
        const auto it = route_table(declared).find(host, path, method);
        return it.route == nullptr ? "" : it.route->id.name;
    }

    std::shared_ptr<config::declarations> declared =
        std::make_shared<config::declarations>();
};

// Guards against telling no entries to the callers of a route that doesn't accept GET.
TEST_F(route_table_test, empty_method_stands_for_any)
{
    add("loans", "a.example", "/loans", {"POST"});
    EXPECT_EQ(find("a.example", "/loans", ""), "loans");
    EXPECT_EQ(find("a.example", "/loans", "GET"), "");
}

// Guards against choosing a route for another path, host or method.
TEST_F(route_table_test, prefers_the_longest_prefix_of_whole_segments)
{
    add("root", "h", "/");
    add("scan", "h", "/scan");
    add("deep", "h", "/scan/deep/", {"POST"});
    add("any", "h", "/m");
    add("named", "h", "/m", {"PUT"});
    add("alone", "g", "/x");
    EXPECT_EQ(find("H:8080", "/scan"), "scan");
    EXPECT_EQ(find("h.", "/scan/7"), "scan");
    EXPECT_EQ(find("h", "/scanner"), "root");
    EXPECT_EQ(find("h", "/scan/deep/1", "POST"), "deep");
    EXPECT_EQ(find("h", "/scan/deep", "POST"), "deep");
    EXPECT_EQ(find("h", "/scan/deeper/1", "POST"), "scan");
    EXPECT_EQ(find("h", "/scan/deep/1", "GET"), "scan");
    EXPECT_EQ(find("h", "/m", "PUT"), "named");
    EXPECT_EQ(find("h", "/m", "GET"), "any");
    EXPECT_EQ(find("g", "/"), "");
    EXPECT_EQ(find("g", "/x" + std::string(100000, 'y')), "");
    EXPECT_EQ(find("other", "/scan"), "");
}

// Guards against a path that a backend server resolves to another route than the entry
// does: the request could be retried although it isn't idempotent.
TEST(routing_path, rejects_dot_segments_and_decodes_letters)
{
    for (const char* bad : {"/a/../b", "/..", "/a/%2e%2E/b", "/a/.", "/./a", "", "a"}) {
        EXPECT_FALSE(routing_path(bad).has_value()) << bad;
    }
    EXPECT_EQ(routing_path("/%6Frders/%2F"), "/orders/%2F");
    EXPECT_EQ(routing_path("//a///b/"), "/a/b/");
    EXPECT_EQ(routing_path("/a.b/..c/%"), "/a.b/..c/%");
}

// Guards against a lookup time that grows with the number of routes. The limit is far
// above the usual 0.5 us, so that the test doesn't fail on a busy machine.
TEST_F(route_table_test, finds_among_52000_routes)
{
    constexpr int routes = 52000;
    for (int i = 0; i < routes; ++i) {
        add("r" + std::to_string(i),
            "host" + std::to_string(i % 3200),
            "/api/v1/service/r" + std::to_string(i));
    }
    const route_table table(declared);
    const auto begin = absl::Now();
    int found = 0;
    for (int i = 0; i < routes; ++i) {
        const auto number = std::to_string(i);
        const auto it = table.find(
            "host" + std::to_string(i % 3200),
            "/api/v1/service/r" + number + "/items/17/parts/4",
            "GET");
        found += it.route != nullptr && it.route->id.name == "r" + number ? 1 : 0;
    }
    const auto each = (absl::Now() - begin) / routes;
    EXPECT_EQ(found, routes);
    EXPECT_LT(each, absl::Microseconds(20));
    RecordProperty("lookup_ns", static_cast<int>(absl::ToInt64Nanoseconds(each)));
}

} // namespace
} // namespace cuminpitch::request
