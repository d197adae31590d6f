// Entries that follow control while the group is split, or part of it is down.

#include "group_simulation.hpp"

#include <algorithm>
#include <cstdlib>
#include <numeric>

namespace cuminpitch::control {
namespace {

constexpr std::size_t instances = 11;
constexpr std::size_t max_lost = 5;
constexpr std::size_t entries = 94;
/// Changes must be in force this long after they are acknowledged,
constexpr absl::Duration deadline = absl::Seconds(2);
/// except within this time after a fault of control, or of the entry's own links.
constexpr absl::Duration settling_time = absl::Seconds(3);

std::uint64_t seed_count(std::uint64_t usual)
{
    const char* text = std::getenv("CUMINPITCH_SEEDS");
    return text == nullptr ? usual : std::strtoull(text, nullptr, 10);
}

/// A group of eleven instances and the entries that follow it.
class followed_group
{
public:
    explicit followed_group(std::uint64_t seed) : world(instances, 3, seed), random_(seed)
    {
        world.run_for(absl::Seconds(8));
        world.add_entries(entries);
        world.run_for(absl::Seconds(3));
    }

    /// Returns numbers of this many instances.
    std::vector<std::size_t> any(std::size_t count)
    {
        std::vector<std::size_t> out(instances);
        std::iota(out.begin(), out.end(), 0);
        std::shuffle(out.begin(), out.end(), random_);
        out.resize(count);
        return out;
    }

    void split(const std::vector<std::size_t>& lost)
    {
        for (std::size_t other = 0; other < instances; ++other) {
            if (std::find(lost.begin(), lost.end(), other) == lost.end()) {
                for (const auto i : lost) {
                    world.cut_link(i, other);
                }
            }
        }
    }

    /// Cuts random entries off from all instances.
    void cut_entries(std::size_t count)
    {
        for (std::size_t n = 0; n < count; ++n) {
            const std::size_t entry = random_() % entries;
            cut_.push_back(entry);
            for (std::size_t i = 0; i < instances; ++i) {
                world.cut_from_entry(i, entry);
            }
        }
    }

    /// Makes changes and judges the entries, after a fault has begun or ended.
    void run(absl::Duration time)
    {
        const auto until = world.now() + time;
        settled_ = world.now() + settling_time;
        while (world.now() < until) {
            if (const auto leader = world.leader()) {
                const auto it = world.ask(*leader, group_simulation::declare(++number_));
                if (it && std::holds_alternative<call_result::accepted>(*it)) {
                    acknowledged_[number_] = world.now();
                }
            }
            world.run_for(absl::Milliseconds(100));
            judge();
        }
    }

    void heal()
    {
        world.heal();
        world.heal_entries();
        cut_.clear();
    }

    std::size_t changes() const { return acknowledged_.size(); }
    /// The longest time that an entry obeyed an older document than one acknowledged.
    absl::Duration longest_behind() const { return longest_behind_; }

    group_simulation world;

private:
    void judge()
    {
        for (std::size_t i = 0; i < entries; ++i) {
            const bool is_cut = std::find(cut_.begin(), cut_.end(), i) != cut_.end();
            const auto obeyed = world.entry_at(i).link->replica().view()->document_number;
            const auto newer = acknowledged_.upper_bound(obeyed);
            if (!is_cut && newer != acknowledged_.end() && world.now() > settled_) {
                longest_behind_ = std::max(longest_behind_, world.now() - newer->second);
            }
        }
    }

    core::random_source random_;
    std::uint64_t number_ = 0;
    std::map<std::uint64_t, absl::Time> acknowledged_;
    absl::Time settled_;
    std::vector<std::size_t> cut_;
    absl::Duration longest_behind_;
};

class split_test : public testing::TestWithParam<std::uint64_t>
{
};

// Guards against entries that obey older declarations while they look for a control
// instance that reaches the leader.
TEST_P(split_test, entries_obey_changes_of_the_larger_part)
{
    followed_group group(GetParam());
    group.split(group.any(max_lost));
    group.run(absl::Seconds(12));
    EXPECT_GT(group.changes(), 20U);
    EXPECT_LE(group.longest_behind(), deadline);
}

// Guards against entries that look for a running control instance for too long.
TEST_P(split_test, entries_obey_changes_while_instances_are_down)
{
    followed_group group(GetParam());
    for (const auto i : group.any(max_lost)) {
        group.world.stop(i);
    }
    group.run(absl::Seconds(12));
    EXPECT_GT(group.changes(), 20U);
    EXPECT_LE(group.longest_behind(), deadline);
}

// Guards against instances that come back with an older state and are followed.
TEST_P(split_test, entries_obey_changes_between_faults)
{
    constexpr int rounds = 6;
    core::random_source random(GetParam());
    followed_group group(GetParam());
    for (int round = 0; round < rounds; ++round) {
        const auto lost = group.any(1 + random() % max_lost);
        const auto what = random() % 3;
        if (what == 0) {
            group.split(lost);
        } else {
            for (const auto i : lost) {
                group.world.stop(i);
            }
            if (what == 2) {
                group.world.wipe(lost.front());
            }
        }
        group.cut_entries(random() % 8);
        group.run(absl::Milliseconds(3000 + random() % 3000));
        group.heal();
        for (const auto i : lost) {
            if (!group.world.at(i).running) {
                group.world.start(i);
            }
        }
        group.run(absl::Milliseconds(4000 + random() % 3000));
    }
    EXPECT_GT(group.changes(), 60U);
    EXPECT_LE(group.longest_behind(), deadline);
}

INSTANTIATE_TEST_SUITE_P(
    seeds, split_test, testing::Range<std::uint64_t>(0, seed_count(3)));

} // namespace
} // namespace cuminpitch::control
