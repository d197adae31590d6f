// Compares strategies that assign entries to pools. Prints one JSON line for each
// strategy and scenario. Takes about a minute.

#include "cuminpitch/assign/strategy.hpp"
#include "cuminpitch/core/random.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <iostream>
#include <map>
#include <numeric>
#include <string>
#include <vector>

namespace {

using namespace cuminpitch;
using clock_type = std::chrono::steady_clock;
using id_list = std::vector<core::instance_id>;

struct pool_load
{
    core::pool_id id;
    double load = 1;
    std::size_t entries = 3;
};

struct scenario
{
    std::string name;
    std::size_t members = 0;
    std::size_t domains = 0;
    std::vector<pool_load> pools;
    // Number of fleets with different names to average over. A single fleet of 2 pools is
    // too small a sample to judge a strategy by.
    std::size_t fleets = 1;
    // Number of joins, and of departures, of single members.
    std::size_t events = 20;
    // Number of restarts a day, and for how many of them all lists are computed.
    std::size_t restarts = 15'000;
    std::size_t sampled_restarts = 0;
};

double ms_since(clock_type::time_point start)
{
    return std::chrono::duration<double, std::milli>(clock_type::now() - start).count();
}

assign::strategy make_strategy(const std::string& name, std::size_t members)
{
    if (name == "rendezvous") {
        return assign::rendezvous{};
    }
    if (name == "modulo") {
        return assign::modulo{};
    }
    // Four slots for each member, rounded up to a power of two, leave room for joins.
    std::size_t slots = 1;
    while (slots < 4 * members) {
        slots *= 2;
    }
    return assign::indexed_hashing(slots);
}

assign::member make_member(const scenario& in, std::size_t fleet, std::size_t i)
{
    return {
        core::instance_id("fleet" + std::to_string(fleet) + "-entry" + std::to_string(i)),
        core::failure_domain_id("domain" + std::to_string(i % in.domains))};
}

std::vector<id_list> lists_of(const assign::strategy& from, const scenario& in)
{
    std::vector<id_list> result;
    result.reserve(in.pools.size());
    for (const auto& pool : in.pools) {
        result.push_back(assign::pick(from, pool.id, pool.entries));
        std::sort(result.back().begin(), result.back().end());
    }
    return result;
}

struct movement
{
    double pools = 0;   // Number of lists that differ.
    double members = 0; // Members added to lists.

    movement& operator+=(const movement& other)
    {
        pools += other.pools;
        members += other.members;
        return *this;
    }
};

movement moved(const std::vector<id_list>& from, const std::vector<id_list>& to)
{
    movement result;
    for (std::size_t i = 0; i < from.size(); ++i) {
        id_list added;
        std::set_difference(
            to[i].begin(),
            to[i].end(),
            from[i].begin(),
            from[i].end(),
            std::back_inserter(added));
        result.pools += from[i] != to[i] ? 1 : 0;
        result.members += static_cast<double>(added.size());
    }
    return result;
}

// Highest load of a member over the mean of all members. A pool's load is divided evenly
// among its list.
double max_over_mean(const scenario& in, const std::vector<id_list>& lists)
{
    std::map<core::instance_id, double> loads;
    double total = 0;
    double highest = 0;
    for (std::size_t i = 0; i < lists.size(); ++i) {
        total += in.pools[i].load;
        for (const auto& id : lists[i]) {
            auto& load = loads[id];
            load += in.pools[i].load / static_cast<double>(lists[i].size());
            highest = std::max(highest, load);
        }
    }
    return highest / (total / static_cast<double>(in.members));
}

class run
{
public:
    run(const scenario& in, const std::string& strategy, std::size_t fleet)
        : in_(in), fleet_(fleet), strategy_(make_strategy(strategy, in.members)),
          random_(fleet + 1)
    {
        for (std::size_t i = 0; i < in.members; ++i) {
            assign::join(strategy_, make_member(in, fleet, i));
        }
    }

    // Adds the results of this fleet to `sums`.
    void measure(std::map<std::string, double>& sums)
    {
        const auto start = clock_type::now();
        auto lists = lists_of(strategy_, in_);
        sums["all_lists_ms"] += ms_since(start);
        sums["max_over_mean"] += max_over_mean(in_, lists);
        const auto pools = static_cast<double>(in_.pools.size());

        for (std::size_t i = 0; i < in_.events; ++i) {
            const auto share = 1 / pools / static_cast<double>(in_.events);
            assign::join(strategy_, make_member(in_, fleet_, in_.members + i));
            auto next = lists_of(strategy_, in_);
            sums["pools_moved_by_join"] += moved(lists, next).pools * share;
            assign::leave(strategy_, make_member(in_, fleet_, i).id);
            lists = lists_of(strategy_, in_);
            sums["pools_moved_by_departure"] += moved(next, lists).pools * share;
        }
        measure_restarts(sums, lists);
    }

private:
    void measure_restarts(
        std::map<std::string, double>& sums, const std::vector<id_list>& initial)
    {
        movement total;
        double update_ms = 0;
        auto lists = initial;
        for (std::size_t i = 0; i < in_.restarts; ++i) {
            const auto member =
                make_member(in_, fleet_, in_.events + random_() % in_.members);
            const bool sampled = i < in_.sampled_restarts;
            for (const bool leaving : {true, false}) {
                const auto start = clock_type::now();
                if (leaving) {
                    assign::leave(strategy_, member.id);
                } else {
                    assign::join(strategy_, member);
                }
                update_ms += ms_since(start);
                if (sampled) {
                    auto next = lists_of(strategy_, in_);
                    total += moved(lists, next);
                    lists = std::move(next);
                }
            }
        }
        const auto n = static_cast<double>(in_.sampled_restarts);
        const auto last = lists_of(strategy_, in_);
        sums["pools_moved_per_restart"] += total.pools / n;
        sums["members_moved_per_restart"] += total.members / n;
        // Each moved member needs one committed addition and one committed removal.
        sums["assignment_steps_per_day"] +=
            2 * total.members / n * static_cast<double>(in_.restarts);
        sums["join_or_leave_us"] +=
            1000 * update_ms / (2 * static_cast<double>(in_.restarts));
        sums["max_over_mean_after_restarts"] += max_over_mean(in_, last);
        sums["pools_that_differ_after_restarts"] +=
            moved(initial, last).pools / static_cast<double>(in_.pools.size());
    }

    const scenario& in_;
    std::size_t fleet_;
    assign::strategy strategy_;
    core::random_source random_;
};

// The cooperative: pools of 28 and 8 servers with 4 slots each.
scenario small_fleet()
{
    scenario result{"2 pools, 44 entries, 4 domains", 44, 4, {}, 100, 20, 15'000, 200};
    const core::team_id team("cooperative");
    result.pools = {{{team, "lookup"}, 112, 3}, {{team, "archive"}, 32, 3}};
    return result;
}

// The fleet size expected in two years. The load of the pool of rank r is 1/r^exponent;
// pools with more load declare more entries, up to 16.
scenario large_fleet(const std::string& load, double exponent)
{
    scenario result{
        "3200 pools (" + load + "), 4100 entries, 5 domains",
        4'100,
        5,
        {},
        1,
        40,
        15'000,
        100};
    double total = 0;
    for (int i = 1; i <= 3'200; ++i) {
        const core::pool_id id{
            core::team_id("team" + std::to_string(i % 100)), "pool" + std::to_string(i)};
        result.pools.push_back({id, std::pow(i, -exponent), 3});
        total += result.pools.back().load;
    }
    const double mean = total / static_cast<double>(result.members);
    for (auto& it : result.pools) {
        const auto wanted = static_cast<std::size_t>(std::ceil(it.load / mean));
        it.entries = std::clamp<std::size_t>(wanted, 3, 16);
    }
    return result;
}

void compare(const scenario& in)
{
    for (const std::string strategy : {"rendezvous", "indexed", "modulo"}) {
        std::map<std::string, double> sums;
        for (std::size_t fleet = 0; fleet < in.fleets; ++fleet) {
            run(in, strategy, fleet).measure(sums);
        }
        nlohmann::ordered_json line;
        line["strategy"] = strategy;
        line["scenario"] = in.name;
        line["fleets"] = in.fleets;
        line["restarts"] = in.restarts;
        line["restarts_with_lists"] = in.sampled_restarts;
        for (const auto& [name, sum] : sums) {
            // Rounds to four significant digits.
            const double value = sum / static_cast<double>(in.fleets);
            const double scale =
                value == 0 ? 1 : std::pow(10.0, 3 - std::floor(std::log10(value)));
            line[name] = std::round(value * scale) / scale;
        }
        std::cout << line.dump() << std::endl;
    }
}

} // namespace

int main()
{
    compare(small_fleet());
    compare(large_fleet("equal load", 0.0));
    compare(large_fleet("load 1/rank^0.6", 0.6));
    return 0;
}
