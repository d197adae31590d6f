#include "sample.hpp"

#include "cuminpitch/control/controller.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

namespace cuminpitch::control {
namespace {

constexpr auto step = absl::Milliseconds(250);

// A leader whose proposals are committed at once, and entries that report in every step.
class fleet
{
public:
    explicit fleet(int entries)
    {
        for (int i = 0; i < entries; ++i) {
            start("e" + std::to_string(i), "d" + std::to_string(i % 3));
        }
        declare(3);
        elect();
    }

    void start(const std::string& name, const std::string& domain)
    {
        auto& it = entries[name];
        it = {make_entry(name, domain), ++incarnations_, rev(0), false, {}};
    }
    void declare(int wanted)
    {
        const auto base = state.revision().value();
        commit(set_change(
            "c" + std::to_string(base),
            base,
            "teams/t/pools/a/entries",
            std::to_string(wanted)));
    }
    void elect()
    {
        leader =
            std::make_unique<controller>(controller_options{}, assign::rendezvous{}, now);
    }
    void commit(const command& it) { state.apply(rev(++index_), it); }

    /// Entries in `stuck` report but receive no new revisions.
    void run(absl::Duration time)
    {
        for (const auto end = now + time; now < end; now += step) {
            for (auto& [name, it] : entries) {
                if (!stuck.contains(name)) {
                    it.in_force = state.revision();
                }
                leader->report(it, now);
            }
            for (const auto& it : leader->tick(*state.view(), now)) {
                const auto before = list();
                commit(it);
                if (list() != before) {
                    steps.emplace_back(now, list());
                }
            }
        }
    }
    std::set<std::string> list() const
    {
        std::set<std::string> result;
        const auto it = state.contents().assignments.find(pool_a);
        if (it != state.contents().assignments.end()) {
            for (const auto& id : it->second.entries) {
                result.insert(id.str());
            }
        }
        return result;
    }
    bool is_member(const std::string& name) const
    {
        return state.contents().entries.contains(core::instance_id(name));
    }

    absl::Time now = absl::FromUnixSeconds(1000);
    fleet_state state{compile_sample};
    std::unique_ptr<controller> leader;
    std::map<std::string, sync_request> entries;
    std::set<std::string> stuck;
    std::vector<std::pair<absl::Time, std::set<std::string>>> steps;

private:
    std::uint64_t index_ = 0;
    std::uint64_t incarnations_ = 0;
};

std::size_t distance(const std::set<std::string>& a, const std::set<std::string>& b)
{
    std::vector<std::string> out;
    std::set_symmetric_difference(
        a.begin(), a.end(), b.begin(), b.end(), std::back_inserter(out));
    return out.size();
}

// Guards against building the first list of a pool member by member, or before entries
// have reported.
TEST(controller, sets_the_first_list_in_one_step)
{
    fleet it(6);
    it.run(absl::Seconds(10));
    ASSERT_EQ(it.steps.size(), 1U);
    EXPECT_EQ(it.list().size(), 3U);
    std::set<std::string> domains;
    for (const auto& name : it.list()) {
        domains.insert(it.entries[name].entry.failure_domain.str());
    }
    EXPECT_EQ(domains.size(), 3U);
}

// Guards against removal before 60 s without a report, and against removal by a new
// leader that has received no reports yet.
TEST(controller, removes_after_sixty_seconds_without_report)
{
    fleet it(6);
    it.run(absl::Seconds(10));
    it.entries.erase("e0");
    it.run(absl::Seconds(59));
    EXPECT_TRUE(it.is_member("e0"));
    it.elect();
    it.run(absl::Seconds(59));
    EXPECT_TRUE(it.is_member("e0"));
    it.run(absl::Seconds(2));
    EXPECT_FALSE(it.is_member("e0"));
    EXPECT_EQ(it.state.contents().entries.size(), 5U);
    it.start("e0", "d0");
    it.run(absl::Seconds(1));
    EXPECT_TRUE(it.is_member("e0"));
}

// Guards against a new revision or a list change caused by the restart of an entry.
TEST(controller, restart_changes_nothing)
{
    fleet it(6);
    it.run(absl::Seconds(10));
    const auto before = it.state.revision();
    const auto victim = *it.list().begin();
    const auto domain = it.entries[victim].entry.failure_domain.str();
    it.entries.erase(victim);
    it.run(absl::Seconds(30));
    it.start(victim, domain);
    it.run(absl::Seconds(30));
    EXPECT_EQ(it.state.revision(), before);
}

// Guards against removing a draining member before its replacement is added, and against
// list changes that follow each other within the settle time.
TEST(controller, replaces_a_draining_member_by_addition_then_removal)
{
    fleet it(6);
    it.run(absl::Seconds(10));
    const auto victim = *it.list().begin();
    it.entries[victim].draining = true;
    it.run(absl::Seconds(10));
    ASSERT_EQ(it.steps.size(), 3U);
    EXPECT_EQ(it.steps[1].second.size(), 4U);
    EXPECT_EQ(it.steps[2].second.size(), 3U);
    EXPECT_FALSE(it.list().contains(victim));
    EXPECT_GE(it.steps[2].first - it.steps[1].first, absl::Seconds(3));
}

// Guards against changing a list while only a minority of its members has it in force.
// Reports of a restarted entry must count anew.
TEST(controller, waits_for_a_majority_with_the_list_in_force)
{
    fleet it(6);
    it.run(absl::Seconds(10));
    const auto members = it.list();
    const auto victim = *members.begin();
    it.stuck = members;
    it.entries[victim].draining = true;
    it.run(absl::Seconds(5));
    ASSERT_EQ(
        it.steps.size(), 2U); // The old list was in force, so one change is allowed.
    it.run(absl::Seconds(30));
    EXPECT_EQ(it.steps.size(), 2U);
    it.stuck.clear();
    it.run(absl::Seconds(2));
    for (const auto& name : it.list()) {
        it.entries[name].incarnation += 100;
    }
    it.run(absl::Seconds(2));
    EXPECT_EQ(it.steps.size(), 2U);
    it.run(absl::Seconds(30));
    EXPECT_EQ(it.steps.size(), 3U);
    for (std::size_t i = 1; i < it.steps.size(); ++i) {
        EXPECT_EQ(distance(it.steps[i - 1].second, it.steps[i].second), 1U);
    }
}

// Guards against changing a list whose majority is down: leases could then be granted
// under the old and the new list.
TEST(controller, keeps_a_list_without_a_live_majority)
{
    fleet it(6);
    it.run(absl::Seconds(10));
    const auto members = it.list();
    it.entries.erase(*members.begin());
    it.entries.erase(*std::next(members.begin()));
    it.run(absl::Seconds(200));
    EXPECT_EQ(it.list(), members);
    EXPECT_EQ(it.state.contents().entries.size(), 4U);
}

// Guards against a pool that is deleted, declared again, and then starts with a list
// disjoint from the old one, whose leases may still be valid.
TEST(controller, redeclared_pool_continues_from_its_list)
{
    fleet it(6);
    it.run(absl::Seconds(10));
    const auto members = it.list();
    const auto base = it.state.revision();
    it.commit(change{core::change_id("d"), base, {{"teams/t", std::nullopt}}, 0});
    it.run(absl::Seconds(1));
    EXPECT_TRUE(it.state.view()->declarations->pools.empty());
    it.declare(3);
    it.run(absl::Seconds(1));
    EXPECT_EQ(it.list(), members);
}

// Guards against a delayed report of an earlier incarnation replacing a newer one.
TEST(controller, ignores_reports_of_earlier_incarnations)
{
    fleet it(3);
    it.run(absl::Seconds(5));
    auto old = it.entries["e0"];
    old.incarnation = 0;
    old.draining = true;
    it.leader->report(old, it.now);
    EXPECT_FALSE(it.leader->status(*it.state.view(), it.now)[0].draining);
}

// Guards against a status that omits entries without the wanted revision, or reports the
// wrong age.
TEST(controller, status_lists_lagging_entries)
{
    fleet it(3);
    it.run(absl::Seconds(5));
    it.stuck = {"e1"};
    it.declare(2);
    const auto wanted = it.state.revision();
    const auto committed = it.now;
    it.run(absl::Seconds(4));
    const auto lagging_entries =
        it.leader->lagging_entries(*it.state.view(), wanted, it.now);
    ASSERT_EQ(lagging_entries.size(), 1U);
    EXPECT_EQ(lagging_entries[0].id, core::instance_id("e1"));
    EXPECT_EQ(lagging_entries[0].since, it.now - committed);
    const auto status = it.leader->status(*it.state.view(), it.now + absl::Seconds(9));
    ASSERT_EQ(status.size(), 3U);
    EXPECT_EQ(status[0].last_contact, absl::Seconds(9) + step);
    it.elect();
    EXPECT_EQ(it.leader->lagging_entries(*it.state.view(), wanted, it.now).size(), 3U);
    EXPECT_FALSE(it.leader->status(*it.state.view(), it.now)[0].last_contact);
}

} // namespace
} // namespace cuminpitch::control
