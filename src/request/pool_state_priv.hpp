#pragma once

#include "cuminpitch/core/random.hpp"
#include "cuminpitch/request/events.hpp"
#include "fair_queue_priv.hpp"
#include "live_request_priv.hpp"
#include "retry_budget_priv.hpp"

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <utility>
#include <vector>

namespace cuminpitch::request {

/// Penalty, in parts of its slots, of a near server that other entries prefer: less than
/// the distance of a far one. `bench/placement.cpp` shows its effect.
inline constexpr double not_preferred_penalty = 0.6;

/// Slots, queue and retry budget of one pool at this entry.
class pool_state
{
public:
    pool_state() : budget_(0) {}

    void update(pool_update it);
    const pool_update& known() const { return known_; }
    void set_has_idempotent_route(bool it) { has_idempotent_route_ = it; }

    /// A free server for the request: not suspected before suspected, then the lowest
    /// part of its slots in use, ties by random. Null if none is free.
    const server_view* pick(const live_request& it, core::random_source& random) const;
    /// Whether a server exists that the request wasn't sent to yet, free or not.
    bool has_untried(const live_request& it) const;
    /// The same, other than `server`, which is about to get it.
    bool has_alternative(const live_request& it, const core::server_id& server) const;
    bool has_servers() const;
    bool has_free_slot() const;
    std::size_t slots() const;

    /// Servers with requests in flight, and how many.
    std::vector<std::pair<core::server_id, std::uint32_t>> occupied() const;
    void occupy(const server_view& server, const core::caller_id& caller);
    void release(const core::server_id& server, const core::caller_id& caller);
    std::size_t in_flight() const { return in_flight_; }

    /// Whether the request may wait. If a caller with more requests has to give way to
    /// it, `evicted` names the request to refuse.
    std::optional<refusal_reason>
    admit(const live_request& it, absl::Time now, std::optional<request_id>& evicted);
    /// The next waiting request that a free server can take. Callers below their share of
    /// the slots come first.
    std::optional<request_id> take_next(absl::Time now, const fair_queue::acceptor& fits);

    /// A request with less time left isn't sent: it would often be cut at its deadline,
    /// which leaves its outcome in doubt and takes a slot from one that can finish. Twice
    /// the service time, but at most half of the whole time, so that requests are always
    /// sent that measure the service time anew.
    absl::Duration least_time(const live_request& it) const;

    /// Time until a new request of this caller would start.
    absl::Duration expected_wait(const core::caller_id& caller) const;
    void count_service_time(absl::Duration it);
    /// Running mean over finished attempts; zero before the first.
    absl::Duration service_time() const { return service_time_; }
    /// A request that a server has had for longer is hardly ever answered: its server
    /// may have stopped answering. Infinite while too few requests have ended.
    absl::Duration overdue_after() const;

    fair_queue& queue() { return queue_; }
    const fair_queue& queue() const { return queue_; }
    retry_budget& budget() { return budget_; }

private:
    struct server_slots
    {
        server_view view;
        std::uint32_t in_flight = 0;
        bool is_listed = true; ///< False if only its running requests are left.
    };

    /// How often requests of a caller left the queue while more of them waited.
    struct pace
    {
        absl::Time last;
        absl::Duration interval;
        int samples = 0;
    };

    bool is_eligible(const server_slots& it, const live_request& request) const;
    void count_turn(const core::caller_id& caller, absl::Time now);
    std::size_t share_of(std::size_t total) const;

    pool_update known_;
    std::vector<server_slots> servers_;
    bool has_idempotent_route_ = false;
    std::size_t in_flight_ = 0;
    absl::flat_hash_map<core::caller_id, std::size_t> slots_of_;
    absl::flat_hash_map<core::caller_id, pace> paces_;
    fair_queue queue_;
    retry_budget budget_;
    absl::Duration service_time_;
    absl::Duration service_deviation_; ///< Running mean distance from the mean.
    int service_samples_ = 0;          ///< Up to those that `overdue_after` asks for.
};

} // namespace cuminpitch::request
