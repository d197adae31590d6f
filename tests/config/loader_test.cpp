#include "cuminpitch/config/loader.hpp"

#include "cuminpitch/config/compile.hpp"
#include "temporary_folder.hpp"

#include <gmock/gmock.h>

namespace cuminpitch::config {
namespace {

// Guards against examples that no longer pass validation or lose their minimum number of
// healthy servers.
TEST(loader, accepts_the_example_trees)
{
    const std::string examples = std::string(CUMINPITCH_SOURCE_DIR) + "/examples/";
    for (const auto& [name, pool, floor] :
         {std::tuple("cooperative", "archive", 6U),
          std::tuple("guarda-chuva", "intake", 4U)}) {
        const auto loaded = load_and_check(examples + name);
        EXPECT_THAT(loaded.problems, testing::IsEmpty());
        const auto compiled = compile(loaded.tree);
        const auto& all = std::get<declarations>(compiled);
        EXPECT_EQ(all.pools.size(), 2U);
        EXPECT_EQ(all.pools.at({core::team_id(name), pool}).min_healthy_servers, floor);
        for (const auto& [id, route] : all.routes) {
            const bool post = testing::Value(route.methods, testing::Contains("POST"));
            EXPECT_EQ(route.idempotent, !post) << id;
        }
    }
}

// Guards against files that are skipped silently, and against reporting only the first
// problem of each run.
TEST(loader, reports_all_unusable_files_at_once)
{
    const temporary_folder it;
    it.write("readme.txt", "");
    it.write(".git/config", "");
    it.write("teams/Upper/pools/a.json", "{}");
    it.write("teams/a/pools/broken.json", "{\"entries\": ");
    it.write("teams/a/pools/twice.json", R"({"entries": 1, "entries": 2})");
    it.write("teams/a/pools/list.json", "[1]");
    it.write("teams/a/pools/empty.json", "{}");
    it.write("teams/a/pools/notes.txt", "");
    it.write("teams/a/pools/bad_name.json", R"({"entries": 1})");
    it.write("teams/a/pools/bytes.json", "{\"entries\": \"\xff\"}");
    it.write("teams/a/other/x.json", "{}");
    std::filesystem::create_directories(it.path() / "teams/b/routes");
    std::filesystem::create_directories(it.path() / "teams/c");
    const auto loaded = load_folder(it.path());
    std::vector<std::string> files;
    for (const auto& problem : loaded.problems) {
        files.push_back(problem.file);
    }
    EXPECT_THAT(
        files,
        testing::ElementsAre(
            "readme.txt",
            "teams/Upper",
            "teams/a/other",
            "teams/a/pools/bad_name.json",
            "teams/a/pools/broken.json",
            "teams/a/pools/bytes.json",
            "teams/a/pools/empty.json",
            "teams/a/pools/list.json",
            "teams/a/pools/notes.txt",
            "teams/a/pools/twice.json",
            "teams/b/routes",
            "teams/c"));
}

// Guards against an empty or missing folder that is taken as a request to delete all
// settings.
TEST(loader, refuses_empty_and_missing_folders)
{
    const temporary_folder it;
    EXPECT_EQ(load_folder(it.path()).problems.size(), 2U);
    EXPECT_EQ(load_folder(it.path() / "none").problems.size(), 1U);
}

// Guards against a deeply nested value that exhausts the stack.
TEST(loader, bounds_nesting)
{
    const temporary_folder it;
    it.write(
        "teams/a/pools/a.json",
        "{\"entries\": " + std::string(100'000, '[') + std::string(100'000, ']') + "}");
    const auto loaded = load_folder(it.path());
    ASSERT_EQ(loaded.problems.size(), 1U);
    EXPECT_THAT(loaded.problems[0].reason, testing::HasSubstr("nested deeper"));
}

} // namespace
} // namespace cuminpitch::config
