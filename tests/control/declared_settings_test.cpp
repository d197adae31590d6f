#include "cuminpitch/control/declared_settings.hpp"

#include "cuminpitch/config/loader.hpp"
#include "cuminpitch/control/fleet_state.hpp"
#include "cuminpitch/control/view_replica.hpp"

#include <gtest/gtest.h>

namespace cuminpitch::control {
namespace {

settings_tree example()
{
    return config::load_folder(CUMINPITCH_SOURCE_DIR "/examples/guarda-chuva").tree;
}

change
make_change(const std::string& id, core::revision base, std::vector<operation> operations)
{
    return {core::change_id(id), base, std::move(operations), 0};
}

change example_change()
{
    std::vector<operation> operations;
    for (const auto& [path, value] : example()) {
        operations.push_back({path, value});
    }
    return make_change("first", core::revision(), std::move(operations));
}

// Guards against incremental compilation that keeps routes or pools of a deleted subtree,
// or that gives different results at control instances and entries.
TEST(declared_settings, deleting_a_subtree_gives_the_same_declarations_as_from_scratch)
{
    const auto compile = make_compile_function();
    fleet_state state(compile);
    view_replica replica(compile);
    const std::string team = "teams/guarda-chuva/";
    const std::vector<change> changes = {
        example_change(),
        make_change(
            "one setting",
            core::revision(1),
            {{team + "pools/lending/queue_limit", "7"}}),
        make_change(
            "one route", core::revision(2), {{team + "routes/loans", std::nullopt}}),
        make_change(
            "invalid", core::revision(3), {{team + "pools/lending", std::nullopt}}),
        make_change(
            "intake",
            core::revision(3),
            {{team + "routes/returns", std::nullopt},
             {team + "routes/repair-photos", std::nullopt},
             {team + "pools/intake", std::nullopt}})};
    for (std::size_t i = 0; i < changes.size(); ++i) {
        const bool is_applied = std::holds_alternative<applied>(
            state.apply(core::revision(i + 1), changes[i]));
        EXPECT_EQ(is_applied, changes[i].id.str() != "invalid") << changes[i].id;
        ASSERT_TRUE(replica.apply(state.update_for(replica.revision())));
        const auto from_scratch = compile(state.contents().settings, nullptr);
        ASSERT_TRUE(from_scratch.declarations);
        EXPECT_EQ(*state.view()->declarations, *from_scratch.declarations) << i;
        EXPECT_EQ(*replica.view()->declarations, *from_scratch.declarations) << i;
    }
    EXPECT_EQ(state.view()->declarations->pools.size(), 1U);
    EXPECT_EQ(state.view()->declarations->routes.size(), 1U);
}

} // namespace
} // namespace cuminpitch::control
