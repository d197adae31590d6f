#include "entry/permit_ledger_priv.hpp"

#include <algorithm>
#include <cmath>

namespace cuminpitch::entry {
namespace {

/// Permits that weren't requested are kept for this long, and one grant contains at most
/// those of this time. A high rate thus takes few messages.
constexpr absl::Duration batch_time = absl::Milliseconds(250);
constexpr absl::Duration min_repeat_interval = absl::Seconds(1);
/// Bounds the requests that one ledger gets from a large fleet.
constexpr double max_repeats_per_s = 40;
/// Time for a repeated request to arrive.
constexpr absl::Duration expiry_margin = absl::Milliseconds(500);

} // namespace

void permit_ledger::set_rate(absl::Time now, core::request_rate rate)
{
    bucket_.set_rate(now, rate, std::max(1.0, rate.requests_in(batch_time)));
}

void permit_ledger::add(absl::Time now, const request& it)
{
    const auto known =
        std::find_if(waiting_.begin(), waiting_.end(), [&](const waiting_request& other) {
            return other.what.from == it.from;
        });
    auto& to = known == waiting_.end() ? waiting_.emplace_back() : *known;
    to = {it, now, now + repeat_after() + expiry_margin};
}

std::vector<permit_ledger::grant> permit_ledger::take_grants(absl::Time now)
{
    bucket_.refill(now);
    std::erase_if(waiting_, [&](const waiting_request& it) { return it.expires <= now; });
    std::vector<grant> out;
    while (bucket_.tokens() >= 1 && !waiting_.empty()) {
        const auto share = bucket_.capacity() / static_cast<double>(waiting_.size());
        const auto most = std::min(bucket_.tokens(), std::max(1.0, std::floor(share)));
        auto& chosen = choose();
        const auto count = std::min(chosen.what.wanted, static_cast<std::uint32_t>(most));
        out.push_back({chosen.what.from, chosen.what.sent, now - chosen.received, count});
        bucket_.take(count);
        std::swap(chosen, waiting_.back());
        waiting_.pop_back();
    }
    return out;
}

permit_ledger::waiting_request& permit_ledger::choose()
{
    std::uint64_t wanted = 0;
    for (const auto& it : waiting_) {
        wanted += it.what.wanted;
    }
    std::uint64_t position = random_() % wanted;
    for (auto& it : waiting_) {
        if (position < it.what.wanted) {
            return it;
        }
        position -= it.what.wanted;
    }
    return waiting_.back();
}

absl::Duration permit_ledger::expected_wait() const
{
    const double missing = static_cast<double>(waiting_.size()) - bucket_.tokens();
    return absl::Seconds(std::max(0.0, missing) / bucket_.rate().per_second());
}

absl::Duration permit_ledger::repeat_after() const
{
    const auto of_all =
        absl::Seconds(static_cast<double>(waiting_.size()) / max_repeats_per_s);
    return std::max(min_repeat_interval, of_all);
}

} // namespace cuminpitch::entry
