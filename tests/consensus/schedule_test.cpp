#include "simulation.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace cuminpitch::consensus {
namespace {

constexpr absl::Duration heal_limit = absl::Seconds(20);
constexpr int schedule_steps = 2000;

/// Injects random faults between proposals. At most a minority of the nodes is down.
class random_schedule
{
public:
    explicit random_schedule(simulation& sim, std::size_t nodes)
        : sim_(sim), nodes_(nodes)
    {
        sim.faults = {0.05, 0.05, absl::Milliseconds(40)};
        sim.snapshot_every = 40;
    }

    bool changes_members = false;
    int changed = 0; ///< Number of accepted member changes.

    void run(int steps)
    {
        for (int i = 0; i < steps; ++i) {
            inject_event(random_below(100));
            sim_.run(absl::Milliseconds(5 + random_below(30)));
        }
        recover_all();
    }

private:
    std::size_t random_below(std::size_t below)
    {
        return std::uniform_int_distribution<std::size_t>(0, below - 1)(sim_.random);
    }

    std::size_t down() const
    {
        std::size_t out = 0;
        for (std::size_t i = 0; i < nodes_; ++i) {
            out += sim_.at(i).replica && !sim_.at(i).frozen ? 0 : 1;
        }
        return out;
    }

    void inject_event(std::size_t kind)
    {
        auto& it = sim_.at(random_below(nodes_));
        const bool can_stop_node = down() + 1 <= (nodes_ - 1) / 2;
        if (kind < 50) {
            sim_.propose();
        } else if (kind < 54 && can_stop_node && it.replica) {
            it.crash_after_actions = static_cast<int>(random_below(12));
        } else if (kind < 56 && can_stop_node && it.replica) {
            it.frozen = true;
        } else if (kind < 64) {
            it.frozen = false;
            if (!it.replica) {
                sim_.start(it);
            }
        } else if (kind < 67) {
            sim_.cut(it.number, random_below(nodes_));
        } else if (kind < 68) {
            sim_.isolate(it.number, random_below(2) == 0, true);
        } else if (kind < 72) {
            sim_.heal();
        } else if (kind < 73 && sim_.leader()) {
            (void)sim_.leader()->replica->transfer_leadership(sim_.now);
        } else if (kind < 78 && changes_members) {
            change_members(it);
        }
    }

    /// Adds the node as a learner, promotes it or removes it, depending on its role. The
    /// group keeps at least 3 voters.
    void change_members(const simulation::node& it)
    {
        if (!sim_.leader()) {
            return;
        }
        const auto& members = sim_.leader()->replica->members();
        const member* found = members.find(it.id);
        if (found == nullptr) {
            changed += sim_.change(add_learner{sim_.as_member(it)}) ? 1 : 0;
        } else if (found->role == member_role::learner) {
            changed += sim_.change(promote_learner{it.id}) ? 1 : 0;
        } else if (members.voter_count() > 3) {
            changed += sim_.change(remove_member{it.id}) ? 1 : 0;
        }
    }

    void recover_all()
    {
        sim_.heal();
        sim_.faults = {};
        for (std::size_t i = 0; i < nodes_; ++i) {
            sim_.at(i).crash_after_actions = -1;
            sim_.at(i).frozen = false;
            if (!sim_.at(i).replica) {
                sim_.start(sim_.at(i));
            }
        }
    }

    simulation& sim_;
    std::size_t nodes_;
};

// Guards against lost, changed or reordered committed entries, two leaders in a term, and
// a group that doesn't recover, under loss, duplication, delay, reordering, one-way cuts,
// freezes, and crashes between write and sync with torn writes.
TEST(random_schedule, keeps_invariants_and_recovers)
{
    std::size_t terms = 0;
    std::size_t lost_writes = 0;
    int snapshots_restored = 0;
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        const std::size_t voters = seed % 2 == 0 ? 3 : 5;
        replica_options options;
        options.kept_entries = seed % 3 * 20;
        options.max_append_entries = 4;
        options.snapshot_part_bytes = 250;
        simulation sim(seed, voters, options);
        random_schedule(sim, voters).run(schedule_steps);
        EXPECT_TRUE(sim.commits(heal_limit)) << "seed " << seed;
        ASSERT_THAT(sim.violations, testing::IsEmpty()) << "seed " << seed;
        EXPECT_GT(sim.highest_applied.value(), 300U) << "seed " << seed;
        terms += sim.terms_with_leader.size();
        lost_writes += sim.lost_writes;
        for (std::size_t i = 0; i < voters; ++i) {
            snapshots_restored += sim.at(i).snapshots_restored;
        }
    }
    // The schedules did cause elections, lost writes and restored snapshots.
    EXPECT_GT(terms, 500U);
    EXPECT_GT(lost_writes, 100U);
    EXPECT_GT(snapshots_restored, 100);
}

// Guards against member changes that let two majorities decide independently.
TEST(random_schedule, survives_member_changes)
{
    int changed = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        simulation sim(seed, 3, {}, 2);
        random_schedule schedule(sim, 5);
        schedule.changes_members = true;
        schedule.run(schedule_steps);
        changed += schedule.changed;
        EXPECT_TRUE(sim.commits(heal_limit)) << "seed " << seed;
        ASSERT_THAT(sim.violations, testing::IsEmpty()) << "seed " << seed;
    }
    EXPECT_GT(changed, 500); // The schedules did cause member changes.
}

// Guards against the loss of committed entries or of the majority when disks are
// replaced. After random faults one voter loses its disk and rejoins, and another voter
// crashes right afterwards.
TEST(random_schedule, survives_replaced_disks)
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        const std::size_t voters = seed % 2 == 0 ? 3 : 5;
        simulation sim(seed, voters);
        for (int round = 0; round < 4; ++round) {
            random_schedule(sim, voters).run(100);
            ASSERT_TRUE(sim.commits(heal_limit)) << "seed " << seed;
            auto& lost = sim.at(sim.random() % voters);
            sim.replace_disk(lost);
            sim.start(lost);
            sim.faults = {0.05, 0.05, absl::Milliseconds(40)};
            ASSERT_TRUE(sim.add_voter(lost, heal_limit)) << "seed " << seed;
            auto& second = sim.at((lost.number + 1) % voters);
            sim.crash(second);
            EXPECT_TRUE(sim.commits(heal_limit)) << "seed " << seed;
            sim.start(second);
        }
        ASSERT_THAT(sim.violations, testing::IsEmpty()) << "seed " << seed;
    }
}

} // namespace
} // namespace cuminpitch::consensus
