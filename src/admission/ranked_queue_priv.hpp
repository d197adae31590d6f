#pragma once

#include "fair_queue_priv.hpp"

#include <cstdint>
#include <map>

namespace cuminpitch::admission {

/// A request that has left the queue.
struct taken_request
{
    std::uint32_t rank = 0;
    core::caller_id caller;
    core::request_id id;
};

/// Queue of waiting requests by rank (0 is the highest priority), fair between the
/// callers of one rank. Among requests of a single rank it behaves like a fair_queue.
///
/// Each rank that waits gets at least a fraction of the turns, its floor: enough to be
/// served a quarter as often as all requests, which depends on its share of the arriving
/// ones, and one in eight for the lowest waiting rank.
class ranked_queue
{
public:
    using acceptor = fair_queue::acceptor;

    static constexpr double lowest_floor = 1.0 / 8;
    /// Floor of a rank as a fraction of its share of the requests. More than a quarter,
    /// as some requests that get a turn are not served.
    static constexpr double floor_per_share = 0.3;

    void
    push_back(std::uint32_t rank, const core::caller_id& caller, core::request_id it);
    /// Puts a retry, which has waited already, before the caller's other requests.
    void
    push_front(std::uint32_t rank, const core::caller_id& caller, core::request_id it);
    void remove(std::uint32_t rank, const core::caller_id& caller, core::request_id it);

    /// Sets the rank's share of the requests that arrive, from 0 to 1.
    void set_share(std::uint32_t rank, double it);

    /// Removes and returns the next request for which `prefers` is true, or else
    /// `accepts`. `prefers` only changes the order within a rank.
    std::optional<taken_request> take(const acceptor& prefers, const acceptor& accepts);
    /// Removes and returns the newest request of the caller with the most requests of the
    /// lowest rank.
    std::optional<core::request_id> drop_from_lowest();
    /// The lowest rank with waiting requests, which has the greatest number.
    std::optional<std::uint32_t> lowest_rank() const;

    std::size_t size() const { return size_; }
    std::size_t size(const core::caller_id& caller) const;
    std::size_t size(std::uint32_t rank) const;
    std::size_t size(std::uint32_t rank, const core::caller_id& caller) const;
    /// Number of callers, counted again for each rank.
    std::size_t callers() const;
    std::size_t callers(std::uint32_t rank) const;
    /// Whether another caller has requests of this rank or a higher priority.
    bool has_other_callers(std::uint32_t rank, const core::caller_id& caller) const;
    /// Number of requests of the caller with the most requests of the rank.
    std::size_t largest(std::uint32_t rank) const;
    std::vector<std::uint32_t> ranks() const;
    /// All requests of the rank, in the order in which take() would return them.
    std::vector<core::request_id> in_order(std::uint32_t rank) const;
    /// Removes and returns all requests, highest priority first.
    std::deque<core::request_id> drain();

    /// In which place a request of the rank leaves the queue that is in place `in_rank`
    /// (from 1) among those of its rank, if no more requests arrive. `left_above`
    /// requests of higher priority are about to be removed.
    double
    place(std::uint32_t rank, std::size_t in_rank, std::size_t left_above = 0) const;

private:
    struct class_queue
    {
        fair_queue requests;
        double share = 0;
        /// Turns to which the floor entitles the rank; due from 1 on.
        double credit = 0;
    };
    using class_queues = std::map<std::uint32_t, class_queue>;

    /// The rank that is entitled to the next turn regardless of its priority.
    class_queues::iterator due_class();
    double floor_of(class_queues::const_iterator it) const;
    std::optional<taken_request> take_from(
        class_queues::iterator it, const acceptor& prefers, const acceptor& accepts);
    void erase_if_empty(class_queues::iterator it);

    class_queues classes_;
    std::size_t size_ = 0;
};

} // namespace cuminpitch::admission
