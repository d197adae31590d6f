#include "entry/allowances_priv.hpp"

#include <algorithm>
#include <cmath>

namespace cuminpitch::entry {
namespace {

using outcome = request::allowance_decided::outcome;

/// Permits that weren't used expire. The requests of a window exceed those that were
/// granted in it by at most the permits of this time.
constexpr absl::Duration permit_validity = absl::Seconds(1);
/// A response usually takes 0.1 s where entries have a tenth of a core, and several times
/// as long when one is busy. An owner that is asked in vain costs all its customers'
/// rate, so it isn't given up sooner.
constexpr absl::Duration response_timeout = absl::Milliseconds(400);
/// An owner that is back is asked sooner: its substitute redirects to it.
constexpr absl::Duration silent_owner_time = absl::Seconds(5);
/// A request waits at most this long for all owners together.
constexpr absl::Duration max_wait = absl::Seconds(1);
/// Permits are requested in advance for this time of the demand, so that the requests of
/// a customer with two a second or more at this entry seldom wait. Half of the validity,
/// so that few of them expire.
constexpr absl::Duration advance_time = absl::Milliseconds(500);
/// After a refusal the owner is asked again after this time, or when it expects to have a
/// permit, if that is sooner. Bounds the messages of an owner under a burst: four a
/// second of each entry, and one for each permit.
constexpr absl::Duration refusal_time = absl::Milliseconds(250);
constexpr absl::Duration demand_time_constant = absl::Seconds(1);
constexpr absl::Duration unused_account_time = absl::Seconds(10);
constexpr absl::Duration min_retry_after = absl::Milliseconds(100);
constexpr absl::Duration max_retry_after = absl::Seconds(10);

/// Time of a query for a sign of life, which no request for permits has.
constexpr absl::Time query_time = absl::UnixEpoch();

/// Names no customer, since names have no question mark. A message without a customer
/// would concern a server.
core::customer_id no_customer()
{
    return {core::team_id("?"), "?"};
}

const char* to_string(outcome it)
{
    switch (it) {
    case outcome::granted:
        return "granted";
    case outcome::over_allowance:
        return "over-allowance";
    case outcome::unknown:
        break;
    }
    return "unknown";
}

} // namespace

allowances::allowances(
    control::entry_record self, core::random_source random, telemetry::metrics& metrics)
    : self_(std::move(self)), random_(random), metrics_(metrics), owner_(self_)
{
}

void allowances::set_entries(absl::Time now, std::vector<control::entry_record> entries)
{
    entries_ = entries;
    for (auto& [customer, it] : accounts_) {
        it.owners = permit_owners(customer.str(), entries_);
    }
    owner_.set_entries(now, std::move(entries));
}

void allowances::set_declared(std::shared_ptr<const config::declarations> it)
{
    declared_ = std::move(it);
}

std::optional<allowance> allowances::allowance_of(const core::customer_id& customer) const
{
    if (!declared_) {
        return std::nullopt;
    }
    const auto found = declared_->customers.find(customer);
    if (found == declared_->customers.end() || !found->second.rate) {
        return std::nullopt;
    }
    return allowance{*found->second.rate, found->second.burst};
}

void allowances::request(
    absl::Time now, core::request_id id, const core::customer_id& customer)
{
    if (!allowance_of(customer)) {
        decisions_.push_back({id, outcome::granted, absl::ZeroDuration()});
        return;
    }
    const auto [found, is_new] = accounts_.try_emplace(customer);
    auto& it = found->second;
    if (is_new) {
        it.owners = permit_owners(customer.str(), entries_);
    }
    count_demand(now, it);
    if (it.waiting.empty() && it.permits.take(now)) {
        decide(now, it, id, outcome::granted);
        if (!it.awaits_response && now >= it.over_until &&
            2 * it.permits.count(now) < advance_permits(it)) {
            ask(now, customer, it);
        }
        return;
    }
    if (now < it.over_until) {
        decide(now, it, id, outcome::over_allowance);
        return;
    }
    it.waiting.push_back({id, now});
    waiting_.insert(customer);
    if (!it.awaits_response) {
        ask(now, customer, it);
    }
}

void allowances::count_demand(absl::Time now, account& it) const
{
    const double age = absl::FDivDuration(now - it.last_request, demand_time_constant);
    it.demand =
        it.demand * std::exp(-age) + 1 / absl::ToDoubleSeconds(demand_time_constant);
    it.last_request = now;
}

std::uint32_t allowances::advance_permits(const account& it) const
{
    return static_cast<std::uint32_t>(it.demand * absl::ToDoubleSeconds(advance_time));
}

std::size_t allowances::owner_position(absl::Time now, const account& it) const
{
    for (std::size_t i = 0; i < it.owners.size(); ++i) {
        const auto silent = silent_.find(it.owners[i].internal);
        if (silent == silent_.end() || now >= silent->second) {
            return i;
        }
    }
    return 0;
}

void allowances::ask(absl::Time now, const core::customer_id& customer, account& it)
{
    control::permit_request request;
    request.customer = customer;
    const auto advance = advance_permits(it);
    const auto held = std::min(advance, it.permits.count(now));
    request.wanted = static_cast<std::uint32_t>(it.waiting.size()) + advance - held;
    // The response returns the time in microseconds.
    request.sent = absl::FromUnixMicros(absl::ToUnixMicros(now));
    it.requested = request.sent;
    it.needed = static_cast<std::uint32_t>(it.waiting.size());
    it.awaits_response = true;
    it.asked.reset();
    const auto declared = allowance_of(customer);
    if (!declared) {
        decide_waiting(now, it, outcome::granted);
        waiting_.erase(customer);
        it.awaits_response = false;
        return;
    }
    if (it.owners.empty()) {
        return;
    }
    const auto& owner = it.owners[owner_position(now, it)];
    if (owner.id != self_.id) {
        it.asked = owner.internal;
        out_.push_back({owner.internal, std::move(request)});
        return;
    }
    const auto answer = owner_.grant(now, customer, *declared, request.wanted);
    control::permit_response response;
    response.echo = it.requested;
    response.granted = answer.granted;
    response.expected_wait = answer.expected_wait;
    response.is_redirect = answer.is_redirect;
    accept(now, customer, it, response);
}

void allowances::receive(
    absl::Time now, const net::peer& from, const control::permit_request& it)
{
    owner_.record_contact(now, from.internal);
    control::permit_response response;
    response.customer = it.customer;
    response.echo = it.sent;
    const auto declared = allowance_of(*it.customer);
    // An owner that doesn't have the newest declarations yet is asked again.
    response.is_redirect = !declared && it.wanted > 0;
    if (declared && it.sent == query_time) {
        response.is_redirect = owner_.hears_earlier(now, *it.customer, from.internal);
    }
    if (declared && it.wanted > 0) {
        const auto answer = owner_.grant(now, *it.customer, *declared, it.wanted);
        response.granted = answer.granted;
        response.expected_wait = answer.expected_wait;
        response.is_redirect = answer.is_redirect;
    }
    out_.push_back({from.internal, std::move(response)});
}

void allowances::receive(
    absl::Time now, const net::peer& from, const control::permit_response& it)
{
    owner_.record_contact(now, from.internal);
    silent_.erase(from.internal);
    if (it.echo == query_time) {
        owner_.record_earlier(now, *it.customer, it.is_redirect);
        return;
    }
    const auto found = accounts_.find(*it.customer);
    if (found != accounts_.end()) {
        accept(now, found->first, found->second, it);
    }
}

void allowances::accept(
    absl::Time now,
    const core::customer_id& customer,
    account& it,
    const control::permit_response& response)
{
    it.permits.add(now, response.granted, response.echo + permit_validity);
    if (!it.awaits_response || response.echo != it.requested) {
        return;
    }
    it.awaits_response = false;
    const bool has_expired =
        response.granted > 0 && now >= response.echo + permit_validity;
    if (has_expired) {
        return; // tick() asks again, or gives up.
    }
    if (response.is_redirect) {
        // An owner that answers others but not this entry is asked again.
        for (const auto& each : it.owners) {
            silent_.erase(each.internal);
        }
        return;
    }
    while (!it.waiting.empty() && it.permits.take(now)) {
        decide(now, it, it.waiting.front().id, outcome::granted);
        it.waiting.pop_front();
    }
    // Fewer permits in advance than wanted are no reason to refuse.
    if (response.granted < it.needed) {
        it.room_at = now + response.expected_wait;
        it.over_until = std::min(now + refusal_time, it.room_at);
        decide_waiting(now, it, outcome::over_allowance);
    }
    if (it.waiting.empty()) {
        waiting_.erase(customer);
    } else {
        ask(now, customer, it);
    }
}

void allowances::decide_waiting(absl::Time now, account& it, outcome what)
{
    for (const auto& each : std::exchange(it.waiting, {})) {
        decide(now, it, each.id, what);
    }
}

/// The longer the customer exceeds its rate, the more of its requests return.
void allowances::decide(
    absl::Time now, const account& it, core::request_id id, outcome what)
{
    constexpr std::uint64_t spread_steps = 1000;
    request::allowance_decided out{id, what, absl::ZeroDuration()};
    if (what == outcome::over_allowance) {
        const auto wait = std::clamp(it.room_at - now, min_retry_after, max_retry_after);
        out.retry_after = wait + wait * (random_() % spread_steps) / (4 * spread_steps);
    }
    metrics_.add("cuminpitch_allowance_decisions_total", {{"outcome", to_string(what)}});
    decisions_.push_back(out);
}

void allowances::tick(absl::Time now)
{
    owner_.tick(now);
    for (auto& it : owner_.take_queries()) {
        control::permit_request query;
        query.customer = it.customer ? std::move(*it.customer) : no_customer();
        query.sent = query_time;
        out_.push_back({it.to, std::move(query)});
    }
    for (const auto& customer : std::vector(waiting_.begin(), waiting_.end())) {
        auto& it = accounts_.at(customer);
        if (it.awaits_response && now - it.requested >= response_timeout) {
            it.awaits_response = false;
            if (it.asked) {
                silent_[*it.asked] = now + silent_owner_time;
                metrics_.add("cuminpitch_allowance_owners_lost_total");
            }
        }
        if (now - it.waiting.front().since >= max_wait) {
            decide_waiting(now, it, outcome::unknown);
            waiting_.erase(customer);
        } else if (!it.awaits_response) {
            ask(now, customer, it);
        }
    }
    absl::erase_if(silent_, [&](const auto& it) { return now >= it.second; });
    absl::erase_if(accounts_, [&](const auto& each) {
        const auto& it = each.second;
        return it.waiting.empty() && now - it.last_request >= unused_account_time;
    });
    metrics_.set(
        "cuminpitch_allowance_ledgers", static_cast<double>(owner_.ledgers()), {});
}

} // namespace cuminpitch::entry
