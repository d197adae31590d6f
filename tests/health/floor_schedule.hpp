#pragma once

#include "health/simulated_pool.hpp"

#include <array>
#include <functional>
#include <map>

namespace cuminpitch::health {

/// Runs a random schedule of faults on a simulated pool and checks the declared minimum
/// capacity after each step. The faults have a random source of their own, so that they
/// don't depend on what the entries decide.
class floor_schedule
{
public:
    simulated_pool at;
    std::uint64_t steps = 0;
    std::uint64_t steps_with_ejections = 0;
    /// Steps at which the minimum held only for the capacity of some seconds before:
    /// capacity fell for another reason, and the least severe ejections haven't ended
    /// everywhere yet.
    std::uint64_t steps_catching_up = 0;
    std::uint64_t violations = 0;
    std::uint64_t overlapping_coordinators = 0;
    std::string first_violation;

    floor_schedule(std::uint64_t seed, bool local_ejection)
        : at(5, 12, seed * 7919), faults_(seed)
    {
        at.options.capacity_window = window;
        at.options.coordinator.local_ejection = local_ejection;
        at.options.coordinator.first_hold = absl::Seconds(4);
        at.options.coordinator.slow_start = absl::Seconds(3);
        at.requests_per_server = 40;
        at.longest_delay = absl::Milliseconds(60);
        at.loss = 0.05;
        at.duplication = 0.05;
        at.late = 0.02;
        for (auto& it : at.servers) {
            it.state.cold_start = absl::Seconds(2);
        }
        at.list.entries.resize(3);
        at.start_all();
        since_in_force_.assign(at.entries.size(), at.now);
        delivered_.assign(at.entries.size(), absl::InfinitePast());
    }

    void run(int n)
    {
        at.run(absl::Seconds(8));
        for (int i = 0; i < n; ++i) {
            inject();
            at.advance(step);
            check();
        }
    }

private:
    static constexpr absl::Duration step = absl::Milliseconds(25);
    static constexpr absl::Duration window = absl::Seconds(40);
    static constexpr absl::Duration settle = absl::Seconds(3);
    /// All entries know of a loss of capacity after the departure time, and have dropped
    /// former ejection sets after the length of a lease.
    static constexpr absl::Duration grace = absl::Milliseconds(5600);
    /// A capacity counts towards the minimum once it has lasted long enough to be
    /// observed.
    static constexpr absl::Duration sustained = absl::Seconds(4);

    using weights = std::map<core::server_id, double>;

    bool happens(double per_second)
    {
        return std::uniform_real_distribution<double>(0, 1)(faults_) <
               per_second * absl::ToDoubleSeconds(step);
    }
    std::size_t pick(std::size_t n) { return faults_() % n; }
    absl::Duration between(double low, double high)
    {
        return absl::Seconds(std::uniform_real_distribution<double>(low, high)(faults_));
    }

    void inject()
    {
        std::erase_if(ends_, [&](auto& it) {
            if (at.now >= it.first) {
                it.second();
                return true;
            }
            return false;
        });
        inject_at_entries();
        inject_at_servers();
        change_list();
    }

    void inject_at_entries()
    {
        const auto n = at.entries.size();
        if (happens(0.25)) {
            cut(pick(n), pick(n), between(0.5, 8));
        }
        if (happens(0.15)) {
            const auto server = at.node_of_server(pick(at.servers.size()));
            const auto entry = pick(n);
            const bool to_entry = pick(2) == 0;
            cut(to_entry ? server : entry, to_entry ? entry : server, between(0.5, 10));
        }
        if (happens(0.08)) {
            const auto i = pick(n);
            const auto length = between(0.1, 6);
            if (at.entries[i].health && !at.entries[i].frozen) {
                at.entries[i].frozen = true;
                ends_.emplace_back(
                    at.now + length, [this, i] { at.entries[i].frozen = false; });
            }
        }
        if (happens(0.05)) {
            const auto i = pick(n);
            const auto length = between(0, 4);
            if (at.entries[i].health) {
                at.entries[i].health.reset();
                ends_.emplace_back(at.now + length, [this, i] {
                    at.start(i);
                    since_in_force_[i] = at.now;
                    delivered_[i] = absl::InfinitePast();
                });
            }
        }
    }

    void cut(std::size_t from, std::size_t to, absl::Duration length)
    {
        at.cuts.insert({from, to});
        ends_.emplace_back(at.now + length, [this, from, to] {
            at.cuts.erase({from, to});
        });
    }

    void inject_at_servers()
    {
        if (happens(0.5)) {
            auto& it = at.servers[pick(at.servers.size())];
            const std::array<double, 5> rates = {0, 0, 0.1, 0.4, 0.95};
            it.fail = rates[pick(rates.size())];
        }
        if (happens(0.08)) {
            const auto i = pick(at.servers.size());
            const auto how = pick(3);
            const auto length = between(0.2, 15);
            auto& it = at.servers[i];
            if (!it.up || it.state.state != upstream::availability::active) {
                return;
            }
            if (how == 0) {
                it.up = false;
            } else {
                it.state.state = how == 1 ? upstream::availability::leaving
                                          : upstream::availability::gone;
                it.next = at.now;
            }
            ends_.emplace_back(at.now + length, [this, i] {
                at.start(at.servers[i]);
                at.servers[i].fail = 0;
            });
        }
    }

    /// Adds or removes one member, as the control leader does, once the current list has
    /// been in force at a majority of its members for the settling time.
    void change_list()
    {
        std::size_t settled = 0;
        for (std::size_t i = 0; i < at.entries.size(); ++i) {
            auto& it = at.entries[i];
            const bool behind = it.list.list_revision != at.list.list_revision;
            if (behind && at.now >= delivered_[i] && it.health && !it.frozen) {
                at.set_list(i, at.list);
                since_in_force_[i] = at.now;
            }
            const bool member =
                std::count(at.list.entries.begin(), at.list.entries.end(), it.id);
            settled += member && !behind && it.health && !it.frozen &&
                               at.now - since_in_force_[i] >= settle
                           ? 1
                           : 0;
        }
        const bool change = happens(0.3);
        const auto i = pick(at.entries.size());
        if (!change || settled <= at.list.entries.size() / 2) {
            return;
        }
        auto& list = at.list.entries;
        const auto known = std::find(list.begin(), list.end(), at.entries[i].id);
        if (known == list.end()) {
            list.push_back(at.entries[i].id);
        } else if (list.size() > 2) {
            list.erase(known);
        }
        at.list.list_revision = at.list.list_revision.next();
        for (auto& it : delivered_) {
            it = at.now + between(0, 5);
        }
    }

    /// Slots of the servers whose newest announcement is younger than the departure time.
    /// A server that crashed counts until then, because its failure isn't known before.
    weights fresh_now() const
    {
        weights result;
        for (const auto& it : at.servers) {
            if (it.state.state == upstream::availability::active &&
                at.now - it.announced < at.settings.departure) {
                const double ramp = std::clamp(
                    absl::FDivDuration(at.now - it.active_since, it.state.cold_start),
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
        overlapping_coordinators += at.coordinators() > 1 ? 1 : 0;
        const auto ejected = at.ejected_anywhere();
        steps_with_ejections += ejected.empty() ? 0 : 1;
        auto now = fresh_now();
        double sum = 0;
        for (const auto& [id, weight] : now) {
            sum += weight;
        }
        history_.push_back({at.now, std::move(now), sum, 0});
        double lasting = sum;
        for (auto it = history_.rbegin();
             it != history_.rend() && at.now - it->when <= sustained;
             ++it) {
            lasting = std::min(lasting, it->sum);
        }
        history_.back().lasting = lasting;
        double highest = 0;
        for (const auto& it : history_) {
            if (it.when >= remembered_since()) {
                highest = std::max(highest, it.lasting);
            }
        }
        history_.back().minimum = highest * at.settings.min_healthy_percent / 100;
        while (at.now - history_.front().when > window - absl::Seconds(2)) {
            history_.pop_front();
        }
        if (holds(history_.back(), ejected)) {
            return;
        }
        for (auto it = history_.rbegin();
             it != history_.rend() && at.now - it->when <= grace;
             ++it) {
            if (holds(*it, ejected)) {
                ++steps_catching_up;
                return;
            }
        }
        if (violations++ == 0) {
            first_violation = absl::FormatTime(at.now, absl::UTCTimeZone());
            for (const auto& id : ejected) {
                first_violation += " " + id.str();
            }
        }
    }

    /// The capacity window is kept in memory only, so observations from before the start
    /// of all present members of the list are lost.
    absl::Time remembered_since() const
    {
        auto result = at.now;
        for (std::size_t i = 0; i < at.entries.size(); ++i) {
            if (at.entries[i].health && at.is_assigned(i)) {
                result = std::min(result, at.entries[i].started);
            }
        }
        return result;
    }

    struct moment
    {
        absl::Time when;
        weights fresh;
        double sum = 0;
        double lasting = 0;
        double minimum = 0;
    };

    static bool holds(const moment& it, const absl::btree_set<core::server_id>& ejected)
    {
        double left = it.sum;
        bool any = false;
        for (const auto& id : ejected) {
            const auto weight = it.fresh.find(id);
            if (weight != it.fresh.end()) {
                left -= weight->second;
                any = true;
            }
        }
        return !any || left + 1e-6 >= it.minimum;
    }

    std::mt19937_64 faults_;
    std::vector<std::pair<absl::Time, std::function<void()>>> ends_;
    std::vector<absl::Time> since_in_force_;
    std::vector<absl::Time> delivered_;
    std::deque<moment> history_;
};

} // namespace cuminpitch::health
