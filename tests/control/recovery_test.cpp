// Control instances with little processor time, after all processes have stopped.

#include "group_simulation.hpp"

#include "cuminpitch/core/hash.hpp"
#include "cuminpitch/wire/control_codec.hpp"

#include <absl/strings/str_cat.h>

namespace cuminpitch::control {
namespace {

constexpr std::size_t instances = 5;
constexpr std::size_t seeds = 3;
/// Changes made before the stop.
constexpr std::uint64_t changes = 600;
/// Times for the control role on 0.15 cores.
constexpr processing_cost small_machine{
    absl::Microseconds(1500), absl::Microseconds(200), absl::Microseconds(200)};
/// Operators read for at least this long after the processes have started again.
constexpr absl::Duration read_limit = absl::Seconds(3);
/// Time after which an instance that has started counts as being back.
constexpr absl::Duration catch_up_limit = absl::Seconds(4);

/// A document with the newest of the routes that were added one after the other, as
/// operators send whole configurations.
call::declare large_document(std::uint64_t number)
{
    constexpr std::uint64_t kept_routes = 20;
    constexpr std::uint64_t settings_of_route = 8;
    auto it = group_simulation::declare(number);
    for (auto n = number; n > 0 && n + kept_routes > number; --n) {
        for (std::uint64_t i = 0; i < settings_of_route; ++i) {
            const std::string text = absl::StrCat(
                absl::Hex(core::hash64(absl::StrCat(n, "-", i), settings_of_route)));
            it.settings[absl::StrCat("teams/t/routes/r", n, "/setting-", i)] = text;
        }
    }
    return it;
}

class recovery : public testing::TestWithParam<std::size_t>
{
protected:
    recovery() : world(instances, seeds, GetParam() + 1)
    {
        world.run_for(absl::Seconds(5));
        world.add_entries(44);
        world.run_for(absl::Seconds(3));
        const auto leader = world.leader();
        EXPECT_TRUE(leader.has_value());
        for (std::uint64_t number = 1; number <= changes; ++number) {
            world.send(*leader, large_document(number));
            world.run_for(absl::Milliseconds(10));
        }
        world.run_for(absl::Seconds(1));
        EXPECT_EQ(world.entries_at(changes), world.entry_count());
        world.set_cost(small_machine);
    }

    void stop_control(std::optional<std::size_t> wiped = std::nullopt)
    {
        for (std::size_t i = 0; i < instances; ++i) {
            world.lose_power(i);
            world.at(i).elections = 0;
        }
        if (wiped) {
            world.wipe(*wiped);
        }
    }

    void start_control()
    {
        for (std::size_t i = 0; i < instances; ++i) {
            world.start(i);
        }
    }

    void restart_all(std::optional<std::size_t> wiped = std::nullopt)
    {
        stop_control(wiped);
        for (std::size_t i = 0; i < world.entry_count(); ++i) {
            world.stop_entry(i);
        }
        world.run_for(absl::Seconds(2));
        start_control();
        for (std::size_t i = 0; i < world.entry_count(); ++i) {
            world.start_entry(i);
        }
    }

    int elections()
    {
        int out = 0;
        for (std::size_t i = 0; i < instances; ++i) {
            out += world.at(i).elections;
        }
        return out;
    }

    group_simulation world;
};

// Guards against leaders that are deposed in turn while each applies its log.
TEST_P(recovery, leader_is_kept_while_it_applies_its_log)
{
    stop_control();
    world.run_for(absl::Milliseconds(500));
    start_control();
    EXPECT_EQ(world.read_as_operator(read_limit), changes);
    world.run_for(catch_up_limit);
    EXPECT_LE(elections(), 2);
}

// Guards against instances that are too busy with the entries to elect a leader and to
// answer a read after all processes have lost power and one disk is gone.
TEST_P(recovery, configuration_is_read_after_all_processes_have_lost_power)
{
    restart_all(GetParam() % instances);
    EXPECT_EQ(world.read_as_operator(read_limit), changes);
}

// Guards against entries that wait for the state behind the copies for all others.
TEST_P(recovery, entries_are_current_soon_after_all_processes_have_lost_power)
{
    restart_all();
    world.run_for(catch_up_limit);
    EXPECT_EQ(world.entries_at(changes), world.entry_count());
}

// Guards against entries that obey an older state while a control instance that hears the
// leader still applies its log.
TEST_P(recovery, entries_obey_no_state_that_is_still_being_applied)
{
    restart_all();
    const absl::Time end = world.now() + catch_up_limit;
    while (world.now() < end) {
        world.run_for(absl::Milliseconds(10));
        for (std::size_t i = 0; i < world.entry_count(); ++i) {
            const auto number = world.entry_at(i).link->replica().view()->document_number;
            ASSERT_TRUE(number == 0 || number == changes) << i << " " << number;
        }
    }
}

INSTANTIATE_TEST_SUITE_P(seeds, recovery, testing::Range(std::size_t{0}, std::size_t{3}));

// Guards against sending an entry without a state all changes that have ever been made.
TEST(recovery_size, entry_without_state_gets_no_more_than_the_state)
{
    group_simulation world(instances, seeds);
    world.run_for(absl::Seconds(5));
    const auto leader = world.leader();
    ASSERT_TRUE(leader.has_value());
    for (std::uint64_t number = 1; number <= changes; ++number) {
        world.send(*leader, large_document(number));
        world.run_for(absl::Milliseconds(10));
    }
    world.run_for(absl::Seconds(1));
    world.add_entries(1);
    world.run_for(absl::Seconds(2));
    ASSERT_EQ(world.entries_at(changes), 1U);
    std::size_t sent = 0;
    for (std::size_t i = 0; i < instances; ++i) {
        sent += world.at(i).bytes_sent[world.entry_at(0).options.self.internal];
    }
    const auto& contents = *world.entry_at(0).link->replica().contents();
    const auto state =
        net::compress_payload(
            {net::channel::control,
             wire::encode(message(sync_response{packed_contents{
                 std::make_shared<const std::string>(wire::pack(contents))}}))})
            .payload.size();
    // Another copy's worth is for the answers without a state.
    EXPECT_LE(sent, 2 * state);
}

} // namespace
} // namespace cuminpitch::control
