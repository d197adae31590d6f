// Loss of all power at each durable write of a change of the group's membership.
// CUMINPITCH_SEEDS sets how many choices of lost disks are played for each write.

#include "group_simulation.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <set>
#include <string>
#include <vector>

namespace cuminpitch::control {
namespace {

/// Disks that may be lost at the same time.
constexpr std::size_t tolerated = 2;
constexpr absl::Duration change_interval = absl::Milliseconds(50);
constexpr absl::Duration without_power = absl::Milliseconds(500);
/// Operators read for at least this long after the processes have started again.
constexpr absl::Duration read_limit = absl::Seconds(3);
constexpr std::uint64_t first_number = 1000;
/// A walk that ends earlier doesn't reach the change of membership.
constexpr std::size_t fewest_writes = 20;

struct scenario
{
    using step = std::function<void(group_simulation&)>;

    std::size_t instances;
    absl::Duration length; ///< Power is lost within this time after `begin`.
    step prepare;          ///< Before writes are counted.
    step begin;
    /// Whether the change of membership has happened by the end of `length`.
    std::function<bool(group_simulation&)> is_complete;
    /// Instances whose disks are lost before or in `begin`.
    std::set<std::size_t> lost;
    /// Those of them that don't come back.
    std::set<std::size_t> gone;
};

void nothing(group_simulation&) {}

auto has_voters(std::size_t count)
{
    return [count](group_simulation& world) {
        const auto leader = world.leader();
        return leader && world.voters(*leader) == count;
    };
}

class walk
{
public:
    walk(const scenario& it, std::uint64_t choice) : scenario_(it), choice_(choice) {}

    /// Loses power at each durable write in turn. Returns their number.
    std::size_t run()
    {
        std::size_t write = 1;
        while (play(write, false) && !testing::Test::HasFailure()) {
            play(write, true);
            ++write;
        }
        return write - 1;
    }

private:
    struct change
    {
        std::size_t at;
        core::request_id id;
        std::uint64_t number;
    };

    /// Returns false if there are fewer writes.
    bool play(std::size_t write, bool takes_effect)
    {
        SCOPED_TRACE(
            absl::StrCat("write ", write, takes_effect ? ", after" : ", before"));
        group_simulation world(scenario_.instances, 3, 1, tolerated);
        world.run_for(absl::Seconds(5));
        scenario_.prepare(world);
        EXPECT_TRUE(world.ask_any(group_simulation::declare(first_number)));
        world.lose_all_power_at(write, takes_effect);
        scenario_.begin(world);
        const auto newest = change_until_loss(world);
        if (world.has_power()) {
            EXPECT_TRUE(scenario_.is_complete(world));
            return false;
        }
        lose_disks(world, write);
        world.run_for(without_power);
        for (std::size_t i = 0; i < world.size(); ++i) {
            if (!scenario_.gone.contains(i)) {
                world.start(i);
            }
        }
        const auto read = world.read_as_operator(read_limit);
        EXPECT_TRUE(read.has_value()) << "nothing is read";
        EXPECT_GE(read.value_or(0), newest);
        return true;
    }

    /// Returns the number of the newest document that was acknowledged.
    std::uint64_t change_until_loss(group_simulation& world)
    {
        const absl::Time end = world.now() + scenario_.length;
        std::vector<change> sent;
        for (auto n = first_number; world.has_power() && world.now() < end;) {
            const std::size_t i = n % world.size();
            if (world.at(i).running) {
                const auto id = world.send(i, group_simulation::declare(n + 1));
                sent.push_back({i, id, n + 1});
            }
            ++n;
            world.run_for(change_interval);
        }
        std::uint64_t newest = first_number;
        for (const auto& it : sent) {
            const auto& answers = world.at(it.at).answers;
            const auto found = answers.find(it.id);
            const bool is_accepted =
                found != answers.end() &&
                std::holds_alternative<call_result::accepted>(found->second);
            newest = is_accepted ? std::max(newest, it.number) : newest;
        }
        return newest;
    }

    /// Another choice of instances for each write.
    void lose_disks(group_simulation& world, std::size_t write)
    {
        auto lost = scenario_.lost;
        for (std::size_t i = write + choice_; lost.size() < tolerated;
             i += 1 + (write + choice_) % 2) {
            if (lost.insert(i % scenario_.instances).second) {
                world.wipe(i % scenario_.instances);
            }
        }
    }

    const scenario& scenario_;
    std::uint64_t choice_;
};

void walk_through(const scenario& it)
{
    std::uint64_t choices = 1;
    if (const char* text = std::getenv("CUMINPITCH_SEEDS")) {
        ASSERT_TRUE(absl::SimpleAtoi(text, &choices)) << text;
    }
    for (std::uint64_t choice = 0; choice < choices; ++choice) {
        SCOPED_TRACE(absl::StrCat("choice ", choice));
        const std::size_t writes = walk(it, choice).run();
        EXPECT_GE(writes, fewest_writes);
        testing::Test::RecordProperty("writes", static_cast<int>(writes));
    }
}

// Each of these guards against an acknowledged document that can't be read any more.

TEST(power_walk, instance_is_added)
{
    walk_through(
        {5,
         absl::Seconds(3),
         nothing,
         [](auto& world) { world.add(); },
         has_voters(6),
         {},
         {}});
}

TEST(power_walk, instance_that_lost_its_disk_is_taken_in)
{
    const auto lose = [](group_simulation& world) {
        world.lose_power(1);
        world.wipe(1);
        world.run_for(absl::Milliseconds(700));
    };
    const auto is_taken_in = [](group_simulation& world) {
        return has_voters(5)(world) && world.voters(1) == 5;
    };
    walk_through(
        {5,
         absl::Seconds(3),
         lose,
         [](auto& world) { world.start(1); },
         is_taken_in,
         {1},
         {}});
}

TEST(power_walk, seed_is_replaced)
{
    const auto replace = [](group_simulation& world) {
        world.stop(0);
        world.add();
    };
    walk_through({5, absl::Seconds(4), nothing, replace, has_voters(5), {0}, {0}});
}

TEST(power_walk, silent_voter_is_removed)
{
    const auto silence = [](group_simulation& world) {
        world.stop(3);
        world.run_for(absl::Milliseconds(14500));
    };
    walk_through({7, absl::Seconds(2), silence, nothing, has_voters(6), {}, {}});
}

TEST(power_walk, leader_is_lost)
{
    const auto lose = [](group_simulation& world) { world.stop(world.leader().value()); };
    walk_through({5, absl::Seconds(2), nothing, lose, has_voters(5), {}, {}});
}

TEST(power_walk, member_gets_a_snapshot)
{
    std::size_t away = 0;
    const auto snapshot_index = [&](group_simulation& world, std::size_t i) {
        return world.at(i).storage->load().value().snapshot->info.index;
    };
    const auto prepare = [&](group_simulation& world) {
        auto limits = memory_limits_for(0);
        limits.log = 1024;
        limits.kept_log = 0;
        world.set_memory(limits);
        for (std::size_t i = 0; i < world.size(); ++i) {
            world.stop(i);
            world.start(i);
        }
        world.run_for(absl::Seconds(2));
        const auto leader = world.leader().value();
        away = (leader + 1) % world.size();
        world.stop(away);
        const auto known = world.at(away).storage->load().value().entries.back().index;
        for (std::uint64_t n = 1; n < 100; ++n) {
            world.send(leader, group_simulation::declare(n));
            world.run_for(absl::Milliseconds(10));
        }
        EXPECT_GT(snapshot_index(world, leader), known);
    };
    const auto has_snapshot = [&](group_simulation& world) {
        const auto leader = world.leader();
        return leader && snapshot_index(world, away) == snapshot_index(world, *leader);
    };
    const auto start = [&](group_simulation& world) { world.start(away); };
    walk_through({5, absl::Seconds(2), prepare, start, has_snapshot, {}, {}});
}

} // namespace
} // namespace cuminpitch::control
