// Compares policies by which the entries of one failure domain choose among its servers:
// how often a request finds all slots of its server in use, and how many requests take
// longer than two seconds. Prints one JSON line for each policy and load. Takes seconds.

#include "cuminpitch/core/random.hpp"
#include "entry/preferred_servers_priv.hpp"
#include "entry/shared_pool_priv.hpp"
#include "request/pool_state_priv.hpp"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <functional>
#include <iostream>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace {

using namespace cuminpitch;

constexpr std::size_t entries = 26;
constexpr std::size_t servers = 85;
constexpr std::size_t slots = 6;
constexpr double work_s = 0.73;
constexpr double simulated_s = 60;
/// Requests during the warm-up are not counted, since the simulation starts empty.
constexpr double warm_up_s = 5;
constexpr double late_threshold_s = 2;

enum class choice
{
    least_reported, ///< Least load: own requests and those reported by other entries.
    two_at_random,  ///< The less loaded of two random servers.
    any_at_random,  ///< A random server, whatever its load.
    preferred_own,  ///< Least own load, with a penalty for others than preferred servers.
    preferred,      ///< As preferred_own, with the reported load added.
};

struct policy
{
    std::string name;
    choice how = choice::least_reported;
};

struct scenario
{
    double requests_per_s = 0;
    /// Fraction of the servers that get no requests because they fail.
    double failing_part = 0;
};

struct figures
{
    std::size_t requests = 0;
    std::size_t full = 0;
    std::size_t late = 0;
};

class simulation
{
public:
    simulation(choice how, const scenario& load, std::uint64_t seed)
        : how_(how), load_(load), random_(seed)
    {
        std::vector<core::instance_id> names;
        std::vector<core::server_id> server_names;
        for (std::size_t n = 0; n < entries; ++n) {
            names.emplace_back(absl::StrCat("entry-", n));
            weights_.push_back(std::lognormal_distribution(0.0, 0.25)(random_));
        }
        for (std::size_t n = 0; n < servers; ++n) {
            server_names.emplace_back(absl::StrCat("server-", n));
            speed_[n] = std::uniform_real_distribution(0.7, 1.4)(random_);
            if (static_cast<double>(n) >= load.failing_part * servers) {
                usable_.push_back(n);
            }
        }
        for (std::size_t n = 0; n < entries; ++n) {
            const auto preferred_here =
                entry::preferred_servers(server_names, names, names[n]);
            for (std::size_t s = 0; s < servers; ++s) {
                is_preferred_[n][s] = preferred_here.contains(server_names[s]);
            }
        }
        interval_s_ = absl::ToDoubleSeconds(entry::occupancy_interval(entries - 1));
        reported_weight_ =
            how == choice::preferred
                ? entry::remote_in_flight_weight(entry::occupancy_interval(entries - 1))
                : 1;
    }

    figures simulate()
    {
        for (std::size_t n = 0; n < entries; ++n) {
            at(std::uniform_real_distribution(0.0, interval_s_)(random_),
               [this, n] { report_load(n); });
        }
        at(0, [this] { arrive(); });
        while (!events_.empty() && events_.top().at < simulated_s) {
            const auto next = events_.top();
            events_.pop();
            now_ = next.at;
            next.run();
        }
        return out_;
    }

private:
    struct event
    {
        double at = 0;
        std::function<void()> run;

        friend bool operator<(const event& a, const event& b) { return a.at > b.at; }
    };

    struct waiting
    {
        std::size_t entry = 0;
        double since = 0;
    };

    void at(double time, std::function<void()> run)
    {
        events_.push({time, std::move(run)});
    }

    void report_load(std::size_t entry)
    {
        reported_[entry] = own_[entry];
        at(now_ + interval_s_, [this, entry] { report_load(entry); });
    }

    void arrive()
    {
        at(now_ + std::exponential_distribution(load_.requests_per_s)(random_),
           [this] { arrive(); });
        const auto entry = std::discrete_distribution<std::size_t>(
            weights_.begin(), weights_.end())(random_);
        const auto server = choose(entry);
        ++own_[entry][server];
        if (now_ >= warm_up_s) {
            ++out_.requests;
            out_.full += active_[server] >= slots ? 1 : 0;
        }
        if (active_[server] < slots) {
            start(server, {entry, now_});
        } else {
            queues_[server].push({entry, now_});
        }
    }

    void start(std::size_t server, const waiting& it)
    {
        ++active_[server];
        const double time =
            std::lognormal_distribution(-0.125, 0.5)(random_) * work_s * speed_[server];
        at(now_ + time, [this, server, it] { finish(server, it); });
    }

    void finish(std::size_t server, const waiting& it)
    {
        --active_[server];
        --own_[it.entry][server];
        if (it.since >= warm_up_s) {
            out_.late += now_ - it.since > late_threshold_s ? 1 : 0;
        }
        if (!queues_[server].empty()) {
            const auto next = queues_[server].front();
            queues_[server].pop();
            start(server, next);
        }
    }

    std::size_t any()
    {
        return usable_[std::uniform_int_distribution<std::size_t>(0, usable_.size() - 1)(
            random_)];
    }

    double cost(std::size_t entry, std::size_t server)
    {
        double load = own_[entry][server];
        if (how_ != choice::preferred_own) {
            for (std::size_t n = 0; n < entries; ++n) {
                load += n == entry ? 0 : reported_weight_ * reported_[n][server];
            }
        }
        const bool prefers = how_ == choice::preferred || how_ == choice::preferred_own;
        return load / slots + (prefers && !is_preferred_[entry][server]
                                   ? request::not_preferred_penalty
                                   : 0);
    }

    std::size_t choose(std::size_t entry)
    {
        if (how_ == choice::any_at_random) {
            return any();
        }
        if (how_ == choice::two_at_random) {
            const auto a = any();
            const auto b = any();
            return cost(entry, a) <= cost(entry, b) ? a : b;
        }
        std::size_t best = usable_.front();
        double least = cost(entry, best);
        std::size_t ties = 1;
        for (const auto it : usable_) {
            const double candidate_cost = cost(entry, it);
            ties = candidate_cost < least ? 1 : ties + (candidate_cost == least ? 1 : 0);
            if (candidate_cost < least ||
                (candidate_cost == least && random_() % ties == 0)) {
                best = it;
                least = candidate_cost;
            }
        }
        return best;
    }

    template <class T>
    using per_server = std::array<T, servers>;
    template <class T>
    using per_entry = std::array<T, entries>;

    choice how_;
    scenario load_;
    core::random_source random_;
    double interval_s_ = 0;
    double reported_weight_ = 1;
    double now_ = 0;
    std::priority_queue<event> events_;
    std::vector<double> weights_;
    std::vector<std::size_t> usable_;
    per_server<double> speed_{};
    per_server<std::size_t> active_{};
    per_server<std::queue<waiting>> queues_;
    per_entry<per_server<bool>> is_preferred_{};
    per_entry<per_server<int>> own_{};
    per_entry<per_server<int>> reported_{};
    figures out_;
};

} // namespace

int main()
{
    const std::vector<policy> policies{
        {"least load as told", choice::least_reported},
        {"less loaded of two at random", choice::two_at_random},
        {"any at random", choice::any_at_random},
        {"preferred servers, own load", choice::preferred_own},
        {"preferred servers, own and told load", choice::preferred}};
    for (const auto& load :
         {scenario{310, 0}, scenario{310, 0.33}, scenario{360, 0.33}}) {
        for (const auto& it : policies) {
            const auto out = simulation(it.how, load, 1).simulate();
            const auto n = static_cast<double>(out.requests);
            std::cout << nlohmann::json{{"policy", it.name}, {"requests_per_s", load.requests_per_s}, {"failing_part", load.failing_part}, {"requests", out.requests}, {"sent_to_full", static_cast<double>(out.full) / n}, {"late", static_cast<double>(out.late) / n}}
                             .dump()
                      << "\n";
        }
    }
}
