// Entries that follow control while changes are made and messages are lost.

#include "group_simulation.hpp"

namespace cuminpitch::control {
namespace {

/// Changes must be in force this long after they are acknowledged.
constexpr absl::Duration deadline = absl::Seconds(2);

// Guards against updates that are taken to be on their way although one of them is lost,
// while changes are made in quick succession.
TEST(following, entry_catches_up_after_a_lost_update)
{
    constexpr absl::Duration change_interval = absl::Milliseconds(200);
    constexpr std::uint64_t changes = 60;
    constexpr std::uint64_t lost = 20;
    group_simulation world(5, 3);
    world.run_for(absl::Seconds(5));
    world.add_entries(6);
    world.run_for(absl::Seconds(3));
    const auto leader = world.leader();
    ASSERT_TRUE(leader.has_value());
    std::map<std::uint64_t, absl::Time> acknowledged;
    for (std::uint64_t number = 1; number <= changes; ++number) {
        if (number == lost) {
            for (std::size_t i = 0; i < world.size(); ++i) {
                world.cut_from_entry(i, 0);
            }
        }
        ASSERT_TRUE(world.ask(*leader, group_simulation::declare(number)).has_value());
        acknowledged[number] = world.now();
        world.run_for(change_interval);
        world.heal_entries();
        const auto obeyed = world.entry_at(0).link->replica().view()->document_number;
        for (const auto& [other, when] : acknowledged) {
            ASSERT_TRUE(other <= obeyed || world.now() < when + deadline)
                << "change " << other << " after " << (world.now() - when);
        }
    }
}

} // namespace
} // namespace cuminpitch::control
