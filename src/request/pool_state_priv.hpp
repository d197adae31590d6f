#pragma once

#include "admission/load_shedder_priv.hpp"
#include "admission/ranked_queue_priv.hpp"
#include "cuminpitch/core/random.hpp"
#include "cuminpitch/request/choice_counts.hpp"
#include "cuminpitch/request/events.hpp"
#include "live_request_priv.hpp"
#include "retry_budget_priv.hpp"

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <optional>
#include <utility>
#include <vector>

namespace cuminpitch::request {

/// Penalty, as a fraction of its slots, of a server in this failure domain that other
/// entries prefer. Lower than the penalty of a server in another domain.
/// `bench/placement.cpp` shows its effect.
inline constexpr double not_preferred_penalty = 0.6;

/// Slots, queue and retry budget of one pool at this entry.
class pool_state
{
public:
    /// `is_ranked`: requests are ordered by priority instead of by arrival.
    explicit pool_state(bool is_ranked = false) : is_ranked_(is_ranked), budget_(0) {}

    void update(pool_update it);
    const pool_update& last_update() const { return last_update_; }
    void set_has_idempotent_route(bool it) { has_idempotent_route_ = it; }

    struct choice
    {
        const server_view* server = nullptr; ///< Null if no server is free.
        /// Servers that were left out because of their rate limits: the best one of those
        /// that would have been chosen, or all of them if no server is free.
        std::vector<const server_view*> withheld;
        /// A server that was left out because it wants no requests now; may be null.
        const server_view* closed = nullptr;
    };
    /// Chooses a free server for the request: one that isn't suspected before one that
    /// is, then the one with the lowest load including penalties. Ties are broken at
    /// random.
    choice pick(absl::Time now, const live_request& it, core::random_source& random);
    /// Returns and resets the counts of all choices since the last call.
    choice_counts take_choice_counts() { return std::exchange(choice_counts_, {}); }
    /// Whether there is a server, free or busy, that the request wasn't sent to yet.
    bool has_untried(absl::Time now, const live_request& it) const;
    /// The same, not counting servers whose rate limit allows no request now, and
    /// `server`, which has the request or is about to get it.
    bool has_alternative(
        absl::Time now, const live_request& it, const core::server_id& server) const;
    /// Whether requests are forwarded to other entries, as the path to the servers is
    /// lost.
    bool forwards() const;
    bool has_servers() const;
    /// Whether all servers that want requests now have rate limits.
    bool is_rate_limited(absl::Time now) const;
    /// Applies what a response of the server says, until the next update says the same.
    void close(
        absl::Time now,
        const core::server_id& server,
        std::uint64_t incarnation,
        const server_notice& notice);
    /// Whether there are servers, and none of them wants requests now.
    bool is_closed(absl::Time now) const;
    /// When the first server wants requests; infinite future if all are leaving.
    absl::Time first_open() const;
    bool has_free_slot() const;
    std::size_t slots() const;

    /// Servers with requests in flight, and the number of those.
    std::vector<std::pair<core::server_id, std::uint32_t>> in_flight_by_server() const;
    void occupy(const server_view& server, const core::caller_id& caller);
    void release(const core::server_id& server, const core::caller_id& caller);
    std::size_t in_flight() const { return in_flight_; }

    /// The place of the request in the order of priority. The same for all requests
    /// unless the pool is ranked.
    std::uint32_t rank_of(const live_request& it) const
    {
        return is_ranked_ ? it.rank() : 0;
    }
    /// A request that is refused to make room for another one.
    struct eviction
    {
        request_id id;
        refusal_reason why = refusal_reason::queue_full;
    };
    /// Returns why the request may not be queued, if it may not. If the queue is full and
    /// another caller of the lowest priority has more requests in it, or there are
    /// requests of a lower priority, the newest of these is removed and returned in
    /// `evicted`, to be refused.
    std::optional<refusal_reason>
    admit(const live_request& it, absl::Time now, std::optional<eviction>& evicted);
    void push_back(absl::Time now, const live_request& it);
    /// Puts a retry, which has waited already, before the caller's other requests.
    void push_front(absl::Time now, const live_request& it);
    void remove_queued(const live_request& it);
    /// Removes and returns the next queued request that `fits` accepts. Callers below
    /// their share of the slots come first among requests of the same priority.
    std::optional<request_id>
    take_next(absl::Time now, const admission::ranked_queue::acceptor& fits);

    /// A request with less time left than this isn't sent. It would often be cancelled at
    /// its deadline, which leaves its outcome unknown and takes a slot from a request
    /// that can finish. Twice the service time, but at most half of the time that the
    /// request had on arrival, so that some requests are always sent and update the
    /// service time.
    absl::Duration min_remaining_time(const live_request& it) const;

    /// Expected time in the queue of a new request of the same caller and priority.
    /// Counts what leaves the queue before it.
    absl::Duration expected_wait(absl::Time now, const live_request& it) const;
    /// Why a request that waits this long would miss its deadline, if it would.
    std::optional<refusal_reason>
    check_wait(absl::Time now, const live_request& it, absl::Duration wait) const;
    /// Removes and returns a queued request that the rate limits of the servers don't
    /// allow before its deadline, if there is one. `find` returns the request of an id.
    std::optional<request_id> drop_unservable(
        absl::Time now, const std::function<const live_request&(request_id)>& find);
    /// A queued request that can't finish before its deadline.
    struct unservable
    {
        request_id id;
        refusal_reason why = refusal_reason::expected_wait;
        absl::Duration wait; ///< How long it would have to wait.
    };
    /// Predicts again how long the queued requests will wait, and removes those that
    /// can't finish before their deadlines, lowest priority first. For a ranked pool.
    std::vector<unservable> take_unservable(
        absl::Time now, const std::function<const live_request&(request_id)>& find);
    void count_service_time(absl::Duration it);
    /// Moving average over successful attempts; zero before the first.
    absl::Duration service_time() const { return service_time_; }
    /// Time after which a request without a response is overdue. Healthy servers hardly
    /// ever take longer, so its server may have stopped answering. Infinite until enough
    /// attempts have succeeded.
    absl::Duration overdue_after() const;

    admission::ranked_queue& queue() { return queue_; }
    const admission::ranked_queue& queue() const { return queue_; }
    retry_budget& budget() { return budget_; }
    admission::load_shedder& shedder() { return shedder_; }
    const admission::load_shedder& shedder() const { return shedder_; }

private:
    struct server_slots
    {
        server_view view;
        std::uint32_t in_flight = 0;
        /// False if the server was removed from the pool but has requests in flight.
        bool is_listed = true;

        std::uint32_t max_in_flight() const { return view.probation ? 1 : view.slots; }
        /// Whether it may get requests.
        bool is_open(absl::Time now) const
        {
            return is_listed && view.slots > 0 && now >= view.closed_until;
        }
    };

    /// How often requests of a caller, or of a priority, left the queue while more of
    /// them waited.
    struct dequeue_rate
    {
        absl::Time last;
        absl::Duration interval;
        int samples = 0;

        void count(absl::Time now);
        /// Expected time until `n` requests have left; zero if too few have yet.
        absl::Duration time_for(std::size_t n) const;
    };
    using caller_key = std::pair<std::uint32_t, core::caller_id>;

    /// Whether the rate limit of the server allows this entry a request.
    static bool allows_request(absl::Time now, const server_view& it);
    bool is_eligible(
        absl::Time now, const server_slots& it, const live_request& request) const;
    /// Load of the server as a fraction of its slots, without and with penalties.
    double plain_load(const server_slots& it) const;
    /// The suspicion that counts for the request, and its share of the load.
    double probing_suspicion(const server_slots& it, const live_request& request) const;
    double suspicion_penalty(const server_slots& it, const live_request& request) const;
    /// The servers of this or of the other failure domains that may get the request.
    std::vector<const server_slots*>
    free_servers(absl::Time now, const live_request& it, bool in_other_domain) const;
    /// Leaves the servers that this entry prefers, those with rate limits, and a random
    /// sample of the others.
    void reduce_to_sample(
        std::vector<const server_slots*>& servers,
        const live_request& it,
        core::random_source& random) const;
    double
    load(absl::Time now, const server_slots& it, const live_request& request) const;
    void count_choice(
        absl::Time now,
        const live_request& request,
        const std::vector<const server_slots*>& compared,
        const server_slots* chosen);
    void record_dequeue(const admission::taken_request& it, absl::Time now);
    bool is_empty(const caller_key& it) const
    {
        return queue_.size(it.first, it.second) == 0;
    }
    /// Lower bound of the wait of all queued requests if none has left for unusually
    /// long: servers that hang say nothing, and their service time stays what it was.
    absl::Duration stalled_for(absl::Time now) const;
    /// Between requests that left the queue while others waited; zero if unknown.
    absl::Duration recent_dequeue_interval(absl::Time now) const;
    std::size_t share_of(std::size_t total) const;
    /// Expected time until the last of `requests` requests is sent.
    absl::Duration time_to_send(absl::Time now, double requests) const;

    pool_update last_update_;
    choice_counts choice_counts_;
    std::vector<server_slots> servers_;
    bool has_idempotent_route_ = false;
    std::size_t in_flight_ = 0;
    absl::flat_hash_map<core::caller_id, std::size_t> slots_by_caller_;
    const bool is_ranked_;
    absl::flat_hash_map<caller_key, dequeue_rate> dequeue_rates_;
    /// By priority; empty unless the pool is ranked.
    absl::flat_hash_map<std::uint32_t, dequeue_rate> rank_rates_;
    admission::ranked_queue queue_;
    /// When a request last left the queue, or entered it while it was empty.
    absl::Time last_dequeue_ = absl::InfinitePast();
    admission::recent_average dequeue_seconds_;
    admission::load_shedder shedder_;
    retry_budget budget_;
    absl::Duration service_time_;
    absl::Duration service_deviation_; ///< Moving average of the distance from the mean.
    int service_samples_ = 0; ///< Stops at the minimum that overdue_after() needs.
};

} // namespace cuminpitch::request
