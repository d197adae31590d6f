// Random faults of control instances, one at a time, and one of all of them at the end.
// CUMINPITCH_SEEDS sets the number of seeds.

#include "group_simulation.hpp"

#include <absl/strings/numbers.h>

#include <cstdlib>
#include <random>

namespace cuminpitch::control {
namespace {

constexpr std::uint64_t default_seeds = 60;
constexpr std::size_t instances = 5;
/// Time after which an instance that has started counts as being back.
constexpr absl::Duration catch_up = absl::Seconds(4);
/// Operators read for at least this long after the processes have started again.
constexpr absl::Duration read_limit = absl::Seconds(3);
constexpr processing_cost small_machine{
    absl::Microseconds(1500), absl::Microseconds(200), absl::Microseconds(200)};

class schedule
{
public:
    explicit schedule(std::uint64_t seed) : random_(seed), world_(instances, 3, seed)
    {
        world_.run_for(absl::Seconds(5));
        world_.add_entries(12);
        world_.run_for(absl::Seconds(1));
        world_.set_cost(small_machine);
    }

    void run()
    {
        change(absl::Seconds(pick(10)));
        for (std::uint64_t n = 2 + pick(5); n > 0; --n) {
            lose_one(running()[pick(instances)]);
            change(catch_up);
        }
        ASSERT_TRUE(world_.ask_any(group_simulation::declare(++sent_)));
        lose_all();
        const auto read = world_.read_as_operator(read_limit);
        ASSERT_TRUE(read.has_value()) << "nothing is read; " << trace_;
        EXPECT_EQ(*read, sent_) << trace_;
        world_.run_for(catch_up);
        EXPECT_EQ(world_.entries_at(sent_), world_.entry_count()) << trace_;
    }

private:
    std::uint64_t pick(std::uint64_t count)
    {
        return std::uniform_int_distribution<std::uint64_t>(0, count - 1)(random_);
    }

    std::vector<std::size_t> running()
    {
        std::vector<std::size_t> out;
        for (std::size_t i = 0; i < world_.size(); ++i) {
            if (world_.at(i).running) {
                out.push_back(i);
            }
        }
        return out;
    }

    /// Sends changes to any instance for this long and doesn't wait for answers.
    void change(absl::Duration length)
    {
        const absl::Time end = world_.now() + length;
        while (world_.now() < end) {
            const auto up = running();
            world_.send(up[pick(up.size())], group_simulation::declare(++sent_));
            world_.run_for(absl::Milliseconds(20 + pick(400)));
        }
    }

    void lose_one(std::size_t i)
    {
        const auto away = absl::Milliseconds(100 + pick(4000));
        switch (pick(4)) {
        case 0:
            trace_ += " kill " + std::to_string(i);
            world_.stop(i);
            change(away);
            world_.start(i);
            break;
        case 1:
            trace_ += " wipe " + std::to_string(i);
            world_.stop(i);
            world_.wipe(i);
            change(away);
            world_.start(i);
            break;
        case 2:
            trace_ += " replace " + std::to_string(i);
            world_.stop(i);
            change(away / 2);
            world_.add();
            break;
        default:
            trace_ += " cut " + std::to_string(i);
            for (std::size_t other = 0; other < world_.size(); ++other) {
                if (other != i) {
                    world_.cut_link(i, other);
                }
            }
            change(away);
            world_.heal();
            break;
        }
    }

    /// All instances are killed or lose power, and one may come back with an empty disk.
    void lose_all()
    {
        const auto all = running();
        const bool loses_entries = pick(2) == 0;
        const auto wiped = pick(2 * all.size());
        for (const std::size_t i : all) {
            world_.lose_power(i, pick(3));
        }
        if (wiped < all.size()) {
            trace_ += " all, wipe " + std::to_string(all[wiped]);
            world_.wipe(all[wiped]);
        }
        for (std::size_t i = 0; loses_entries && i < world_.entry_count(); ++i) {
            world_.stop_entry(i);
        }
        world_.run_for(absl::Milliseconds(500 + pick(5000)));
        for (const std::size_t i : all) {
            world_.start(i);
        }
        for (std::size_t i = 0; loses_entries && i < world_.entry_count(); ++i) {
            world_.start_entry(i);
        }
    }

    core::random_source random_;
    group_simulation world_;
    std::uint64_t sent_ = 0;
    std::string trace_;
};

// Guards against an acknowledged document that no operator can read, or no entry follows,
// soon after any single losses and one of everything.
TEST(recovery_schedule, acknowledged_document_is_read_after_any_losses)
{
    std::uint64_t seeds = default_seeds;
    if (const char* text = std::getenv("CUMINPITCH_SEEDS")) {
        ASSERT_TRUE(absl::SimpleAtoi(text, &seeds)) << text;
    }
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        SCOPED_TRACE(seed);
        schedule(seed).run();
    }
}

} // namespace
} // namespace cuminpitch::control
