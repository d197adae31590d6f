#include "fair_queue_priv.hpp"

#include <algorithm>
#include <cassert>

namespace cuminpitch::request {

fair_queue::line& fair_queue::line_of(const core::caller_id& caller)
{
    const auto [it, is_new] = lines_.try_emplace(caller);
    if (is_new) {
        it->second.turn = turns_.insert(turns_.end(), caller);
    }
    return it->second;
}

void fair_queue::push_back(const core::caller_id& caller, core::request_id it)
{
    line_of(caller).requests.push_back(it);
    ++size_;
}

void fair_queue::push_front(const core::caller_id& caller, core::request_id it)
{
    line_of(caller).requests.push_front(it);
    ++size_;
}

void fair_queue::remove(const core::caller_id& caller, core::request_id it)
{
    const auto found = lines_.find(caller);
    if (found == lines_.end()) {
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
    for (auto turn = turns_.begin(); turn != turns_.end(); ++turn) {
        const auto found = lines_.find(*turn);
        auto& requests = found->second.requests;
        const core::request_id out = requests.front();
        if (accepts(*turn, out)) {
            requests.pop_front();
            --size_;
            turns_.splice(turns_.end(), turns_, turn);
            erase_if_empty(found);
            return out;
        }
    }
    return std::nullopt;
}

std::optional<core::request_id> fair_queue::drop_from_largest()
{
    const auto largest = largest_line();
    if (largest == lines_.end()) {
        return std::nullopt;
    }
    const auto found = lines_.find(largest->first);
    const core::request_id out = found->second.requests.back();
    found->second.requests.pop_back();
    --size_;
    erase_if_empty(found);
    return out;
}

std::size_t fair_queue::size(const core::caller_id& caller) const
{
    const auto found = lines_.find(caller);
    return found == lines_.end() ? 0 : found->second.requests.size();
}

std::size_t fair_queue::largest() const
{
    const auto it = largest_line();
    return it == lines_.end() ? 0 : it->second.requests.size();
}

std::deque<core::request_id> fair_queue::drain()
{
    std::deque<core::request_id> out;
    while (const auto it = take([](const auto&, auto) { return true; })) {
        out.push_back(*it);
    }
    return out;
}

void fair_queue::erase_if_empty(lines::iterator it)
{
    if (it->second.requests.empty()) {
        turns_.erase(it->second.turn);
        lines_.erase(it);
    }
    assert(turns_.size() == lines_.size());
}

fair_queue::lines::const_iterator fair_queue::largest_line() const
{
    // Iterates in round-robin order instead of hash order, so that the choice is
    // deterministic.
    auto out = lines_.end();
    for (const auto& caller : turns_) {
        const auto it = lines_.find(caller);
        if (out == lines_.end() ||
            it->second.requests.size() > out->second.requests.size()) {
            out = it;
        }
    }
    return out;
}

} // namespace cuminpitch::request
