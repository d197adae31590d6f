#pragma once

#include "health/simulated_pool.hpp"

#include <array>
#include <functional>
#include <map>

namespace cuminpitch::health {

/// Runs a random schedule of faults on a simulated pool and checks the declared minimum
/// capacity after each step. The faults have a random source of their own, so that they
/// don't depend on what the entries decide.
class minimum_capacity_schedule
{
public:
    simulated_pool sim;
    std::uint64_t steps = 0;
    std::uint64_t steps_with_ejections = 0;
    /// Steps at which the minimum held only for the capacity of some seconds before:
    /// capacity fell for another reason, and the least severe ejections haven't ended
    /// everywhere yet.
    std::uint64_t steps_catching_up = 0;
    std::uint64_t violations = 0;
    std::uint64_t overlapping_coordinators = 0;
    std::string first_violation;

    minimum_capacity_schedule(std::uint64_t seed, bool local_ejection)
        : sim(5, 12, seed * 7919), fault_random_(seed)
    {
        sim.options.capacity_window = capacity_window_length;
        sim.options.coordinator.local_ejection = local_ejection;
        sim.options.coordinator.initial_hold = absl::Seconds(4);
        sim.options.coordinator.slow_start = absl::Seconds(3);
        sim.requests_per_server = 40;
        sim.max_delay = absl::Milliseconds(60);
        sim.loss = 0.05;
        sim.duplication = 0.05;
        sim.late = 0.02;
        for (auto& it : sim.servers) {
            it.state.cold_start = absl::Seconds(2);
        }
        sim.list.entries.resize(3);
        sim.start_all();
        list_in_force_since_.assign(sim.entries.size(), sim.now);
        list_delivery_.assign(sim.entries.size(), absl::InfinitePast());
    }

    void run(int n)
    {
        sim.run(absl::Seconds(8));
        for (int i = 0; i < n; ++i) {
            inject_faults();
            sim.advance(step);
            check();
        }
    }

private:
    static constexpr absl::Duration step = absl::Milliseconds(25);
    static constexpr absl::Duration capacity_window_length = absl::Seconds(40);
    static constexpr absl::Duration settling_time = absl::Seconds(3);
    /// All entries know of a loss of capacity after the departure time, and have dropped
    /// former ejection sets after the length of a lease.
    static constexpr absl::Duration grace = absl::Milliseconds(5600);
    /// A capacity counts towards the minimum once it has lasted long enough to be
    /// observed.
    static constexpr absl::Duration observable_after = absl::Seconds(4);

    using slots_by_server = std::map<core::server_id, double>;

    bool happens(double per_second)
    {
        return std::uniform_real_distribution<double>(0, 1)(fault_random_) <
               per_second * absl::ToDoubleSeconds(step);
    }
    std::size_t pick(std::size_t n) { return fault_random_() % n; }
    absl::Duration random_duration(double low, double high)
    {
        return absl::Seconds(
            std::uniform_real_distribution<double>(low, high)(fault_random_));
    }

    void inject_faults()
    {
        std::erase_if(fault_ends_, [&](auto& it) {
            if (sim.now >= it.first) {
                it.second();
                return true;
            }
            return false;
        });
        inject_entry_faults();
        inject_server_faults();
        change_list();
    }

    void inject_entry_faults()
    {
        const auto n = sim.entries.size();
        if (happens(0.25)) {
            block_path(pick(n), pick(n), random_duration(0.5, 8));
        }
        if (happens(0.15)) {
            const auto server = sim.node_of_server(pick(sim.servers.size()));
            const auto entry = pick(n);
            const bool to_entry = pick(2) == 0;
            block_path(
                to_entry ? server : entry,
                to_entry ? entry : server,
                random_duration(0.5, 10));
        }
        if (happens(0.08)) {
            const auto i = pick(n);
            const auto length = random_duration(0.1, 6);
            if (sim.entries[i].health && !sim.entries[i].frozen) {
                sim.entries[i].frozen = true;
                fault_ends_.emplace_back(
                    sim.now + length, [this, i] { sim.entries[i].frozen = false; });
            }
        }
        if (happens(0.05)) {
            const auto i = pick(n);
            const auto length = random_duration(0, 4);
            if (sim.entries[i].health) {
                sim.entries[i].health.reset();
                fault_ends_.emplace_back(sim.now + length, [this, i] {
                    sim.start(i);
                    list_in_force_since_[i] = sim.now;
                    list_delivery_[i] = absl::InfinitePast();
                });
            }
        }
    }

    void block_path(std::size_t from, std::size_t to, absl::Duration length)
    {
        sim.blocked_paths.insert({from, to});
        fault_ends_.emplace_back(sim.now + length, [this, from, to] {
            sim.blocked_paths.erase({from, to});
        });
    }

    void inject_server_faults()
    {
        if (happens(0.5)) {
            auto& it = sim.servers[pick(sim.servers.size())];
            const std::array<double, 5> rates = {0, 0, 0.1, 0.4, 0.95};
            it.failure_rate = rates[pick(rates.size())];
        }
        if (happens(0.08)) {
            const auto i = pick(sim.servers.size());
            const auto fault = pick(3);
            const auto length = random_duration(0.2, 15);
            auto& it = sim.servers[i];
            if (!it.up || it.state.state != upstream::availability::active) {
                return;
            }
            if (fault == 0) {
                it.up = false;
            } else {
                it.state.state = fault == 1 ? upstream::availability::leaving
                                            : upstream::availability::gone;
                it.next = sim.now;
            }
            fault_ends_.emplace_back(sim.now + length, [this, i] {
                sim.start(sim.servers[i]);
                sim.servers[i].failure_rate = 0;
            });
        }
    }

    /// Adds or removes one member, as the control leader does, once the current list has
    /// been in force at a majority of its members for the settle time.
    void change_list()
    {
        std::size_t settled = 0;
        for (std::size_t i = 0; i < sim.entries.size(); ++i) {
            auto& it = sim.entries[i];
            const bool behind = it.list.list_revision != sim.list.list_revision;
            if (behind && sim.now >= list_delivery_[i] && it.health && !it.frozen) {
                sim.set_list(i, sim.list);
                list_in_force_since_[i] = sim.now;
            }
            const bool member =
                std::count(sim.list.entries.begin(), sim.list.entries.end(), it.id);
            settled += member && !behind && it.health && !it.frozen &&
                               sim.now - list_in_force_since_[i] >= settling_time
                           ? 1
                           : 0;
        }
        const bool change = happens(0.3);
        const auto i = pick(sim.entries.size());
        if (!change || settled <= sim.list.entries.size() / 2) {
            return;
        }
        auto& list = sim.list.entries;
        const auto known = std::find(list.begin(), list.end(), sim.entries[i].id);
        if (known == list.end()) {
            list.push_back(sim.entries[i].id);
        } else if (list.size() > 2) {
            list.erase(known);
        }
        sim.list.list_revision = sim.list.list_revision.next();
        for (auto& it : list_delivery_) {
            it = sim.now + random_duration(0, 5);
        }
    }

    /// Slots of the servers whose newest announcement is younger than the departure time.
    /// A server that crashed counts until then, because its failure isn't known before.
    slots_by_server fresh_servers() const
    {
        slots_by_server result;
        for (const auto& it : sim.servers) {
            if (it.state.state == upstream::availability::active &&
                sim.now - it.announced < sim.settings.departure) {
                const double ramp = std::clamp(
                    absl::FDivDuration(sim.now - it.active_since, it.state.cold_start),
                    0.0,
                    1.0);
                result[it.state.server] = ramp * it.state.slots;
            }
        }
        return result;
    }

    void check()
    {
        ++steps;
        overlapping_coordinators += sim.coordinators() > 1 ? 1 : 0;
        const auto ejected = sim.ejected_anywhere();
        steps_with_ejections += ejected.empty() ? 0 : 1;
        auto now = fresh_servers();
        double sum = 0;
        for (const auto& [id, ramped_slots] : now) {
            sum += ramped_slots;
        }
        history_.push_back({sim.now, std::move(now), sum, 0});
        double sustained_sum = sum;
        for (auto it = history_.rbegin();
             it != history_.rend() && sim.now - it->time <= observable_after;
             ++it) {
            sustained_sum = std::min(sustained_sum, it->sum);
        }
        history_.back().sustained_sum = sustained_sum;
        double highest = 0;
        for (const auto& it : history_) {
            if (it.time >= history_start()) {
                highest = std::max(highest, it.sustained_sum);
            }
        }
        history_.back().minimum = highest * sim.settings.min_healthy_percent / 100;
        while (sim.now - history_.front().time >
               capacity_window_length - absl::Seconds(2)) {
            history_.pop_front();
        }
        if (meets_minimum(history_.back(), ejected)) {
            return;
        }
        for (auto it = history_.rbegin();
             it != history_.rend() && sim.now - it->time <= grace;
             ++it) {
            if (meets_minimum(*it, ejected)) {
                ++steps_catching_up;
                return;
            }
        }
        if (violations++ == 0) {
            first_violation = absl::FormatTime(sim.now, absl::UTCTimeZone());
            for (const auto& id : ejected) {
                first_violation += " " + id.str();
            }
        }
    }

    /// The capacity window is kept in memory only, so observations from before the start
    /// of all present members of the list are lost.
    absl::Time history_start() const
    {
        auto result = sim.now;
        for (std::size_t i = 0; i < sim.entries.size(); ++i) {
            if (sim.entries[i].health && sim.is_assigned(i)) {
                result = std::min(result, sim.entries[i].started);
            }
        }
        return result;
    }

    struct snapshot
    {
        absl::Time time;
        slots_by_server fresh;
        double sum = 0;
        double sustained_sum = 0;
        double minimum = 0;
    };

    static bool
    meets_minimum(const snapshot& it, const absl::btree_set<core::server_id>& ejected)
    {
        double remaining = it.sum;
        bool any_ejected = false;
        for (const auto& id : ejected) {
            const auto ramped_slots = it.fresh.find(id);
            if (ramped_slots != it.fresh.end()) {
                remaining -= ramped_slots->second;
                any_ejected = true;
            }
        }
        return !any_ejected || remaining + 1e-6 >= it.minimum;
    }

    std::mt19937_64 fault_random_;
    std::vector<std::pair<absl::Time, std::function<void()>>> fault_ends_;
    std::vector<absl::Time> list_in_force_since_;
    std::vector<absl::Time> list_delivery_;
    std::deque<snapshot> history_;
};

} // namespace cuminpitch::health
