#include "cuminpitch/assign/strategy.hpp"
#include "cuminpitch/core/random.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

namespace cuminpitch::assign {
namespace {

member make_member(int i, int domains)
{
    return {
        core::instance_id("e" + std::to_string(i)),
        core::failure_domain_id("d" + std::to_string(i % domains))};
}

core::pool_id make_pool(int i)
{
    return {core::team_id("t"), std::to_string(i)};
}

class every_strategy : public testing::TestWithParam<int>
{
protected:
    static strategy make()
    {
        switch (GetParam()) {
        case 0:
            return rendezvous{};
        case 1:
            return indexed_hashing(256);
        default:
            return modulo{};
        }
    }
};

INSTANTIATE_TEST_SUITE_P(strategies, every_strategy, testing::Values(0, 1, 2));

// Guards against lists that hold two members of one failure domain while another domain
// is unused, that hold duplicates, or that are too short.
TEST_P(every_strategy, spreads_over_domains)
{
    auto it = make();
    EXPECT_TRUE(pick(it, make_pool(1), 3).empty());
    // Domain x has 20 members, the three others have one each.
    for (int i = 0; i < 20; ++i) {
        join(
            it,
            {core::instance_id("m" + std::to_string(i)), core::failure_domain_id("x")});
    }
    for (int i = 0; i < 3; ++i) {
        join(it, make_member(i, 3));
    }
    for (int i = 0; i < 100; ++i) {
        for (std::size_t n = 1; n <= 25; ++n) {
            const auto list = pick(it, make_pool(i), n);
            ASSERT_EQ(list.size(), std::min<std::size_t>(n, 23));
            ASSERT_EQ(std::set(list.begin(), list.end()).size(), list.size());
            const auto in_x = std::count_if(list.begin(), list.end(), [](const auto& id) {
                return id.str()[0] == 'm';
            });
            if (n <= 4) {
                ASSERT_LE(in_x, 1);
            } else {
                ASSERT_EQ(list.size() - static_cast<std::size_t>(in_x), 3U);
            }
        }
    }
}

// Guards against members that are still picked after they left, and against domain sizes
// that are not updated.
TEST_P(every_strategy, does_not_pick_departed_members)
{
    auto it = make();
    core::random_source random(3);
    std::set<int> present;
    for (int i = 0; i < 500; ++i) {
        const int m = static_cast<int>(random() % 30);
        if (random() % 2 == 0) {
            leave(it, make_member(m, 4).id);
            present.erase(m);
        } else {
            join(it, make_member(m, 4));
            present.insert(m);
        }
        const auto list = pick(it, make_pool(i), 30);
        ASSERT_EQ(list.size(), present.size());
        for (const int p : present) {
            ASSERT_TRUE(std::count(list.begin(), list.end(), make_member(p, 4).id) == 1);
        }
    }
}

// Guards against a member that keeps its old failure domain after it joined again with
// another one.
TEST_P(every_strategy, rejoin_updates_failure_domain)
{
    auto it = make();
    join(it, make_member(0, 2));
    join(it, make_member(1, 2));
    join(it, {core::instance_id("e2"), core::failure_domain_id("d0")});
    join(it, {core::instance_id("e2"), core::failure_domain_id("d1")});
    for (int i = 0; i < 50; ++i) {
        const auto list = pick(it, make_pool(i), 2);
        EXPECT_EQ(std::count(list.begin(), list.end(), make_member(0, 2).id), 1);
    }
}

// Guards against rendezvous lists that depend on the order of joins, and against changes
// to lists that neither hold the member that leaves nor receive the one that joins.
TEST(rendezvous, changes_only_affected_lists)
{
    rendezvous forward;
    rendezvous backward;
    for (int i = 0; i < 44; ++i) {
        forward.join(make_member(i, 4));
        backward.join(make_member(43 - i, 4));
    }
    std::vector<std::vector<core::instance_id>> lists;
    for (int i = 0; i < 500; ++i) {
        lists.push_back(forward.pick(make_pool(i), 3));
        ASSERT_EQ(lists.back(), backward.pick(make_pool(i), 3));
    }
    const auto leaving = make_member(7, 4);
    backward.leave(leaving.id);
    for (int i = 0; i < 500; ++i) {
        const auto& before = lists[static_cast<std::size_t>(i)];
        const auto after = backward.pick(make_pool(i), 3);
        const bool is_listed = std::count(before.begin(), before.end(), leaving.id) == 1;
        ASSERT_EQ(before != after, is_listed);
    }
    backward.join(leaving);
    for (int i = 0; i < 500; ++i) {
        ASSERT_EQ(lists[static_cast<std::size_t>(i)], backward.pick(make_pool(i), 3));
    }
}

// Guards against outdated cached lists: is_affected() may return false only if pick()
// returns the same list again, and must do so for every full list.
TEST(rendezvous, is_affected_is_exact)
{
    core::random_source random(9);
    rendezvous it;
    std::set<int> present;
    int unaffected = 0;
    for (int i = 0; i < 3000; ++i) {
        const int m = static_cast<int>(random() % 12);
        // The failure domains d0, d1 and d2 have up to 9, 1 and 2 members.
        const member changed{
            core::instance_id("e" + std::to_string(m)),
            core::failure_domain_id("d" + std::to_string(m < 8 ? 0 : m % 3))};
        const auto pool = make_pool(i);
        const std::size_t n = 1 + random() % 8;
        const auto before = it.pick(pool, n);
        const bool leaves = present.contains(m);
        bool affected = true;
        if (leaves) {
            affected = it.is_affected(pool, n, before, changed);
            it.leave(changed.id);
            present.erase(m);
        } else {
            it.join(changed);
            affected = it.is_affected(pool, n, before, changed);
            present.insert(m);
        }
        if (before.size() == n) {
            ASSERT_EQ(affected, it.pick(pool, n) != before) << i;
        } else {
            ASSERT_TRUE(affected);
        }
        unaffected += affected ? 0 : 1;
    }
    EXPECT_GT(unaffected, 500);
}

// Indexed hashing guarantees that each member owns floor(N/n) to ceil(N/n) slots after
// any sequence of joins and departures.
TEST(indexed_hashing, slots_are_balanced)
{
    core::random_source random(5);
    indexed_hashing it(250);
    std::set<int> present;
    for (int i = 0; i < 5000; ++i) {
        const int m = static_cast<int>(random() % 60);
        if (present.contains(m)) {
            it.leave(make_member(m, 4).id);
            present.erase(m);
        } else {
            it.join(make_member(m, 4));
            present.insert(m);
        }
        std::size_t total = 0;
        for (const int p : present) {
            const auto slots = it.slots_of(make_member(p, 4).id);
            ASSERT_GE(slots, 250 / present.size());
            ASSERT_LE(slots, (250 + present.size() - 1) / present.size());
            total += slots;
        }
        ASSERT_EQ(total, present.empty() ? 0U : 250U);
    }
}

} // namespace
} // namespace cuminpitch::assign
