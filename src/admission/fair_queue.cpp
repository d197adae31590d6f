#include "fair_queue_priv.hpp"

#include <algorithm>
#include <cassert>

namespace cuminpitch::admission {

fair_queue::caller_queue& fair_queue::queue_of(const core::caller_id& caller)
{
    const auto [it, is_new] = queues_.try_emplace(caller);
    if (is_new) {
        it->second.position = round_robin_.insert(round_robin_.end(), caller);
    }
    return it->second;
}

void fair_queue::push_back(const core::caller_id& caller, core::request_id it)
{
    queue_of(caller).requests.push_back(it);
    ++size_;
}

void fair_queue::push_front(const core::caller_id& caller, core::request_id it)
{
    queue_of(caller).requests.push_front(it);
    ++size_;
}

void fair_queue::remove(const core::caller_id& caller, core::request_id it)
{
    const auto found = queues_.find(caller);
    if (found == queues_.end()) {
        return;
    }
    auto& requests = found->second.requests;
    const auto at = std::find(requests.begin(), requests.end(), it);
    if (at != requests.end()) {
        requests.erase(at);
        --size_;
        erase_if_empty(found);
    }
}

std::optional<core::request_id> fair_queue::take(const acceptor& accepts)
{
    for (auto position = round_robin_.begin(); position != round_robin_.end();
         ++position) {
        const auto found = queues_.find(*position);
        auto& requests = found->second.requests;
        const core::request_id out = requests.front();
        if (accepts(*position, out)) {
            requests.pop_front();
            --size_;
            round_robin_.splice(round_robin_.end(), round_robin_, position);
            erase_if_empty(found);
            return out;
        }
    }
    return std::nullopt;
}

std::optional<core::request_id> fair_queue::drop_from_largest()
{
    const auto largest = largest_queue();
    if (largest == queues_.end()) {
        return std::nullopt;
    }
    const auto found = queues_.find(largest->first);
    const core::request_id out = found->second.requests.back();
    found->second.requests.pop_back();
    --size_;
    erase_if_empty(found);
    return out;
}

std::size_t fair_queue::size(const core::caller_id& caller) const
{
    const auto found = queues_.find(caller);
    return found == queues_.end() ? 0 : found->second.requests.size();
}

std::size_t fair_queue::largest() const
{
    const auto it = largest_queue();
    return it == queues_.end() ? 0 : it->second.requests.size();
}

std::deque<core::request_id> fair_queue::drain()
{
    std::deque<core::request_id> out;
    while (const auto it = take([](const auto&, auto) { return true; })) {
        out.push_back(*it);
    }
    return out;
}

std::vector<core::request_id> fair_queue::in_order() const
{
    std::vector<const std::deque<core::request_id>*> left;
    left.reserve(round_robin_.size());
    for (const auto& caller : round_robin_) {
        left.push_back(&queues_.at(caller).requests);
    }
    std::vector<core::request_id> out;
    out.reserve(size_);
    for (std::size_t round = 0; !left.empty(); ++round) {
        std::erase_if(left, [&](const auto* it) { return it->size() <= round; });
        for (const auto* requests : left) {
            out.push_back((*requests)[round]);
        }
    }
    return out;
}

void fair_queue::erase_if_empty(caller_queues::iterator it)
{
    if (it->second.requests.empty()) {
        round_robin_.erase(it->second.position);
        queues_.erase(it);
    }
    assert(round_robin_.size() == queues_.size());
}

fair_queue::caller_queues::const_iterator fair_queue::largest_queue() const
{
    // Iterates in round-robin order instead of hash order, so that the choice is
    // deterministic.
    auto out = queues_.end();
    for (const auto& caller : round_robin_) {
        const auto it = queues_.find(caller);
        if (out == queues_.end() ||
            it->second.requests.size() > out->second.requests.size()) {
            out = it;
        }
    }
    return out;
}

} // namespace cuminpitch::admission
