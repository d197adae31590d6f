#pragma once

#include "request/fixture.hpp"

#include <deque>
#include <map>
#include <random>
#include <set>

namespace cuminpitch::request {

/// What one kind of callers sends.
struct load_source
{
    std::string path; ///< Names the route, which has the priority.
    std::string caller;
    double per_second = 0;
    absl::Duration deadline = absl::Seconds(1);
};

struct load_counts
{
    int sent = 0;
    int served = 0;
    int refused = 0;    ///< As not run.
    int unfinished = 0; ///< Sent to a server and not answered before the deadline.
    /// Refused requests that had waited for their whole deadline, up to 1 ms.
    int refused_at_deadline = 0;
    absl::Duration longest_refusal;
    double share() const { return sent == 0 ? 1 : static_cast<double>(served) / sent; }
};

/// One entry and its servers under load, without a network. Each server works on
/// `server_slots` requests at a time, queues `server_queue` more and rejects the rest.
struct load_options
{
    bool is_ranked = false;
    int servers = 4;
    unsigned server_slots = 2;
    std::size_t server_queue = 10;
    /// What the entry may send to one server at a time.
    unsigned entry_slots = 2;
    absl::Duration service = absl::Milliseconds(100);
    absl::Duration time = absl::Seconds(30);
    /// Not counted: the averages start without samples.
    absl::Duration warm_up = absl::Seconds(5);
    std::uint64_t seed = 1;
    /// The servers answer nothing from then on.
    absl::Duration hang_after = absl::InfiniteDuration();
};

class load_run
{
public:
    load_run(load_options options, std::vector<load_source> sources)
        : options_(options), sources_(std::move(sources)), random_(options.seed),
          servers_(static_cast<std::size_t>(options.servers))
    {
        auto declared = two_teams();
        for (auto& [id, route] : declared->routes) {
            route.priority = route.id.name == "read" ? 1 : 5;
        }
        auto& settings = declared->pools.at(pool_p);
        settings.deadline = absl::Seconds(5);
        settings.every_entry = true;
        dispatcher_options with;
        with.is_ranked = options.is_ranked;
        entry_ = std::make_unique<dispatcher>(
            with, core::random_source(options.seed + 1), counters);
        entry_->set_routes(std::make_shared<route_table>(declared));
        pool_update update;
        update.pool = pool_p;
        update.settings = settings;
        update.is_assigned = true;
        for (int i = 0; i < options.servers; ++i) {
            const core::server_id id(std::to_string(i));
            update.servers.push_back(
                {id,
                 {"127.0.0.1", static_cast<std::uint16_t>(i + 1)},
                 options.entry_slots});
        }
        apply(entry_->update_pool(now_, update));
    }

    /// Returns the counts of each source.
    std::vector<load_counts> play()
    {
        counts_.resize(sources_.size());
        for (std::size_t i = 0; i < sources_.size(); ++i) {
            schedule(next_arrival(i), [this, i] { arrive(i); });
        }
        schedule(now_, [this] { tick_once(); });
        const auto end = now_ + options_.time;
        while (!events_.empty() && events_.begin()->first.first < end) {
            const auto it = events_.begin();
            now_ = it->first.first;
            const auto what = std::move(it->second);
            events_.erase(it);
            what();
        }
        return counts_;
    }

    telemetry::metrics counters;

private:
    struct server
    {
        unsigned busy = 0;
        std::deque<std::pair<attempt_id, absl::Time>> queue;
    };
    struct sent_request
    {
        std::size_t source = 0;
        absl::Time at;
        bool is_counted = false;
    };

    void schedule(absl::Time at, std::function<void()> what)
    {
        events_.emplace(std::make_pair(at, ++last_event_), std::move(what));
    }
    absl::Time next_arrival(std::size_t i)
    {
        return now_ + absl::Seconds(std::exponential_distribution<>(
                          sources_[i].per_second)(random_));
    }
    void tick_once()
    {
        apply(entry_->handle(now_, tick{}));
        schedule(now_ + absl::Milliseconds(20), [this] { tick_once(); });
    }
    void arrive(std::size_t i)
    {
        const auto& from = sources_[i];
        auto message = std::make_shared<http::request>();
        message->method = "POST";
        message->target = from.path;
        message->path = from.path;
        message->headers = make_headers(
            {{"Host", "h"},
             {"Cuminpitch-Caller", from.caller},
             {"Cuminpitch-Deadline-Ms",
              std::to_string(absl::ToInt64Milliseconds(from.deadline))}});
        last_ = last_.next();
        const bool is_counted = now_ >= start_ + options_.warm_up &&
                                now_ + from.deadline < start_ + options_.time;
        requests_[last_] = {i, now_, is_counted};
        counts_[i].sent += is_counted ? 1 : 0;
        schedule(next_arrival(i), [this, i] { arrive(i); });
        apply(entry_->handle(now_, request_received{last_, message}));
    }
    void apply(const std::vector<action>& actions)
    {
        for (const auto& it : actions) {
            if (const auto* start = std::get_if<start_attempt>(&it)) {
                receive(start->server, start->send.attempt, start->send.timeout);
            } else if (const auto* done = std::get_if<respond>(&it)) {
                conclude(done->request, done->response.status == 200, {});
            } else if (const auto* no = std::get_if<refuse>(&it)) {
                conclude(no->request, false, *no);
            }
        }
    }
    void conclude(request_id id, bool is_served, const refuse& why)
    {
        const auto it = requests_.extract(id).mapped();
        auto& counts = counts_[it.source];
        if (!it.is_counted) {
            return;
        }
        const auto time = now_ - it.at;
        const bool is_refused = !is_served && why.verdict == core::verdict::not_run;
        counts.served += is_served ? 1 : 0;
        counts.refused += is_refused ? 1 : 0;
        counts.unfinished += !is_served && !is_refused ? 1 : 0;
        if (is_refused) {
            counts.longest_refusal = std::max(counts.longest_refusal, time);
            counts.refused_at_deadline +=
                time + absl::Milliseconds(1) >= sources_[it.source].deadline ? 1 : 0;
        }
    }
    void receive(const core::server_id& id, attempt_id attempt, absl::Duration timeout)
    {
        const auto at = now_;
        const auto index = static_cast<std::size_t>(std::stoi(id.str()));
        open_.insert(attempt);
        schedule(at + timeout, [this, attempt, at] {
            finish(
                attempt,
                failed_result(http::failure::timeout, core::verdict::may_have_run),
                at);
        });
        schedule(at + absl::Microseconds(500), [this, index, attempt, at] {
            server& it = servers_[index];
            if (it.busy == options_.server_slots &&
                it.queue.size() == options_.server_queue) {
                auto full = complete(503, make_headers({{"Cuminpitch-Run", "not-run"}}));
                finish(attempt, full, at);
                return;
            }
            it.queue.emplace_back(attempt, at);
            work(index);
        });
    }
    void work(std::size_t index)
    {
        server& it = servers_[index];
        while (it.busy < options_.server_slots && !it.queue.empty()) {
            const auto attempt = it.queue.front().first;
            const auto at = it.queue.front().second;
            it.queue.pop_front();
            if (!open_.contains(attempt)) {
                continue; // The entry has cancelled it.
            }
            ++it.busy;
            if (now_ - start_ >= options_.hang_after) {
                continue;
            }
            // Lognormal with a sigma of 0.5 and the given mean.
            constexpr double sigma = 0.5;
            const double factor =
                std::lognormal_distribution<>(-sigma * sigma / 2, sigma)(random_);
            schedule(now_ + options_.service * factor, [this, index, attempt, at] {
                --servers_[index].busy;
                finish(attempt, complete(), at);
                work(index);
            });
        }
    }
    void finish(attempt_id attempt, http::client_result result, absl::Time at)
    {
        if (open_.erase(attempt) > 0) {
            result.elapsed = now_ - at;
            apply(entry_->handle(now_, attempt_finished{attempt, std::move(result)}));
        }
    }

    const load_options options_;
    const std::vector<load_source> sources_;
    core::random_source random_;
    std::unique_ptr<dispatcher> entry_;
    const absl::Time start_ = absl::FromUnixSeconds(1000);
    absl::Time now_ = start_;
    std::map<std::pair<absl::Time, std::uint64_t>, std::function<void()>> events_;
    std::uint64_t last_event_ = 0;
    std::vector<server> servers_;
    std::map<request_id, sent_request> requests_;
    std::set<attempt_id> open_;
    request_id last_;
    std::vector<load_counts> counts_;
};

} // namespace cuminpitch::request
