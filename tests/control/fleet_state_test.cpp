#include "sample.hpp"

#include "cuminpitch/control/view_replica.hpp"
#include "cuminpitch/core/random.hpp"
#include "cuminpitch/wire/control_codec.hpp"

#include <gtest/gtest.h>

namespace cuminpitch::control {
namespace {

// Guards against a resent change that is applied twice or gets another outcome, also at a
// replica that was restored from a snapshot.
TEST(fleet_state, resent_change_gets_its_first_outcome)
{
    fleet_state state(compile_sample);
    const auto first = set_change("c1", 0, "teams/t/x", "1");
    EXPECT_EQ(state.apply(rev(5), first), outcome(applied{rev(5)}));
    const auto refused = set_change("c2", 0, "teams/t/x", "2");
    const auto conflicting = outcome(conflict{rev(5), {"teams/t/x"}});
    EXPECT_EQ(state.apply(rev(6), refused), conflicting);
    const auto bad = set_change("c3", 5, "teams/t/x", "bad");
    const auto wrong = outcome(invalid{{{"teams/t/x", "must not be bad"}}});
    EXPECT_EQ(state.apply(rev(7), bad), wrong);
    EXPECT_EQ(state.apply(rev(8), first), outcome(applied{rev(5)}));

    fleet_state other(compile_sample);
    ASSERT_TRUE(other.restore(state.snapshot()).has_value());
    EXPECT_EQ(other.apply(rev(9), first), outcome(applied{rev(5)}));
    EXPECT_EQ(other.apply(rev(10), refused), conflicting);
    EXPECT_EQ(other.apply(rev(11), bad), wrong);
    EXPECT_EQ(other.revision(), rev(5));
    EXPECT_EQ(other.contents(), state.contents());
}

// Guards against storing an unlimited number of outcomes, and against evicting them too
// early.
TEST(fleet_state, remembers_65536_outcomes)
{
    fleet_state state([](const settings_tree&, const compile_base*) {
        return compiled_settings{nullptr, {{"", "refused"}}};
    });
    std::uint64_t index = 0;
    for (std::size_t i = 0; i <= outcome_limit; ++i) {
        state.apply(rev(++index), set_change(std::to_string(i), 0, "teams/t/x", "1"));
    }
    EXPECT_FALSE(state.find_outcome(core::change_id("0")).has_value());
    EXPECT_TRUE(state.find_outcome(core::change_id("1")).has_value());
}

// Guards against applying both of two changes of a team with the same base revision.
TEST(fleet_state, second_of_two_concurrent_changes_conflicts)
{
    fleet_state state(compile_sample);
    state.apply(rev(1), set_change("c0", 0, "teams/t/x", "0"));
    EXPECT_EQ(
        state.apply(rev(2), set_change("c1", 1, "teams/t/x", "1")),
        outcome(applied{rev(2)}));
    EXPECT_EQ(
        state.apply(rev(3), set_change("c2", 1, "teams/t/y", "2")),
        outcome(conflict{rev(2), {"teams/t/y"}}));
    EXPECT_EQ(state.contents().settings.count("teams/t/y"), 0U);
}

// Guards against a conflict between changes of different teams, and against applying a
// change of two teams that conflicts in one of them.
TEST(fleet_state, teams_are_independent)
{
    fleet_state state(compile_sample);
    state.apply(rev(1), set_change("c0", 0, "teams/t/x", "0"));
    EXPECT_EQ(
        state.apply(rev(2), set_change("c1", 0, "teams/u/x", "1")),
        outcome(applied{rev(2)}));
    change both = set_change("c2", 1, "teams/t/x", "2");
    both.operations.push_back({"teams/u/x", "2"});
    EXPECT_EQ(state.apply(rev(3), both), outcome(conflict{rev(2), {"teams/u/x"}}));
    EXPECT_EQ(state.contents().settings.at("teams/t/x"), "0");
}

// Guards against accepting settings outside a team, or a base revision that this group
// hasn't reached.
TEST(fleet_state, refuses_malformed_changes)
{
    fleet_state state(compile_sample);
    const std::vector<change> changes = {
        set_change("c1", 0, "other/t/x", "0"),
        set_change("c2", 0, "teams//x", "0"),
        set_change("c3", 9, "teams/t/x", "0"),
        set_change("", 0, "teams/t/x", "0"),
        set_change(std::string(change_id_limit + 1, 'c'), 0, "teams/t/x", "0"),
        {core::change_id("c4"), rev(0), {}, 0}};
    std::uint64_t index = 0;
    for (const auto& it : changes) {
        EXPECT_TRUE(std::holds_alternative<invalid>(state.apply(rev(++index), it)));
    }
    EXPECT_EQ(state.revision(), rev(0));
}

// Guards against a delete operation that leaves settings below the path or deletes a
// sibling with the same prefix.
TEST(fleet_state, delete_removes_the_subtree)
{
    fleet_state state(compile_sample);
    change all{core::change_id("c"), rev(0), {}, 0};
    for (const char* path : {"teams/t/a", "teams/t/a/b", "teams/t/a/b/c", "teams/t/ab"}) {
        all.operations.push_back({path, "1"});
    }
    state.apply(rev(1), all);
    state.apply(
        rev(2), change{core::change_id("d"), rev(1), {{"teams/t/a", std::nullopt}}, 0});
    EXPECT_EQ(state.contents().settings, (settings_tree{{"teams/t/ab", "1"}}));
}

// Guards against a history that is lost in a snapshot, is unlimited, or is evicted by
// restarts of entries.
TEST(fleet_state, keeps_the_last_changes)
{
    fleet_state state(compile_sample);
    std::uint64_t index = 0;
    for (std::size_t i = 0; i < history_limit + 10; ++i) {
        const auto base = state.revision().value();
        state.apply(
            rev(++index), set_change("c" + std::to_string(i), base, "teams/t/x", "1"));
        state.apply(rev(++index), entry_joined{make_entry("e", "d"), i + 1});
    }
    fleet_state other(compile_sample);
    ASSERT_TRUE(other.restore(state.snapshot()).has_value());
    for (const auto* it : {&state, &other}) {
        const auto all = it->changes_after(rev(0), 5000);
        ASSERT_EQ(all.size(), history_limit);
        EXPECT_EQ(std::get<change>(all.front().command).id, core::change_id("c10"));
        EXPECT_EQ(it->changes_after(all[1019].revision, 3).size(), 3U);
        EXPECT_EQ(it->changes_after(all[1019].revision, 3)[0], all[1020]);
    }
}

// Guards against list changes by two members, by a leader that saw an older list, or to
// members that don't exist.
TEST(fleet_state, checks_assignment_steps)
{
    fleet_state state(compile_sample);
    std::uint64_t index = 0;
    state.apply(rev(++index), set_change("c", 0, "teams/t/pools/a/entries", "3"));
    for (const char* name : {"e1", "e2", "e3", "e4"}) {
        state.apply(rev(++index), entry_joined{make_entry(name, "d"), 1});
    }
    const auto set = [&](const std::vector<std::string>& names, std::uint64_t expected) {
        return state.apply(
            rev(++index), set_assignment{pool_a, ids(names), rev(expected), false});
    };
    EXPECT_EQ(set({"e1", "e9"}, 0), outcome(ignored{}));
    EXPECT_EQ(set({"e1", "e1"}, 0), outcome(ignored{}));
    EXPECT_EQ(set({}, 0), outcome(ignored{}));
    const auto list = index + 1;
    EXPECT_EQ(set({"e1", "e2"}, 0), outcome(applied{rev(list)}));
    EXPECT_EQ(set({"e1", "e2", "e3"}, 0), outcome(ignored{}));
    EXPECT_EQ(set({"e1", "e3"}, list), outcome(ignored{}));
    EXPECT_EQ(set({"e1", "e2", "e3"}, list), outcome(applied{rev(list + 3)}));
    const set_assignment forced{pool_a, ids({"e4"}), rev(0), true};
    EXPECT_EQ(state.apply(rev(50), forced), outcome(applied{rev(50)}));
    EXPECT_EQ(state.view()->assignments.at(pool_a).list_revision, rev(50));
}

// Returns a random command that may or may not change the state.
command random_command(core::random_source& random, const fleet_state& state)
{
    const auto random_below = [&](std::uint64_t n) { return random() % n; };
    const auto name = "e" + std::to_string(random_below(5));
    switch (random_below(4)) {
    case 0: {
        const auto current = state.revision().value();
        change it = set_change(
            "c" + std::to_string(random_below(2000)),
            current - std::min(current, random_below(3)),
            "teams/t" + std::to_string(random_below(3)) + "/pools/a/entries",
            random_below(10) == 0 ? "bad" : std::to_string(1 + random_below(3)));
        if (random_below(4) == 0) {
            it.operations[0] = {
                "teams/t" + std::to_string(random_below(3)), std::nullopt};
        }
        return it;
    }
    case 1:
        return entry_joined{
            make_entry(name, "d" + std::to_string(random_below(3))), random_below(9)};
    case 2:
        return entry_removed{core::instance_id(name)};
    default:
        return set_assignment{
            {core::team_id("t" + std::to_string(random_below(3))), "a"},
            ids({name}),
            {},
            true};
    }
}

void expect_same(const view_replica& entry, const fleet_state& state)
{
    ASSERT_EQ(*entry.contents(), state.contents());
    ASSERT_EQ(*entry.view()->declarations, *state.view()->declarations);
    ASSERT_EQ(entry.view()->entries, state.view()->entries);
    ASSERT_EQ(entry.view()->assignments, state.view()->assignments);
    ASSERT_EQ(entry.view()->revision, state.view()->revision);
}

// Guards against different states of entries that receive deltas, some of them old or
// repeated, and entries that receive complete contents, and against a decreasing
// revision.
TEST(view_replica, deltas_and_snapshots_lead_to_the_same_view)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        core::random_source random(seed);
        fleet_state state(compile_sample);
        view_replica by_delta(compile_sample);
        std::vector<update> sent;
        for (std::uint64_t index = 1; index <= 600; ++index) {
            state.apply(rev(index), random_command(random, state));
            if (random() % 4 == 0) {
                sent.push_back(state.update_for(by_delta.revision()));
                ASSERT_TRUE(std::holds_alternative<delta>(sent.back()));
                ASSERT_TRUE(by_delta.apply(sent.back()));
                expect_same(by_delta, state);
            }
            if (!sent.empty() && random() % 4 == 0) {
                const auto before = by_delta.view();
                by_delta.apply(sent[random() % sent.size()]);
                ASSERT_EQ(by_delta.view(), before);
            }
        }
        ASSERT_TRUE(by_delta.apply(state.update_for(by_delta.revision())));
        view_replica by_snapshot(compile_sample);
        fleet_state restored(compile_sample);
        ASSERT_TRUE(restored.restore(state.snapshot()).has_value());
        ASSERT_TRUE(by_snapshot.apply(restored.update_for(rev(0))));
        expect_same(by_delta, state);
        expect_same(by_snapshot, state);
        expect_same(by_snapshot, restored);
    }
}

// Guards against applying a delta over a gap, and against complete contents of a lagging
// replica that decrease the revision.
TEST(view_replica, refuses_gaps_and_lower_revisions)
{
    fleet_state state(compile_sample);
    state.apply(rev(1), set_change("c1", 0, "teams/t/pools/a/entries", "1"));
    auto old = std::make_shared<const fleet_contents>(state.contents());
    view_replica entry(compile_sample);
    EXPECT_EQ(entry.revision(), rev(0));
    state.apply(rev(2), set_change("c2", 1, "teams/t/pools/a/entries", "2"));
    EXPECT_FALSE(entry.apply(state.update_for(rev(1))));
    EXPECT_EQ(entry.revision(), rev(0));
    EXPECT_TRUE(entry.apply(state.update_for(rev(0))));
    EXPECT_TRUE(entry.apply(old));
    EXPECT_EQ(entry.revision(), rev(2));
    EXPECT_EQ(entry.view()->declarations->pools.at(pool_a).entries, 2U);
}

// Guards against an entry that reports a revision whose settings it can't compile.
TEST(view_replica, keeps_the_last_view_that_compiles)
{
    bool fail = false;
    const auto compile = [&](const settings_tree& it, const compile_base*) {
        return fail ? compiled_settings{} : compile_sample(it);
    };
    fleet_state state(compile_sample);
    view_replica entry(compile);
    state.apply(rev(1), set_change("c1", 0, "teams/t/pools/a/entries", "1"));
    ASSERT_TRUE(entry.apply(state.update_for(rev(0))));
    state.apply(rev(2), set_change("c2", 1, "teams/t/pools/a/entries", "2"));
    fail = true;
    EXPECT_FALSE(entry.apply(state.update_for(rev(1))));
    EXPECT_EQ(entry.revision(), rev(1));
    fail = false;
    state.apply(rev(3), entry_joined{make_entry("e", "d"), 1});
    EXPECT_TRUE(entry.apply(state.update_for(rev(1))));
    expect_same(entry, state);
}

// Guards against sending a delta to an entry that lags by more than the stored commands.
TEST(fleet_state, sends_complete_contents_beyond_the_stored_commands)
{
    fleet_state state(compile_sample);
    for (std::uint64_t i = 1; i <= history_limit + 1; ++i) {
        state.apply(rev(i), entry_joined{make_entry("e" + std::to_string(i), "d"), 1});
    }
    EXPECT_TRUE(std::holds_alternative<delta>(state.update_for(rev(1))));
    EXPECT_FALSE(std::holds_alternative<delta>(state.update_for(rev(0))));
    EXPECT_EQ(state.view(), state.view());
}

// Guards against commands that are far longer than the contents that they lead to.
TEST(fleet_state, sends_contents_if_the_commands_are_longer)
{
    fleet_state state(compile_sample);
    for (std::uint64_t i = 1; i <= history_limit; ++i) {
        state.apply(rev(i), entry_joined{make_entry("e", "d"), i});
    }
    EXPECT_FALSE(std::holds_alternative<delta>(state.update_for(rev(1))));
    EXPECT_TRUE(std::holds_alternative<delta>(state.update_for(rev(history_limit - 9))));
    view_replica entry(compile_sample);
    ASSERT_TRUE(entry.apply(state.packed_update_for(rev(0))));
    expect_same(entry, state);
}

} // namespace
} // namespace cuminpitch::control
