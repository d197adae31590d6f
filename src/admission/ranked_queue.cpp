#include "ranked_queue_priv.hpp"

#include <algorithm>
#include <iterator>

namespace cuminpitch::admission {
void ranked_queue::push_back(
    std::uint32_t rank, const core::caller_id& caller, core::request_id it)
{
    classes_[rank].requests.push_back(caller, it);
    ++size_;
}

void ranked_queue::push_front(
    std::uint32_t rank, const core::caller_id& caller, core::request_id it)
{
    classes_[rank].requests.push_front(caller, it);
    ++size_;
}

void ranked_queue::remove(
    std::uint32_t rank, const core::caller_id& caller, core::request_id it)
{
    const auto found = classes_.find(rank);
    if (found == classes_.end()) {
        return;
    }
    auto& requests = found->second.requests;
    const std::size_t before = requests.size();
    requests.remove(caller, it);
    size_ -= before - requests.size();
    erase_if_empty(found);
}

void ranked_queue::set_share(std::uint32_t rank, double it)
{
    if (const auto found = classes_.find(rank); found != classes_.end()) {
        found->second.share = it;
    }
}

std::optional<taken_request>
ranked_queue::take(const acceptor& prefers, const acceptor& accepts)
{
    const auto due = due_class();
    if (due != classes_.end()) {
        if (auto out = take_from(due, prefers, accepts)) {
            return out;
        }
    }
    for (auto it = classes_.begin(); it != classes_.end(); ++it) {
        if (it == due) {
            continue;
        }
        if (auto out = take_from(it, prefers, accepts)) {
            return out;
        }
    }
    return std::nullopt;
}

ranked_queue::class_queues::iterator ranked_queue::due_class()
{
    const auto is_due = [this](class_queues::const_iterator it) {
        return it->second.credit + floor_of(it) >= 1;
    };
    if (classes_.size() < 2) {
        return classes_.end();
    }
    const auto lowest = std::prev(classes_.end());
    if (is_due(lowest)) {
        return lowest;
    }
    const auto longest =
        std::max_element(classes_.begin(), lowest, [](const auto& a, const auto& b) {
            return a.second.credit < b.second.credit;
        });
    return is_due(longest) ? longest : classes_.end();
}

double ranked_queue::floor_of(class_queues::const_iterator it) const
{
    const double by_share = floor_per_share * it->second.share;
    const bool is_lowest = std::next(it) == classes_.end();
    return is_lowest ? std::max(lowest_floor, by_share) : by_share;
}

std::optional<taken_request> ranked_queue::take_from(
    class_queues::iterator it, const acceptor& prefers, const acceptor& accepts)
{
    core::caller_id taken_from;
    const auto recorded = [&taken_from](const acceptor& which) {
        return [&taken_from, &which](const core::caller_id& caller, core::request_id id) {
            taken_from = caller;
            return which(caller, id);
        };
    };
    auto id = it->second.requests.take(recorded(prefers));
    if (!id) {
        id = it->second.requests.take(recorded(accepts));
    }
    if (!id) {
        return std::nullopt;
    }
    --size_;
    for (auto each = classes_.begin(); each != classes_.end(); ++each) {
        each->second.credit += floor_of(each);
    }
    it->second.credit = std::max(0.0, it->second.credit - 1);
    const taken_request out{it->first, std::move(taken_from), *id};
    erase_if_empty(it);
    return out;
}

std::optional<core::request_id> ranked_queue::drop_from_lowest()
{
    if (classes_.empty()) {
        return std::nullopt;
    }
    const auto lowest = std::prev(classes_.end());
    const auto out = lowest->second.requests.drop_from_largest();
    --size_;
    erase_if_empty(lowest);
    return out;
}

std::optional<std::uint32_t> ranked_queue::lowest_rank() const
{
    return classes_.empty() ? std::nullopt : std::optional(classes_.rbegin()->first);
}

std::size_t ranked_queue::size(const core::caller_id& caller) const
{
    std::size_t out = 0;
    for (const auto& [rank, it] : classes_) {
        out += it.requests.size(caller);
    }
    return out;
}

std::size_t ranked_queue::size(std::uint32_t rank) const
{
    const auto found = classes_.find(rank);
    return found == classes_.end() ? 0 : found->second.requests.size();
}

std::size_t ranked_queue::size(std::uint32_t rank, const core::caller_id& caller) const
{
    const auto found = classes_.find(rank);
    return found == classes_.end() ? 0 : found->second.requests.size(caller);
}

std::size_t ranked_queue::callers() const
{
    std::size_t out = 0;
    for (const auto& [rank, it] : classes_) {
        out += it.requests.callers();
    }
    return out;
}

std::size_t ranked_queue::callers(std::uint32_t rank) const
{
    const auto found = classes_.find(rank);
    return found == classes_.end() ? 0 : found->second.requests.callers();
}

bool ranked_queue::has_other_callers(
    std::uint32_t rank, const core::caller_id& caller) const
{
    return std::any_of(
        classes_.begin(), classes_.upper_bound(rank), [&](const auto& each) {
            const auto& requests = each.second.requests;
            return requests.callers() > (requests.size(caller) > 0 ? 1U : 0U);
        });
}

std::size_t ranked_queue::largest(std::uint32_t rank) const
{
    const auto found = classes_.find(rank);
    return found == classes_.end() ? 0 : found->second.requests.largest();
}

std::vector<std::uint32_t> ranked_queue::ranks() const
{
    std::vector<std::uint32_t> out;
    for (const auto& [rank, it] : classes_) {
        out.push_back(rank);
    }
    return out;
}

std::vector<core::request_id> ranked_queue::in_order(std::uint32_t rank) const
{
    const auto found = classes_.find(rank);
    return found == classes_.end() ? std::vector<core::request_id>()
                                   : found->second.requests.in_order();
}

std::deque<core::request_id> ranked_queue::drain()
{
    std::deque<core::request_id> out;
    for (auto& [rank, it] : classes_) {
        const auto requests = it.requests.drain();
        out.insert(out.end(), requests.begin(), requests.end());
    }
    classes_.clear();
    size_ = 0;
    return out;
}

double
ranked_queue::place(std::uint32_t rank, std::size_t in_rank, std::size_t left_above) const
{
    std::size_t above = 0;
    std::size_t below = 0;
    double floor = classes_.empty() || rank > classes_.rbegin()->first ? lowest_floor : 0;
    double floors_below = 0;
    for (auto it = classes_.begin(); it != classes_.end(); ++it) {
        if (it->first < rank) {
            above += it->second.requests.size();
        } else if (it->first > rank) {
            below += it->second.requests.size();
            floors_below += floor_of(it);
        } else {
            floor = floor_of(it);
        }
    }
    const auto n = static_cast<double>(in_rank);
    const double in_order = static_cast<double>(above - left_above) + n;
    const double out_of_order = in_order * floors_below / (1 - floors_below);
    const double out = in_order + std::min(static_cast<double>(below), out_of_order);
    return floor > 0 ? std::min(out, n / floor) : out;
}

void ranked_queue::erase_if_empty(class_queues::iterator it)
{
    if (it->second.requests.size() == 0) {
        classes_.erase(it);
    }
}

} // namespace cuminpitch::admission
