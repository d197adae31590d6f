#include "pool_state_priv.hpp"

#include <algorithm>
#include <cassert>

namespace cuminpitch::request {
namespace {

/// Weight of the newest sample in the exponentially weighted moving averages.
constexpr double ewma_weight = 0.05;
/// Service times vary widely: a lognormal one with a sigma of 0.8 exceeds the mean by
/// more than four mean deviations once in 70 requests, one with a sigma of 0.3 hardly
/// ever.
constexpr int overdue_deviations = 4;
/// Lower bound, in multiples of the service time. With a nearly constant service time the
/// deviation is small and says nothing about slow servers.
constexpr double min_overdue_factor = 2;
constexpr int min_service_samples = 8;
/// Factor for the expected wait of a new request if permits are what it waits for: the
/// share of this entry depends on how many others want permits.
constexpr double permit_wait_margin = 3;
/// Fewer intervals between dequeues are too few for an estimate.
constexpr int min_dequeue_samples = 20;

} // namespace

void pool_state::update(pool_update it)
{
    std::vector<server_slots> next;
    next.reserve(it.servers.size());
    for (const auto& view : it.servers) {
        next.push_back({view, 0, true});
    }
    for (auto& old : servers_) {
        if (old.in_flight == 0) {
            continue;
        }
        const auto same = std::find_if(next.begin(), next.end(), [&](const auto& server) {
            return server.view.id == old.view.id;
        });
        if (same != next.end()) {
            same->in_flight = old.in_flight;
        } else {
            old.is_listed = false;
            next.push_back(std::move(old));
        }
    }
    servers_ = std::move(next);
    budget_.set_percent(it.settings.retry_percent);
    budget_.set_scales_with_load(it.settings.every_entry);
    last_update_ = std::move(it);
}

bool pool_state::has_untried(absl::Time now, const live_request& it) const
{
    return std::any_of(servers_.begin(), servers_.end(), [&](const auto& server) {
        return is_eligible(now, server, it);
    });
}

bool pool_state::has_alternative(
    absl::Time now, const live_request& it, const core::server_id& server) const
{
    return std::any_of(servers_.begin(), servers_.end(), [&](const auto& other) {
        return other.view.id != server && is_eligible(now, other, it) &&
               allows_request(now, other.view);
    });
}

bool pool_state::forwards() const
{
    const auto& entries = last_update_.entries;
    return last_update_.is_path_lost &&
           std::any_of(
               entries.begin(), entries.end(), [](const auto& it) { return it.usable; });
}

bool pool_state::has_servers() const
{
    return std::any_of(servers_.begin(), servers_.end(), [](const auto& it) {
        return it.is_listed && it.view.slots > 0;
    });
}

bool pool_state::is_rate_limited(absl::Time now) const
{
    bool out = false;
    for (const auto& it : servers_) {
        if (it.is_open(now)) {
            if (!it.view.limit) {
                return false;
            }
            out = true;
        }
    }
    return out;
}

void pool_state::close(
    absl::Time now,
    const core::server_id& server,
    std::uint64_t incarnation,
    const server_notice& notice)
{
    const auto it = std::find_if(servers_.begin(), servers_.end(), [&](const auto& each) {
        return each.view.id == server && each.view.incarnation == incarnation;
    });
    const auto until = notice.is_leaving ? absl::InfiniteFuture() : now + notice.hold_off;
    if (it != servers_.end()) {
        it->view.closed_until = std::max(it->view.closed_until, until);
    }
}

bool pool_state::is_closed(absl::Time now) const
{
    return has_servers() && now < first_open();
}

absl::Time pool_state::first_open() const
{
    absl::Time out = absl::InfiniteFuture();
    for (const auto& it : servers_) {
        if (it.is_listed && it.view.slots > 0) {
            out = std::min(out, it.view.closed_until);
        }
    }
    return out;
}

bool pool_state::has_free_slot() const
{
    return std::any_of(servers_.begin(), servers_.end(), [](const auto& it) {
        return it.is_listed && it.in_flight < it.max_in_flight();
    });
}

std::size_t pool_state::slots() const
{
    std::size_t out = 0;
    for (const auto& it : servers_) {
        out += it.is_listed ? it.max_in_flight() : 0;
    }
    return out;
}

std::vector<std::pair<core::server_id, std::uint32_t>>
pool_state::in_flight_by_server() const
{
    std::vector<std::pair<core::server_id, std::uint32_t>> out;
    for (const auto& it : servers_) {
        if (it.in_flight > 0) {
            out.emplace_back(it.view.id, it.in_flight);
        }
    }
    return out;
}

void pool_state::occupy(const server_view& server, const core::caller_id& caller)
{
    const auto it = std::find_if(servers_.begin(), servers_.end(), [&](const auto& each) {
        return each.view.id == server.id;
    });
    assert(it != servers_.end());
    ++it->in_flight;
    ++in_flight_;
    if (it->view.limit && it->view.limit->permits > 0) {
        --it->view.limit->permits;
    }
    ++slots_by_caller_[caller];
}

void pool_state::release(const core::server_id& server, const core::caller_id& caller)
{
    const auto it = std::find_if(servers_.begin(), servers_.end(), [&](const auto& each) {
        return each.view.id == server;
    });
    assert(it != servers_.end() && it->in_flight > 0);
    --it->in_flight;
    --in_flight_;
    if (!it->is_listed && it->in_flight == 0) {
        servers_.erase(it);
    }
    const auto held = slots_by_caller_.find(caller);
    if (--held->second == 0) {
        slots_by_caller_.erase(held);
    }
}

std::size_t pool_state::share_of(std::size_t total) const
{
    return std::max<std::size_t>(
        1, total * last_update_.settings.caller_share_percent / 100);
}

std::optional<refusal_reason> pool_state::admit(
    const live_request& it, absl::Time now, std::optional<eviction>& evicted)
{
    const std::size_t limit = last_update_.settings.queue_limit;
    const std::uint32_t rank = rank_of(it);
    const std::size_t own = queue_.size(rank, it.caller);
    if (own == 0) {
        // Left from when the caller last had requests queued.
        dequeue_rates_.erase({rank, it.caller});
    }
    if (queue_.has_other_callers(rank, it.caller) &&
        queue_.size(it.caller) + 1 > share_of(limit)) {
        return refusal_reason::caller_share;
    }
    const double margin = is_rate_limited(now) ? permit_wait_margin : 1;
    if (const auto why = check_wait(now, it, margin * expected_wait(now, it))) {
        return why;
    }
    if (queue_.size() < limit) {
        return std::nullopt;
    }
    const auto lowest = queue_.lowest_rank();
    if (lowest && *lowest > rank) {
        evicted = {*queue_.drop_from_lowest(), refusal_reason::queue_full};
        return std::nullopt;
    }
    if (lowest == rank && own + 1 < queue_.largest(rank)) {
        evicted = {*queue_.drop_from_lowest(), refusal_reason::caller_share};
        return std::nullopt;
    }
    return refusal_reason::queue_full;
}

void pool_state::push_back(absl::Time now, const live_request& it)
{
    last_dequeue_ = queue_.size() == 0 ? now : last_dequeue_;
    queue_.push_back(rank_of(it), it.caller, it.id);
    if (is_ranked_) {
        queue_.set_share(rank_of(it), shedder_.share_of(now, rank_of(it)));
    }
}

void pool_state::push_front(absl::Time now, const live_request& it)
{
    last_dequeue_ = queue_.size() == 0 ? now : last_dequeue_;
    queue_.push_front(rank_of(it), it.caller, it.id);
}

void pool_state::remove_queued(const live_request& it)
{
    queue_.remove(rank_of(it), it.caller, it.id);
}

std::optional<request_id>
pool_state::take_next(absl::Time now, const admission::ranked_queue::acceptor& fits)
{
    const std::size_t share = share_of(slots());
    const auto below_share = [&](const core::caller_id& caller, request_id it) {
        const auto held = slots_by_caller_.find(caller);
        return (held == slots_by_caller_.end() || held->second < share) &&
               fits(caller, it);
    };
    const auto out = queue_.take(below_share, fits);
    if (!out) {
        return std::nullopt;
    }
    if (is_ranked_) {
        dequeue_seconds_.add(now, absl::ToDoubleSeconds(now - last_dequeue_));
    }
    last_dequeue_ = now;
    record_dequeue(*out, now);
    return out->id;
}

void pool_state::dequeue_rate::count(absl::Time now)
{
    const absl::Duration since = now - last;
    interval = samples == 0 ? since : interval + (since - interval) * ewma_weight;
    last = now;
    ++samples;
}

absl::Duration pool_state::dequeue_rate::time_for(std::size_t n) const
{
    return samples < min_dequeue_samples ? absl::ZeroDuration()
                                         : interval * static_cast<double>(n);
}

void pool_state::record_dequeue(const admission::taken_request& it, absl::Time now)
{
    if (is_ranked_) {
        if (queue_.size(it.rank) == 0) {
            rank_rates_.erase(it.rank);
        } else if (const auto [rate, is_new] =
                       rank_rates_.try_emplace(it.rank, dequeue_rate{now, {}, 0});
                   !is_new) {
            rate->second.count(now);
        }
    }
    const caller_key key{it.rank, it.caller};
    if (is_empty(key)) {
        dequeue_rates_.erase(key);
        return;
    }
    if (dequeue_rates_.size() > 2 * queue_.callers()) {
        absl::erase_if(
            dequeue_rates_, [&](const auto& each) { return is_empty(each.first); });
    }
    const auto [rate, is_new] = dequeue_rates_.try_emplace(key, dequeue_rate{now, {}, 0});
    if (!is_new) {
        rate->second.count(now);
    }
}

absl::Duration pool_state::min_remaining_time(const live_request& it) const
{
    return std::min(2 * service_time_, (it.deadline - it.received) / 2);
}

absl::Duration pool_state::time_to_send(absl::Time now, double requests) const
{
    double slots = 0;
    core::request_rate permits;
    absl::Time first_permit = absl::InfiniteFuture();
    for (const auto& it : servers_) {
        if (!it.is_open(now)) {
            continue;
        }
        const double own_slots = it.max_in_flight();
        if (!it.view.limit) {
            slots += own_slots;
            continue;
        }
        const auto& limit = *it.view.limit;
        permits = core::request_rate(permits.per_second() + limit.share.per_second());
        slots += std::min(own_slots, limit.share.requests_in(service_time_));
        first_permit =
            std::min(first_permit, limit.permits > 0 ? now : limit.next_permit);
    }
    if (is_rate_limited(now)) {
        const auto first_wait = std::max(first_permit - now, absl::ZeroDuration());
        return first_wait + absl::Seconds((requests - 1) / permits.per_second());
    }
    return service_time_ * requests / std::max(1.0, slots);
}

std::optional<refusal_reason>
pool_state::check_wait(absl::Time now, const live_request& it, absl::Duration wait) const
{
    if (now + wait + min_remaining_time(it) <= it.deadline) {
        return std::nullopt;
    }
    return is_rate_limited(now) ? refusal_reason::rate_limited
                                : refusal_reason::expected_wait;
}

std::optional<request_id> pool_state::drop_unservable(
    absl::Time now, const std::function<const live_request&(request_id)>& find)
{
    if (!is_rate_limited(now) || queue_.size() == 0) {
        return std::nullopt;
    }
    const auto wait = time_to_send(now, static_cast<double>(queue_.size()));
    const auto last = *queue_.drop_from_lowest();
    const auto& it = find(last);
    if (check_wait(now, it, wait)) {
        return last;
    }
    push_back(now, it);
    return std::nullopt;
}

absl::Duration pool_state::recent_dequeue_interval(absl::Time now) const
{
    return dequeue_seconds_.is_valid(now) ? absl::Seconds(dequeue_seconds_.value())
                                          : absl::ZeroDuration();
}

absl::Duration pool_state::stalled_for(absl::Time now) const
{
    // With exponential service times, one interval in 55 is longer by chance.
    constexpr int max_intervals = 4;
    if (!is_ranked_ || queue_.size() == 0) {
        return absl::ZeroDuration();
    }
    const auto interval = std::max(
        time_to_send(now, 2) - time_to_send(now, 1), recent_dequeue_interval(now));
    const absl::Duration since = now - last_dequeue_;
    return is_rate_limited(now) || since <= max_intervals * interval
               ? absl::ZeroDuration()
               : since;
}

std::vector<pool_state::unservable> pool_state::take_unservable(
    absl::Time now, const std::function<const live_request&(request_id)>& find)
{
    std::vector<unservable> out;
    if (!is_ranked_ || queue_.size() == 0) {
        return out;
    }
    const auto first = time_to_send(now, 1);
    const auto interval =
        std::max(time_to_send(now, 2) - first, recent_dequeue_interval(now));
    const auto stall = stalled_for(now);
    for (const std::uint32_t rank : queue_.ranks()) {
        const std::size_t left_above = out.size();
        std::size_t place = 1;
        for (const request_id id : queue_.in_order(rank)) {
            const double ahead = queue_.place(rank, place, left_above) - 1;
            const auto wait = std::max(first + interval * ahead, stall);
            if (const auto why = check_wait(now, find(id), wait)) {
                out.push_back({id, *why, wait});
            } else {
                ++place;
            }
        }
    }
    std::reverse(out.begin(), out.end());
    for (const auto& it : out) {
        remove_queued(find(it.id));
    }
    return out;
}

absl::Duration pool_state::expected_wait(absl::Time now, const live_request& it) const
{
    // Callers are served round-robin, so a caller with more requests than this one delays
    // it by no more than a caller with as many.
    const std::uint32_t rank = rank_of(it);
    const std::size_t own = queue_.size(rank, it.caller) + 1;
    const std::size_t in_turn = own * (queue_.callers(rank) + (own == 1 ? 1 : 0));
    const std::size_t in_rank = std::min(in_turn, queue_.size(rank) + 1);
    const double place = queue_.place(rank, in_rank);
    auto out = std::max(time_to_send(now, place), stalled_for(now));
    if (is_ranked_) {
        out = std::max(out, recent_dequeue_interval(now) * place);
    }
    // New requests of callers with few requests overtake those of a caller with many, and
    // those of a higher priority all others. The interval at which the requests left the
    // queue shows by how much.
    if (const auto rate = dequeue_rates_.find(caller_key{rank, it.caller});
        rate != dequeue_rates_.end()) {
        out = std::max(out, rate->second.time_for(own));
    }
    if (const auto rate = rank_rates_.find(rank); rate != rank_rates_.end()) {
        out = std::max(out, rate->second.time_for(in_rank));
    }
    return out;
}

void pool_state::count_service_time(absl::Duration it)
{
    service_samples_ = std::min(service_samples_ + 1, min_service_samples);
    if (service_time_ == absl::ZeroDuration()) {
        service_time_ = it;
        service_deviation_ = it / 2;
        return;
    }
    const absl::Duration distance = absl::AbsDuration(it - service_time_);
    service_time_ += (it - service_time_) * ewma_weight;
    service_deviation_ += (distance - service_deviation_) * ewma_weight;
}

absl::Duration pool_state::overdue_after() const
{
    if (service_samples_ < min_service_samples) {
        return absl::InfiniteDuration();
    }
    return std::max(
        service_time_ * min_overdue_factor,
        service_time_ + overdue_deviations * service_deviation_);
}

} // namespace cuminpitch::request
