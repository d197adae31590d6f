#include "load_shedder_priv.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace cuminpitch::admission {
namespace {

/// K of adaptive throttling while the servers reject nothing. Readmits soon after an
/// overload.
constexpr double k_without_rejections = 2;
/// From this fraction of rejected attempts on, requests are refused.
constexpr double max_rejected_share = 0.1;
/// What is aimed at from then on. Rejections hit all priorities and callers alike. With
/// 0.02 the servers are idle at times, with 0.1 the highest priority loses more.
constexpr double target_rejected_share = 0.05;
/// K from that fraction on. With K = 2 nothing would be refused until the servers reject
/// half of the attempts.
constexpr double k_with_rejections = 1 / (1 - target_rejected_share);
/// At least a quarter of the requests of each priority is let through.
constexpr double max_refused_share = 0.75;
/// A rank with a smaller fraction of the requests doesn't count as one of several.
constexpr double min_rank_share = 0.01;
constexpr absl::Duration update_interval = absl::Milliseconds(50);
/// The distribution of requests over ranks and callers changes more slowly than the load;
/// an entry of a large fleet gets few requests per second of a pool.
constexpr absl::Duration load_time_constant = absl::Seconds(4);
constexpr absl::Duration erase_interval = absl::Seconds(1);
/// Counts below this are erased, which is 18 s after a single request.
constexpr double min_count = 0.01;
/// Further callers of a rank are only counted in its total and not refused.
constexpr std::size_t max_callers = 1024;
/// Weight of an attempt in the usual time.
constexpr double usual_weight = 0.002;

} // namespace

double load_shedder::recent_count::value(absl::Time now) const
{
    return value_ * std::exp(-absl::FDivDuration(now - last_, load_time_constant));
}

void load_shedder::count_attempt(absl::Time now, bool is_rejected, absl::Duration elapsed)
{
    rejected_.add(now, is_rejected ? 1 : 0);
    if (is_rejected) {
        return;
    }
    const double seconds = absl::ToDoubleSeconds(elapsed);
    attempt_seconds_.add(now, seconds);
    usual_seconds_ = usual_seconds_ == 0
                         ? seconds
                         : usual_seconds_ + (seconds - usual_seconds_) * usual_weight;
}

bool load_shedder::refuses(
    absl::Time now,
    std::uint32_t rank,
    const core::caller_id& caller,
    core::random_source& random)
{
    rank_load& load = ranks_[rank];
    load.requests.add(now);
    double count = 0;
    const auto known = load.callers.find(caller);
    if (known != load.callers.end() || load.callers.size() < max_callers) {
        recent_count& it =
            known != load.callers.end() ? known->second : load.callers[caller];
        it.add(now);
        count = it.value(now);
    }
    if (now >= next_update_) {
        update_limits(now);
    }
    const double excess =
        refused_share_ > 0 && count > 0 ? 1 - load.caller_limit / count : 0;
    const bool out =
        excess > 0 && std::uniform_real_distribution<>(0, 1)(random) < excess;
    refused_.add(now, out ? 1 : 0);
    return out;
}

bool load_shedder::is_cut(
    absl::Time now, std::uint32_t rank, const core::caller_id& caller) const
{
    const auto load = ranks_.find(rank);
    if (refused_share_ == 0 || load == ranks_.end()) {
        return false;
    }
    const auto known = load->second.callers.find(caller);
    return known != load->second.callers.end() &&
           known->second.value(now) > load->second.caller_limit;
}

void load_shedder::update_limits(absl::Time now)
{
    next_update_ = now + update_interval;
    if (now >= next_erase_) {
        next_erase_ = now + erase_interval;
        erase_old(now);
    }
    const double all = total(now);
    const auto counts = [&](const rank_load& it) {
        return it.requests.value(now) >= min_rank_share * all;
    };
    const auto ranks = std::count_if(
        ranks_.begin(), ranks_.end(), [&](const auto& it) { return counts(it.second); });
    refused_share_ = 0;
    const bool is_known = ranks > 1 && rejected_.is_valid(now);
    is_shedding_ = is_known && (is_shedding_ || rejected_.value() > max_rejected_share);
    if (is_shedding_) {
        const double overload = std::min(1.0, rejected_.value() / target_rejected_share);
        const double k =
            k_without_rejections + (k_with_rejections - k_without_rejections) * overload;
        const double accepted = (1 - refused_.value()) * (1 - rejected_.value());
        refused_share_ = std::max(0.0, 1 - k * accepted);
        is_shedding_ = refused_share_ > 0;
    }
    if (refused_share_ == 0) {
        return;
    }
    double excess = refused_share_ * all;
    for (auto it = ranks_.rbegin(); it != ranks_.rend(); ++it) {
        rank_load& load = it->second;
        const double refused =
            std::min(excess, max_refused_share * load.requests.value(now));
        load.caller_limit = caller_limit(now, load, refused);
        excess -= refused;
    }
}

void load_shedder::erase_old(absl::Time now)
{
    for (auto& [rank, it] : ranks_) {
        absl::erase_if(it.callers, [&](const auto& caller) {
            return caller.second.value(now) < min_count;
        });
    }
    std::erase_if(ranks_, [&](const auto& it) {
        return it.second.requests.value(now) < min_count;
    });
}

double load_shedder::total(absl::Time now) const
{
    double out = 0;
    for (const auto& [rank, it] : ranks_) {
        out += it.requests.value(now);
    }
    return out;
}

/// The limit at which the counts above it sum up to `excess` more than the limit.
double load_shedder::caller_limit(absl::Time now, const rank_load& it, double excess)
{
    std::vector<double> counts;
    counts.reserve(it.callers.size());
    for (const auto& [caller, each] : it.callers) {
        counts.push_back(each.value(now));
    }
    std::sort(counts.begin(), counts.end(), std::greater<>());
    double sum = 0;
    for (std::size_t n = 1; n <= counts.size(); ++n) {
        sum += counts[n - 1];
        const double limit = (sum - excess) / static_cast<double>(n);
        if (n == counts.size() || limit >= counts[n]) {
            return std::max(0.0, limit);
        }
    }
    return 0;
}

double load_shedder::share_of(absl::Time now, std::uint32_t rank) const
{
    const auto found = ranks_.find(rank);
    return found == ranks_.end() ? 0 : found->second.requests.value(now) / total(now);
}

double load_shedder::slowdown() const
{
    return usual_seconds_ > 0 ? attempt_seconds_.value() / usual_seconds_ : 1;
}

absl::Duration load_shedder::time_to_capacity() const
{
    return absl::Seconds(std::max(0.0, attempt_seconds_.value() - usual_seconds_));
}

} // namespace cuminpitch::admission
