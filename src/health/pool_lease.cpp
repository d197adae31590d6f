#include "cuminpitch/health/pool_lease.hpp"

#include <algorithm>
#include <utility>

namespace cuminpitch::health {
namespace {

// Delay per rank in the list before an entry requests the lease, so that usually only one
// requests it.
constexpr absl::Duration rank_delay = absl::Milliseconds(300);

// An entry that got no majority within this time stops renewing its promise to itself,
// which would keep others from getting the lease.
constexpr absl::Duration attempt_timeout = absl::Milliseconds(1200);

} // namespace

pool_lease::pool_lease(
    core::instance_id self,
    std::uint64_t incarnation,
    absl::Time created,
    absl::Duration length)
    : self_(std::move(self)), incarnation_(incarnation), length_(length),
      earliest_grant_(created + clock_rate_margin * length)
{
}

void pool_lease::set_list(absl::Time now, const control::pool_assignment& it)
{
    if (it.list_revision == list_.list_revision) {
        return;
    }
    list_ = it;
    // Grants at the former list revision don't count at this one. A lease acquired with
    // them remains valid until it ends.
    grants_.clear();
    if (!is_member(self_)) {
        request_sent_.reset();
        attempt_started_.reset();
        held_until_ = std::min(held_until_, now);
    }
}

bool pool_lease::is_member(const core::instance_id& it) const
{
    return std::find(list_.entries.begin(), list_.entries.end(), it) !=
           list_.entries.end();
}

bool pool_lease::may_promise(
    absl::Time now, const core::instance_id& holder, std::uint64_t incarnation) const
{
    if (now < earliest_grant_ || !list_confirmed_ || !is_member(self_) ||
        !is_member(holder)) {
        return false;
    }
    const bool same_holder =
        promise_ && promise_->holder == holder && promise_->incarnation == incarnation;
    return !promise_ || now >= promise_->expiry || same_holder;
}

void pool_lease::tick(
    absl::Time now,
    const absl::btree_set<core::instance_id>& reachable,
    const absl::btree_set<core::instance_id>& candidates,
    core::random_source& random)
{
    const bool promised = promise_ && now < promise_->expiry;
    if (was_promised_ && !promised && now >= earliest_grant_) {
        was_promised_ = false;
        std::int64_t rank = 0;
        for (const auto& it : list_.entries) {
            if (it == self_) {
                break;
            }
            rank += candidates.contains(it) ? 1 : 0;
        }
        const std::uniform_int_distribution<std::int64_t> jitter(0, 100);
        next_attempt_ = now + rank * rank_delay +
                        absl::Milliseconds(std::uniform_int_distribution<std::int64_t>(
                            jitter.a(), jitter.b())(random));
    }
    was_promised_ = was_promised_ || promised;

    std::size_t reachable_count = 1;
    for (const auto& it : list_.entries) {
        reachable_count += it != self_ && reachable.contains(it) ? 1 : 0;
    }
    const bool other_candidates =
        std::any_of(candidates.begin(), candidates.end(), [&](const auto& it) {
            return it != self_ && is_member(it);
        });
    const bool wants_lease = is_member(self_) &&
                             reachable_count > list_.entries.size() / 2 &&
                             (candidates.contains(self_) || !other_candidates);
    const bool must_wait = !is_held(now) && !attempt_started_ && now < next_attempt_;
    if (!wants_lease || must_wait || !may_promise(now, self_, incarnation_)) {
        request_sent_.reset();
        attempt_started_.reset();
        return;
    }
    if (is_held(now) || !attempt_started_) {
        attempt_started_ = now;
    } else if (now - *attempt_started_ > attempt_timeout) {
        attempt_started_.reset();
        request_sent_.reset();
        next_attempt_ = now + clock_rate_margin * length_ +
                        absl::Milliseconds(
                            std::uniform_int_distribution<std::int64_t>(0, 1000)(random));
        return;
    }
    renew(now);
}

void pool_lease::renew(absl::Time now)
{
    promise_ = promise{self_, incarnation_, now, now + clock_rate_margin * length_};
    was_promised_ = true;
    request_sent_ = now;
    grants_[self_] = now;
    count_grants();
}

std::optional<lease_request> pool_lease::request() const
{
    if (!request_sent_) {
        return std::nullopt;
    }
    return lease_request{*request_sent_};
}

void pool_lease::on_request(
    absl::Time now,
    const core::instance_id& from,
    std::uint64_t incarnation,
    core::revision list_revision,
    const lease_request& it)
{
    if (list_revision != list_.list_revision || !may_promise(now, from, incarnation)) {
        return;
    }
    const bool is_renewal =
        promise_ && promise_->holder == from && promise_->incarnation == incarnation;
    const auto sent = is_renewal ? std::max(promise_->request_sent, it.sent) : it.sent;
    promise_ = promise{from, incarnation, sent, now + clock_rate_margin * length_};
    was_promised_ = true;
}

std::optional<lease_grant>
pool_lease::grant_for(absl::Time now, const core::instance_id& peer)
{
    if (!promise_ || now >= promise_->expiry || promise_->holder != peer) {
        return std::nullopt;
    }
    return lease_grant{promise_->incarnation, promise_->request_sent};
}

void pool_lease::on_grant(
    const core::instance_id& from, core::revision list_revision, const lease_grant& it)
{
    if (it.holder_incarnation != incarnation_ || !is_member(from) ||
        list_revision != list_.list_revision) {
        return;
    }
    auto& newest = grants_.try_emplace(from, absl::InfinitePast()).first->second;
    newest = std::max(newest, it.request_sent);
    count_grants();
}

void pool_lease::count_grants()
{
    std::vector<absl::Time> sent;
    for (const auto& [id, at] : grants_) {
        sent.push_back(at);
    }
    const std::size_t majority = list_.entries.size() / 2 + 1;
    if (!is_member(self_) || sent.size() < majority) {
        return;
    }
    std::sort(sent.begin(), sent.end(), std::greater<>());
    held_until_ = std::max(held_until_, sent[majority - 1] + length_);
}

std::optional<core::instance_id> pool_lease::promised_to(absl::Time now) const
{
    if (!promise_ || now >= promise_->expiry) {
        return std::nullopt;
    }
    return promise_->holder;
}

} // namespace cuminpitch::health
