#pragma once

#include "cuminpitch/core/ids.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <deque>
#include <functional>
#include <list>
#include <optional>
#include <vector>

namespace cuminpitch::admission {

/// Queue of waiting requests: one FIFO for each caller, served round-robin.
class fair_queue
{
public:
    using acceptor =
        std::function<bool(const core::caller_id& caller, core::request_id request)>;

    void push_back(const core::caller_id& caller, core::request_id it);
    /// Puts a retry, which has waited already, before the caller's other requests.
    void push_front(const core::caller_id& caller, core::request_id it);
    void remove(const core::caller_id& caller, core::request_id it);

    /// Removes and returns the first request of the next caller for which `accepts` is
    /// true.
    std::optional<core::request_id> take(const acceptor& accepts);
    /// Removes and returns the newest request of the caller with the most requests.
    std::optional<core::request_id> drop_from_largest();

    std::size_t size() const { return size_; }
    std::size_t size(const core::caller_id& caller) const;
    std::size_t callers() const { return round_robin_.size(); }
    /// Number of requests of the caller with the most requests.
    std::size_t largest() const;
    /// Removes and returns all requests, in the order in which take() would return them.
    std::deque<core::request_id> drain();
    /// All requests, in the order in which take() would return them.
    std::vector<core::request_id> in_order() const;

private:
    struct caller_queue
    {
        std::deque<core::request_id> requests;
        std::list<core::caller_id>::iterator position;
    };
    using caller_queues = absl::flat_hash_map<core::caller_id, caller_queue>;

    caller_queue& queue_of(const core::caller_id& caller);
    void erase_if_empty(caller_queues::iterator it);
    caller_queues::const_iterator largest_queue() const;

    caller_queues queues_;
    std::list<core::caller_id> round_robin_;
    std::size_t size_ = 0;
};

} // namespace cuminpitch::admission
