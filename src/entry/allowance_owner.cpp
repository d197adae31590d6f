#include "entry/allowance_owner_priv.hpp"

#include <algorithm>
#include <cmath>

namespace cuminpitch::entry {
namespace {

/// An entry that wasn't heard for this long counts as silent. Control confirms the state
/// of an entry each 500 ms.
constexpr absl::Duration contact_timeout = absl::Milliseconds(1200);
constexpr absl::Duration query_interval = absl::Milliseconds(250);
/// Time until an owner that was partitioned from all others grants only its share for
/// that case, and until its permits have expired.
constexpr absl::Duration takeover_time = absl::Milliseconds(1500);
/// Entries may have different lists of entries, and thus ask different owners, for this
/// long after a change.
constexpr absl::Duration list_change_time = absl::Seconds(2);
/// Together with start_tokens(), within the tenth by which a window may exceed its limit.
constexpr double takeover_share = 0.3;
constexpr double disconnected_share = 0.1;
/// Tokens of an owner that doesn't know what others have granted: enough for a small
/// customer, and a tenth of a second of a large one.
constexpr double min_start_tokens = 5;
constexpr double start_seconds = 0.1;
/// Bucket of a customer without a burst, so that permits can be granted for some time.
constexpr absl::Duration min_capacity_time = absl::Milliseconds(250);
constexpr absl::Duration unused_ledger_time = absl::Seconds(10);
/// The entry was suspended if a tick is this late.
constexpr absl::Duration suspension_time = absl::Seconds(1);
/// Time constant of the refused requests that are expected to come back.
constexpr absl::Duration refusal_memory = absl::Milliseconds(500);

double capacity_of(const allowance& it)
{
    return std::max({1.0, it.burst, it.rate.requests_in(min_capacity_time)});
}

std::size_t
position_in(const std::vector<control::entry_record>& owners, const core::instance_id& id)
{
    const auto it = std::find_if(
        owners.begin(), owners.end(), [&](const auto& each) { return each.id == id; });
    return static_cast<std::size_t>(it - owners.begin());
}

} // namespace

void allowance_owner::set_entries(
    absl::Time now, std::vector<control::entry_record> entries)
{
    earlier_entries_ = std::exchange(entries_, std::move(entries));
    entries_since_ = now;
    for (auto& [customer, it] : ledgers_) {
        it.owners = permit_owners(customer.str(), entries_);
        it.position = position_in(it.owners, self_.id);
    }
}

bool allowance_owner::hears(absl::Time now, const control::entry_record& it) const
{
    const auto found = heard_.find(it.internal);
    return found != heard_.end() && now - found->second < contact_timeout;
}

/// Two partitions must not both have an owner that grants the whole rate: one side has
/// control, at most one has two of three owners. The first owner needs one of the two,
/// any other both.
double allowance_owner::share(absl::Time now, const ledger& it) const
{
    const bool has_control = now - confirmed_ < contact_timeout;
    const bool has_majority =
        it.owners.size() <= 1 ||
        std::any_of(it.owners.begin(), it.owners.end(), [&](const auto& each) {
            return each.id != self_.id && hears(now, each);
        });
    if (it.position == 0) {
        return has_control || has_majority ? 1 : disconnected_share;
    }
    if (!has_control || !has_majority) {
        return disconnected_share;
    }
    if (now - it.alone_since < takeover_time) {
        return takeover_share;
    }
    // An owner before this one grants the rate, but can't reach this one.
    return now - it.heard_elsewhere < contact_timeout ? disconnected_share : 1;
}

double
allowance_owner::start_tokens(absl::Time now, const ledger& it, const allowance& of) const
{
    const double least =
        min_start_tokens + of.rate.requests_in(absl::Seconds(start_seconds));
    const double since_change =
        it.position == 0 ? of.rate.requests_in(now - entries_since_) : 0;
    return std::min(capacity_of(of), least + since_change);
}

allowance_owner::ledger& allowance_owner::open(
    absl::Time now, const core::customer_id& customer, const allowance& of)
{
    const auto found = ledgers_.find(customer);
    if (found != ledgers_.end()) {
        return found->second;
    }
    ledger it{token_bucket(now, 0)};
    it.owners = permit_owners(customer.str(), entries_);
    it.position = position_in(it.owners, self_.id);
    it.tokens = token_bucket(now, start_tokens(now, it, of));
    it.refused_at = now;
    // Before the last change of the entries, another one may have been the first owner,
    // and entries that haven't heard of the change still ask it.
    const auto before = permit_owners(customer.str(), earlier_entries_);
    const bool was_first = before.empty() || before.front().id == self_.id;
    if (it.position == 0 && !was_first && now - entries_since_ < list_change_time) {
        it.tokens = token_bucket(now, std::min(it.tokens.tokens(), min_start_tokens));
    }
    return ledgers_.emplace(customer, std::move(it)).first->second;
}

allowance_owner::answer allowance_owner::grant(
    absl::Time now, const core::customer_id& customer, allowance of, std::uint32_t wanted)
{
    check_suspension(now);
    auto& it = open(now, customer, of);
    const bool was_idle = now - it.used >= contact_timeout;
    it.used = now;
    if (it.position >= it.owners.size()) {
        return {0, absl::ZeroDuration(), true};
    }
    const bool hears_earlier = std::any_of(
        it.owners.begin(),
        it.owners.begin() + static_cast<std::ptrdiff_t>(it.position),
        [&](const auto& each) { return hears(now, each); });
    if (hears_earlier) {
        it.alone_since = absl::InfiniteFuture();
        return {0, absl::ZeroDuration(), true};
    }
    if (it.position > 0) {
        // Meanwhile the first owner may have granted, and tokens have accumulated here.
        if (was_idle || it.alone_since == absl::InfiniteFuture()) {
            it.alone_since = now;
            it.tokens.refill(now);
            it.tokens.limit(start_tokens(now, it, of));
        }
        if (now >= it.next_query) {
            it.next_query = now + query_interval;
            query_others(it, customer);
        }
    }
    const double rate_share = share(now, it);
    const auto rate = of.rate * rate_share;
    it.tokens.set_rate(now, rate, capacity_of(of) * std::min(1.0, rate_share * 2));
    answer out;
    out.granted = std::min(
        wanted,
        static_cast<std::uint32_t>(std::max(0.0, std::floor(it.tokens.tokens()))));
    it.tokens.take(out.granted);
    const double age = absl::FDivDuration(now - it.refused_at, refusal_memory);
    it.refused = it.refused * std::exp(-age) + (wanted - out.granted);
    it.refused_at = now;
    if (out.granted < wanted) {
        const double missing = std::max(1.0, it.refused) - it.tokens.tokens();
        out.expected_wait = absl::Seconds(missing / rate.per_second());
    }
    return out;
}

void allowance_owner::query_others(
    const ledger& it, const std::optional<core::customer_id>& customer)
{
    for (const auto& each : it.owners) {
        if (each.id != self_.id) {
            queries_.push_back({each.internal, customer});
        }
    }
}

bool allowance_owner::hears_earlier(
    absl::Time now, const core::customer_id& customer, const core::endpoint& asker)
{
    bool out = false;
    for (const auto& each : permit_owners(customer.str(), entries_)) {
        if (each.internal == asker) {
            break;
        }
        if (each.id != self_.id) {
            out = out || hears(now, each);
            queries_.push_back({each.internal, std::nullopt});
        }
    }
    return out;
}

void allowance_owner::record_earlier(
    absl::Time now, const core::customer_id& customer, bool is_heard_elsewhere)
{
    if (const auto it = ledgers_.find(customer); it != ledgers_.end()) {
        it->second.heard_elsewhere = is_heard_elsewhere ? now : absl::InfinitePast();
    }
}

void allowance_owner::check_suspension(absl::Time now)
{
    if (now - last_tick_ > suspension_time && last_tick_ != absl::InfinitePast()) {
        for (auto& [customer, it] : ledgers_) {
            it.tokens = token_bucket(now, std::min(it.tokens.tokens(), min_start_tokens));
        }
        entries_since_ = now;
        earlier_entries_ = entries_;
        last_tick_ = now;
    }
}

void allowance_owner::tick(absl::Time now)
{
    check_suspension(now);
    last_tick_ = now;
    absl::erase_if(ledgers_, [&](auto& each) {
        auto& it = each.second;
        it.tokens.refill(now);
        return now - it.used >= unused_ledger_time &&
               it.tokens.tokens() >= it.tokens.capacity();
    });
    if (now >= next_forget_) {
        next_forget_ = now + contact_timeout;
        absl::erase_if(heard_, [&](const auto& each) {
            return now - each.second >= contact_timeout;
        });
    }
    if (now < next_query_ || now - confirmed_ < contact_timeout / 2) {
        return;
    }
    next_query_ = now + query_interval;
    for (const auto& [customer, it] : ledgers_) {
        if (it.position == 0) {
            query_others(it, std::nullopt);
        }
    }
    std::sort(queries_.begin(), queries_.end());
    queries_.erase(std::unique(queries_.begin(), queries_.end()), queries_.end());
}

} // namespace cuminpitch::entry
