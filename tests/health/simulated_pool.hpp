#pragma once

#include "cuminpitch/health/evidence_stream.hpp"
#include "cuminpitch/health/pool_health.hpp"
#include "cuminpitch/wire/pool_codec.hpp"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>

#include <algorithm>
#include <deque>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace cuminpitch::health {

inline const core::pool_id pool{core::team_id("cooperative"), "lookup"};
inline const core::route_id route{core::team_id("cooperative"), "search"};

/// Simulates one pool: entries with real pool_health objects and clocks of different
/// rates and origins, an unreliable network between them, and backend servers that
/// announce themselves and fail requests with a given probability.
class simulated_pool
{
public:
    struct server
    {
        bool up = true;
        upstream::announcement state;
        double failure_rate = 0; ///< Fraction of the requests that fail.
        double slow = 0.05;      ///< Fraction of the successful requests that are slow.
        absl::Time announced = absl::InfinitePast(); ///< Last announcement, global time.
        /// First announcement of this incarnation, global time.
        absl::Time active_since = absl::InfinitePast();
        absl::Time next = absl::InfinitePast();      ///< Time of the next announcement.
        std::vector<std::optional<absl::Time>> echo; ///< Clock reading of each entry.
    };

    struct entry
    {
        core::instance_id id;
        std::optional<pool_health> health;
        absl::Time clock_origin;
        double clock_rate = 1;
        bool frozen = false;
        std::uint64_t incarnation = 0;
        absl::Time started;            ///< Global time.
        control::pool_assignment list; ///< The list in force at this entry.
        std::deque<std::pair<core::instance_id, std::string>> inbox;
    };

    pool_health_options options;
    config::pool_settings settings;
    std::vector<entry> entries;
    std::vector<server> servers;
    /// Blocked directions (from, to) between nodes; see node_of_server().
    std::set<std::pair<std::size_t, std::size_t>> blocked_paths;
    double loss = 0;        ///< Probability that a message is lost.
    double duplication = 0; ///< Probability that a heartbeat is sent twice.
    double late = 0;        ///< Fraction of the heartbeats that take up to 5 s.
    absl::Duration max_delay = absl::Milliseconds(5);
    double requests_per_server = 10; ///< Per second, from all entries together.
    control::pool_assignment list;
    std::mt19937_64 random;
    absl::Time now = absl::UnixEpoch() + absl::Hours(1);
    std::vector<log_event> log;
    std::vector<action::start_probe> probes;

    simulated_pool(std::size_t n, std::size_t m, std::uint64_t seed) : random(seed)
    {
        settings.id = pool;
        settings.min_healthy_percent = 70;
        list.list_revision = core::revision(1);
        for (std::size_t i = 0; i < n; ++i) {
            entry it;
            it.id = core::instance_id("e" + std::to_string(i));
            it.clock_origin = absl::UnixEpoch() + absl::Hours(i);
            it.clock_rate =
                0.996 + 0.008 * static_cast<double>(i) / static_cast<double>(n);
            entries.push_back(std::move(it));
            list.entries.push_back(entries.back().id);
        }
        for (std::size_t i = 0; i < m; ++i) {
            server it;
            it.state.server = core::server_id("s" + std::to_string(i));
            it.state.slots = 4;
            it.state.address = {"127.0.0.1", static_cast<std::uint16_t>(1000 + i)};
            it.next = now + absl::Milliseconds(37 * i);
            servers.push_back(it);
            start(servers.back());
        }
    }

    void start(server& it)
    {
        it.up = true;
        ++it.state.incarnation;
        it.state.sequence = 0;
        it.state.state = upstream::availability::active;
        it.echo.assign(entries.size(), std::nullopt);
        it.active_since = absl::InfiniteFuture();
    }

    absl::Time clock(const entry& it) const
    {
        return it.clock_origin + (now - absl::UnixEpoch()) * it.clock_rate;
    }

    void start(std::size_t i)
    {
        auto& it = entries[i];
        it.inbox.clear();
        it.frozen = false;
        it.started = now;
        it.health.emplace(
            it.id, ++it.incarnation, clock(it), settings, options, random());
        it.list = list;
        it.health->set_assignment(clock(it), list);
    }

    void set_list(std::size_t i, const control::pool_assignment& to)
    {
        entries[i].list = to;
        if (entries[i].health) {
            entries[i].health->set_assignment(clock(entries[i]), to);
        }
    }

    void start_all()
    {
        for (std::size_t i = 0; i < entries.size(); ++i) {
            start(i);
        }
    }

    double chance() { return std::uniform_real_distribution<double>(0, 1)(random); }

    /// Whether the list in force at entry `i` names it.
    bool is_assigned(std::size_t i) const
    {
        const auto& at = entries[i].list.entries;
        return std::find(at.begin(), at.end(), entries[i].id) != at.end();
    }

    std::size_t index(const core::instance_id& id) const
    {
        for (std::size_t i = 0; i < entries.size(); ++i) {
            if (entries[i].id == id) {
                return i;
            }
        }
        return entries.size();
    }

    /// Node number of a server in `blocked_paths`. Entries have the numbers before those
    /// of servers.
    std::size_t node_of_server(std::size_t i) const { return entries.size() + i; }

    void advance(absl::Duration step)
    {
        now += step;
        deliver();
        announce();
        send_requests(step);
        for (std::size_t i = 0; i < entries.size(); ++i) {
            tick(i);
        }
    }

    void run(absl::Duration length, absl::Duration step = absl::Milliseconds(25))
    {
        for (const auto end = now + length; now < end;) {
            advance(step);
        }
    }

    std::optional<server_state> view(std::size_t i, const core::server_id& id) const
    {
        const auto& it = entries[i];
        if (!it.health || it.frozen) {
            return std::nullopt;
        }
        for (const auto& state : it.health->servers(clock(it))) {
            if (state.id == id) {
                return state;
            }
        }
        return std::nullopt;
    }

    absl::btree_set<core::server_id> ejected_anywhere() const
    {
        absl::btree_set<core::server_id> result;
        for (std::size_t i = 0; i < entries.size(); ++i) {
            const auto& it = entries[i];
            if (it.health && !it.frozen && is_assigned(i)) {
                for (const auto& state : it.health->servers(clock(it))) {
                    if (state.ejected) {
                        result.insert(state.id);
                    }
                }
            }
        }
        return result;
    }

    std::size_t coordinators() const
    {
        std::size_t result = 0;
        for (const auto& it : entries) {
            result += it.health && it.health->is_coordinator(clock(it)) ? 1 : 0;
        }
        return result;
    }

    std::size_t count(const std::string& what) const
    {
        return static_cast<std::size_t>(std::count_if(
            log.begin(), log.end(), [&](const auto& it) { return it.what == what; }));
    }

private:
    struct message_in_flight
    {
        absl::Time due;
        std::size_t from;
        std::size_t to;
        std::string payload;
    };

    void deliver()
    {
        std::vector<message_in_flight> due;
        std::erase_if(messages_in_flight_, [&](auto& it) {
            if (it.due <= now) {
                due.push_back(std::move(it));
                return true;
            }
            return false;
        });
        for (auto& it : due) {
            auto& to = entries[it.to];
            if (!to.health || blocked_paths.contains({it.from, it.to})) {
                continue;
            }
            to.inbox.emplace_back(entries[it.from].id, std::move(it.payload));
        }
    }

    void announce()
    {
        for (std::size_t i = 0; i < servers.size(); ++i) {
            auto& it = servers[i];
            if (!it.up || now < it.next) {
                continue;
            }
            it.next = now + absl::Seconds(1);
            it.announced = now;
            it.active_since = std::min(it.active_since, now);
            for (std::size_t to = 0; to < entries.size(); ++to) {
                auto& entry = entries[to];
                ++it.state.sequence;
                if (!is_assigned(to) || !entry.health || entry.frozen ||
                    blocked_paths.contains({node_of_server(i), to}) || chance() < loss) {
                    continue;
                }
                entry.health->announce(clock(entry), it.state, it.echo[to]);
                if (!blocked_paths.contains({to, node_of_server(i)})) {
                    it.echo[to] = clock(entry);
                }
            }
        }
    }

    void send_requests(absl::Duration step)
    {
        const auto assigned = static_cast<double>(list.entries.size());
        for (auto& it : entries) {
            if (!it.health || it.frozen || !is_assigned(index(it.id))) {
                continue;
            }
            for (const auto& state : it.health->servers(clock(it))) {
                const auto& at = *std::find_if(
                    servers.begin(), servers.end(), [&](const auto& server) {
                        return server.state.server == state.id;
                    });
                const double mean =
                    requests_per_server / assigned * absl::ToDoubleSeconds(step);
                auto n = std::poisson_distribution<std::uint64_t>(mean)(random);
                if (state.ejected) {
                    n = state.probation ? std::min<std::uint64_t>(n, 1) : 0;
                }
                for (; n > 0; --n) {
                    evidence one{1, 0, 0};
                    if (!at.up || chance() < at.failure_rate) {
                        one.failures = 1;
                    } else if (chance() < at.slow) {
                        one.slow = 1;
                    }
                    it.health->observe(clock(it), state.id, route, one);
                }
            }
        }
    }

    void tick(std::size_t i)
    {
        auto& it = entries[i];
        if (!it.health || it.frozen) {
            return;
        }
        while (!it.inbox.empty()) {
            const auto [from, payload] = std::move(it.inbox.front());
            it.inbox.pop_front();
            it.health->receive(
                clock(it), from, wire::decode_pool_heartbeat(payload).value());
        }
        for (auto& action : it.health->tick(clock(it))) {
            if (auto* send = std::get_if<send_heartbeat>(&action)) {
                const auto to = index(send->to);
                const int copies = chance() < duplication ? 2 : 1;
                for (int n = 0; n < copies; ++n) {
                    if (chance() >= loss) {
                        messages_in_flight_.push_back(
                            {now + (chance() < late ? absl::Seconds(5) : max_delay) *
                                       chance(),
                             i,
                             to,
                             wire::encode(send->message)});
                    }
                }
            } else if (auto* event = std::get_if<log_event>(&action)) {
                log.push_back(std::move(*event));
            } else if (auto* probe = std::get_if<action::start_probe>(&action)) {
                probes.push_back(*probe);
            }
        }
    }

    std::vector<message_in_flight> messages_in_flight_;
};

} // namespace cuminpitch::health
