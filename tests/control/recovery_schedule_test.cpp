// Random faults of control instances, as many at a time as the group tolerates, and one
// of all of them at the end. CUMINPITCH_SEEDS sets the number of seeds.

#include "group_simulation.hpp"

#include <absl/strings/numbers.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <random>
#include <utility>

namespace cuminpitch::control {
namespace {

/// Time after which an instance that has started counts as being back.
constexpr absl::Duration catch_up = absl::Seconds(4);
/// Operators read for at least this long after the processes have started again.
constexpr absl::Duration read_limit = absl::Seconds(3);
constexpr processing_cost small_machine{
    absl::Microseconds(1500), absl::Microseconds(200), absl::Microseconds(200)};

struct group_size
{
    std::size_t instances;
    std::size_t tolerated; ///< Instances, or disks, that may be lost at the same time.
    std::size_t entries;
};

class schedule
{
public:
    schedule(std::uint64_t seed, const group_size& size)
        : size_(size), random_(seed), world_(size.instances, 3, seed, size.tolerated)
    {
        world_.run_for(absl::Seconds(5));
        world_.add_entries(size.entries);
        world_.run_for(absl::Seconds(1));
        world_.set_cost(small_machine);
    }

    void run()
    {
        change(absl::Seconds(pick(10)));
        for (std::uint64_t n = 2 + pick(5); n > 0; --n) {
            pick(4) == 0 ? split() : lose_some();
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

    std::vector<std::size_t> any_running(std::size_t count)
    {
        auto out = running();
        std::shuffle(out.begin(), out.end(), random_);
        out.resize(count);
        return out;
    }

    /// Cuts half of the instances off from the others.
    void split()
    {
        const auto half = any_running(size_.instances / 2);
        trace_ += " split";
        for (const std::size_t other : running()) {
            for (const std::size_t i : half) {
                if (std::find(half.begin(), half.end(), other) == half.end()) {
                    world_.cut_link(i, other);
                }
            }
        }
        change(absl::Milliseconds(2000 + pick(4000)));
        world_.heal();
    }

    /// Instances are lost one after the other and are back in the same order.
    void lose_some()
    {
        std::vector<std::pair<std::size_t, std::uint64_t>> lost;
        for (const std::size_t i : any_running(1 + pick(size_.tolerated))) {
            lost.emplace_back(i, pick(5));
            lose(i, lost.back().second);
            change(absl::Milliseconds(pick(size_.tolerated == 1 ? 1 : 1000)));
        }
        for (const auto& [i, how] : lost) {
            change(absl::Milliseconds(100 + pick(4000)));
            return_one(i, how);
        }
    }

    void lose(std::size_t i, std::uint64_t how)
    {
        constexpr std::array names{" kill ", " power ", " wipe ", " replace ", " cut "};
        trace_ += names.at(how) + std::to_string(i);
        if (how == cut) {
            for (std::size_t other = 0; other < world_.size(); ++other) {
                if (other != i) {
                    world_.cut_link(i, other);
                }
            }
            return;
        }
        how == kill ? world_.stop(i) : world_.lose_power(i);
        if (how == wipe) {
            world_.wipe(i);
        }
    }

    void return_one(std::size_t i, std::uint64_t how)
    {
        if (how == cut) {
            world_.heal();
        } else if (how == replace) {
            world_.add();
        } else {
            world_.start(i);
        }
    }

    /// All instances are killed or lose power, and one may come back with an empty disk.
    void lose_all()
    {
        const auto all = running();
        const bool loses_entries = pick(2) == 0;
        const auto wiped = any_running(pick(size_.tolerated + 1));
        for (const std::size_t i : all) {
            world_.lose_power(i, pick(3));
        }
        trace_ += " all";
        for (const std::size_t i : wiped) {
            trace_ += " wipe " + std::to_string(i);
            world_.wipe(i);
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

    static constexpr std::uint64_t kill = 0;
    static constexpr std::uint64_t wipe = 2;
    static constexpr std::uint64_t replace = 3;
    static constexpr std::uint64_t cut = 4;

    group_size size_;
    core::random_source random_;
    group_simulation world_;
    std::uint64_t sent_ = 0;
    std::string trace_;
};

void run_schedules(const group_size& size, std::uint64_t seeds)
{
    if (const char* text = std::getenv("CUMINPITCH_SEEDS")) {
        ASSERT_TRUE(absl::SimpleAtoi(text, &seeds)) << text;
    }
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        SCOPED_TRACE(seed);
        schedule(seed, size).run();
    }
}

// Guards against an acknowledged document that no operator can read, or no entry follows,
// soon after any single losses and one of everything.
TEST(recovery_schedule, acknowledged_document_is_read_after_any_losses)
{
    run_schedules({5, 1, 12}, 60);
}

// Guards against the same where two disks may be lost at once.
TEST(recovery_schedule, acknowledged_document_is_read_after_losses_of_two)
{
    run_schedules({11, 2, 94}, 6);
}

} // namespace
} // namespace cuminpitch::control
