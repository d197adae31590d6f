#pragma once

#include "cuminpitch/core/random.hpp"
#include "cuminpitch/request/events.hpp"
#include "fair_queue_priv.hpp"
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
    pool_state() : budget_(0) {}

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
    choice
    pick(absl::Time now, const live_request& it, core::random_source& random) const;
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

    /// Returns why the request may not be queued, if it may not. If the queue is full and
    /// another caller has more requests in it, that caller's newest request is removed
    /// and returned in `evicted`, to be refused.
    std::optional<refusal_reason>
    admit(const live_request& it, absl::Time now, std::optional<request_id>& evicted);
    /// Removes and returns the next queued request that `fits` accepts. Callers below
    /// their share of the slots come first.
    std::optional<request_id> take_next(absl::Time now, const fair_queue::acceptor& fits);

    /// A request with less time left than this isn't sent. It would often be cancelled at
    /// its deadline, which leaves its outcome unknown and takes a slot from a request
    /// that can finish. Twice the service time, but at most half of the time that the
    /// request had on arrival, so that some requests are always sent and update the
    /// service time.
    absl::Duration min_remaining_time(const live_request& it) const;

    /// Expected time in the queue of a new request of this caller.
    absl::Duration expected_wait(absl::Time now, const core::caller_id& caller) const;
    /// Why a request that waits this long would miss its deadline, if it would.
    std::optional<refusal_reason>
    check_wait(absl::Time now, const live_request& it, absl::Duration wait) const;
    /// Removes and returns a queued request that the rate limits of the servers don't
    /// allow before its deadline, if there is one. `find` returns the request of an id.
    std::optional<request_id> drop_unservable(
        absl::Time now, const std::function<const live_request&(request_id)>& find);
    void count_service_time(absl::Duration it);
    /// Moving average over successful attempts; zero before the first.
    absl::Duration service_time() const { return service_time_; }
    /// Time after which a request without a response is overdue. Healthy servers hardly
    /// ever take longer, so its server may have stopped answering. Infinite until enough
    /// attempts have succeeded.
    absl::Duration overdue_after() const;

    fair_queue& queue() { return queue_; }
    const fair_queue& queue() const { return queue_; }
    retry_budget& budget() { return budget_; }

private:
    struct server_slots
    {
        server_view view;
        std::uint32_t in_flight = 0;
        /// False if the server was removed from the pool but has requests in flight.
        bool is_listed = true;

        /// Whether it may get requests.
        bool is_open(absl::Time now) const
        {
            return is_listed && view.slots > 0 && now >= view.closed_until;
        }
    };

    /// How often requests of a caller left the queue while more of its requests waited.
    struct dequeue_rate
    {
        absl::Time last;
        absl::Duration interval;
        int samples = 0;
    };

    bool is_eligible(
        absl::Time now, const server_slots& it, const live_request& request) const;
    void record_dequeue(const core::caller_id& caller, absl::Time now);
    std::size_t share_of(std::size_t total) const;
    /// Expected time until the last of `requests` requests is sent.
    absl::Duration time_to_send(absl::Time now, double requests) const;

    pool_update last_update_;
    std::vector<server_slots> servers_;
    bool has_idempotent_route_ = false;
    std::size_t in_flight_ = 0;
    absl::flat_hash_map<core::caller_id, std::size_t> slots_by_caller_;
    absl::flat_hash_map<core::caller_id, dequeue_rate> dequeue_rates_;
    fair_queue queue_;
    retry_budget budget_;
    absl::Duration service_time_;
    absl::Duration service_deviation_; ///< Moving average of the distance from the mean.
    int service_samples_ = 0; ///< Stops at the minimum that overdue_after() needs.
};

} // namespace cuminpitch::request
