#pragma once

#include "simulated_backends.hpp"

#include "cuminpitch/health/pool_health.hpp"

#include <deque>
#include <memory>
#include <set>

namespace cuminpitch::bench {

/// How an entry may use a server.
struct usage
{
    double slots = 0; ///< This entry's share of the slots; with 0 it sends no requests.
    bool suspected = false;
    bool trial = false; ///< At most one request at a time.
};

/// Decides which servers the entries of a simulated pool use.
class policy
{
public:
    virtual ~policy() = default;
    virtual void tick(double at) = 0;
    virtual void observe(
        double at,
        std::size_t entry,
        std::size_t server,
        std::size_t route,
        response) = 0;
    virtual usage use(std::size_t entry, std::size_t server) const = 0;
    virtual bool ejected(std::size_t entry, std::size_t server) const = 0;
    virtual void restart(std::size_t server, double cold_seconds) = 0;
    /// Servers ejected since the last call; the same server counts once per decision.
    virtual std::vector<std::size_t> take_ejections() = 0;
    /// The weight of one decision in the count of ejections: 1 if it holds for all
    /// entries, or 1 / entries if each entry decides alone.
    virtual double ejection_weight() const = 0;
};

/// Simulates the assigned entries with the production pool_health and a network with a
/// small delay.
class fleet_policy : public policy
{
public:
    fleet_policy(const trace& it, simulated_backends& backends, std::uint64_t seed)
        : trace_(it), backends_(backends), views_(it.entries)
    {
        config::pool_settings settings;
        settings.id = {core::team_id(it.user), it.pool};
        settings.min_healthy_percent = it.min_healthy_percent;
        settings.false_ejections_per_server_month = it.false_ejections;
        health::pool_health_options options;
        options.coordinator.probes = it.probes;
        control::pool_assignment list{core::revision(1), {}};
        for (std::size_t i = 0; i < it.entries; ++i) {
            list.entries.emplace_back("e" + std::to_string(i));
        }
        for (std::size_t i = 0; i < it.entries; ++i) {
            entries_.emplace_back(
                list.entries[i], 1, time(0), settings, options, seed + i);
            entries_.back().set_assignment(time(0), list);
        }
        for (const auto& route : it.routes) {
            routes_.push_back({core::team_id(it.user), route.name});
        }
        for (std::size_t i = 0; i < it.servers; ++i) {
            upstream::announcement server;
            server.server = core::server_id("s" + std::to_string(i));
            server.incarnation = 1;
            server.slots = it.slots;
            server.address = {"127.0.0.1", static_cast<std::uint16_t>(2000 + i)};
            servers_.push_back(server);
        }
    }

    void tick(double at) override
    {
        const auto now = time(at);
        for (std::size_t i = 0; i < servers_.size(); ++i) {
            const double due = round_start_ + static_cast<double>(i) * 0.01;
            if (at >= due && !announced_servers_.contains(i)) {
                announce(i, now);
                announced_servers_.insert(i);
            }
        }
        if (at >= round_start_ + 1) {
            round_start_ = at;
            announced_servers_.clear();
        }
        while (!flights_.empty() && flights_.front().due <= at) {
            const auto it = std::move(flights_.front());
            flights_.pop_front();
            entries_[it.to].receive(
                now, core::instance_id("e" + std::to_string(it.from)), it.message);
        }
        for (std::size_t i = 0; i < entries_.size(); ++i) {
            for (auto& action : entries_[i].tick(now)) {
                handle_action(i, at, action);
            }
            update_view(i, now);
        }
    }

    void observe(
        double at,
        std::size_t entry,
        std::size_t server,
        std::size_t route,
        response it) override
    {
        const auto kind = it.how == outcome::success   ? health::attempt_kind::success
                          : it.how == outcome::failure ? health::attempt_kind::failure
                                                       : health::attempt_kind::shed;
        entries_[entry].observe(
            time(at),
            servers_[server].server,
            routes_[route],
            kind,
            absl::Seconds(it.seconds));
    }

    /// Adds evidence that was drawn for a longer interval at once.
    void observe(double at, std::size_t server, std::size_t route, health::evidence it)
    {
        entries_[0].observe(time(at), servers_[server].server, routes_[route], it);
    }

    usage use(std::size_t entry, std::size_t server) const override
    {
        return views_[entry].at(server).first;
    }
    bool ejected(std::size_t entry, std::size_t server) const override
    {
        return views_[entry].at(server).second;
    }
    void restart(std::size_t server, double cold_seconds) override
    {
        auto& it = servers_[server];
        ++it.incarnation;
        it.cold_start = absl::Seconds(cold_seconds);
        announce(server, now_);
    }
    std::vector<std::size_t> take_ejections() override
    {
        return std::exchange(ejections_, {});
    }
    double ejection_weight() const override { return 1; }

private:
    struct flight
    {
        double due;
        std::size_t from;
        std::size_t to;
        health::pool_heartbeat message;
    };

    static absl::Time time(double at)
    {
        return absl::UnixEpoch() + absl::Hours(1) + absl::Seconds(at);
    }

    void announce(std::size_t server, absl::Time now)
    {
        ++servers_[server].sequence;
        for (auto& it : entries_) {
            it.announce(now, servers_[server], now);
        }
    }

    static std::size_t index(const std::string& name)
    {
        return std::stoul(name.substr(1));
    }

    void handle_action(std::size_t entry, double at, health::pool_action& action)
    {
        if (auto* send = std::get_if<health::send_heartbeat>(&action)) {
            flights_.push_back(
                {at + 0.0015, entry, index(send->to.str()), std::move(send->message)});
        } else if (auto* probe = std::get_if<health::action::start_probe>(&action)) {
            entries_[entry].probe_finished(
                time(at),
                probe->server,
                backends_.endpoint_reports_healthy(
                    index(probe->server.str()), at - warm_up));
        } else if (auto* event = std::get_if<health::log_event>(&action)) {
            if (event->what == "ejected") {
                ejections_.push_back(index(event->server.str()));
            }
        }
    }

    void update_view(std::size_t entry, absl::Time now)
    {
        now_ = now;
        auto& views = views_[entry];
        views.assign(servers_.size(), {});
        for (const auto& it : entries_[entry].servers(now)) {
            const double slots =
                it.slots * it.ramp / static_cast<double>(entries_.size());
            const bool usable = !it.ejected || it.probation;
            views[index(it.id.str())] = {
                {usable ? std::max(slots, 0.1) : 0, it.suspected, it.probation},
                it.ejected};
        }
    }

public:
    /// Seconds before time 0 of a trace, in which the entries get the first lease and
    /// form their estimates.
    static constexpr double warm_up = 15;

private:
    const trace& trace_;
    simulated_backends& backends_;
    std::vector<health::pool_health> entries_;
    std::vector<upstream::announcement> servers_;
    std::vector<core::route_id> routes_;
    std::vector<std::vector<std::pair<usage, bool>>> views_;
    std::deque<flight> flights_;
    std::vector<std::size_t> ejections_;
    std::set<std::size_t> announced_servers_;
    double round_start_ = 0;
    absl::Time now_ = time(0);
};

/// The usual outlier ejection, for comparison. Each entry decides alone: 5 consecutive
/// failures mark a server, and a sweep every 10 s ejects marked servers, each for 30 s
/// times the number of its ejections. It never ejects more servers than the declared
/// minimum of healthy servers allows.
class baseline_policy : public policy
{
public:
    explicit baseline_policy(const trace& it)
        : trace_(it), entries_(it.entries, std::vector<state>(it.servers))
    {
    }

    void tick(double at) override
    {
        if (at < next_sweep_) {
            return;
        }
        next_sweep_ = at + 10;
        const auto most = static_cast<std::ptrdiff_t>(
            trace_.servers * (100 - trace_.min_healthy_percent) / 100);
        for (auto& entry : entries_) {
            for (std::size_t i = 0; i < entry.size(); ++i) {
                auto& it = entry[i];
                if (it.out && at >= it.until) {
                    it.out = false;
                }
                const auto out =
                    std::count_if(entry.begin(), entry.end(), [](const auto& other) {
                        return other.out;
                    });
                if (it.marked && !it.out && out < most) {
                    it.out = true;
                    it.until = at + 30 * ++it.ejection_count;
                    ejections_.push_back(i);
                }
                it.marked = false;
            }
        }
    }

    void observe(
        double /*at*/,
        std::size_t entry,
        std::size_t server,
        std::size_t /*route*/,
        response it) override
    {
        auto& at = entries_[entry][server];
        if (it.how == outcome::failure) {
            at.marked = at.marked || ++at.consecutive_failures >= 5;
        } else {
            at.consecutive_failures = 0;
        }
    }

    usage use(std::size_t entry, std::size_t server) const override
    {
        const double slots = trace_.slots / static_cast<double>(entries_.size());
        return {entries_[entry][server].out ? 0 : slots, false, false};
    }
    bool ejected(std::size_t entry, std::size_t server) const override
    {
        return entries_[entry][server].out;
    }
    void restart(std::size_t /*server*/, double /*cold_seconds*/) override {}
    std::vector<std::size_t> take_ejections() override
    {
        return std::exchange(ejections_, {});
    }
    double ejection_weight() const override
    {
        return 1.0 / static_cast<double>(entries_.size());
    }

private:
    struct state
    {
        int consecutive_failures = 0;
        bool marked = false;
        bool out = false;
        double until = 0;
        int ejection_count = 0;
    };

    const trace& trace_;
    std::vector<std::vector<state>> entries_;
    std::vector<std::size_t> ejections_;
    double next_sweep_ = 10;
};

} // namespace cuminpitch::bench
