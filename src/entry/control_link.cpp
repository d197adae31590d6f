#include "entry/control_link_priv.hpp"

#include "cuminpitch/core/hash.hpp"
#include "cuminpitch/wire/control_codec.hpp"

#include <algorithm>
#include <utility>

namespace cuminpitch::entry {
namespace {

node_action send_to(const core::endpoint& to, const control::message& message)
{
    return action::send_frame{
        to, net::frame{net::channel::control, wire::encode(message)}};
}

/// Whether this is an answer to a report, whose update follows separately.
bool is_empty(const control::update& it)
{
    const auto* step = std::get_if<control::delta>(&it);
    return step != nullptr && step->commands.empty();
}

} // namespace

control_link::control_link(const node_options& options, control::compile_function compile)
    : options_(options), control_(options.control), replica_(std::move(compile)),
      // Entries start with different control instances to distribute the load.
      target_(
          core::hash64(options.self.id.str()) %
          std::max<std::size_t>(options.control.size(), 1))
{
}

control::sync_request control_link::make_request(absl::Time now)
{
    control::sync_request it;
    it.entry = options_.self;
    it.incarnation = options_.incarnation;
    it.in_force = replica_.revision();
    it.draining = draining_;
    it.control_hash = control::endpoints_hash(control_);
    it.named_hash = control::endpoints_hash(named_);
    if (now >= next_contacts_) {
        next_contacts_ = now + options_.contacts_interval;
        for (const auto& [id, contact_time] : last_contacts_) {
            it.contacts.push_back({id, now - contact_time});
        }
    }
    return it;
}

std::vector<node_action> control_link::tick(absl::Time now)
{
    std::vector<node_action> out;
    started_ = std::min(started_, now);
    if (now - started_ >= options_.start_window) {
        apply_stale_updates();
    }
    if (now < next_request_ || control_.empty()) {
        return out;
    }
    const bool is_starting = replica_.revision() == core::revision() &&
                             options_.start_sync_interval < options_.sync_interval;
    const auto& timeout =
        is_starting ? options_.start_sync_interval : options_.sync_timeout;
    next_request_ =
        now + (is_starting ? options_.start_sync_interval : options_.sync_interval);
    if (unanswered_since_ + timeout <= now) {
        switch_target(now, out);
    }
    unanswered_since_ = std::min(unanswered_since_, now);
    out.push_back(send_to(control_[target_ % control_.size()], make_request(now)));
    const bool is_control_unreachable =
        now - std::max(last_response_, started_) >= options_.peer_query_delay;
    if (is_control_unreachable) {
        ask_peers(out);
    }
    return out;
}

void control_link::switch_target(absl::Time now, std::vector<node_action>& out)
{
    out.push_back(action::write_log{
        telemetry::severity::warning,
        "control instance lost",
        {{"control", control_[target_ % control_.size()].str()},
         {"silent_ms", absl::ToInt64Milliseconds(now - unanswered_since_)},
         {"revision", static_cast<std::int64_t>(replica_.revision().value())}}});
    ++target_;
    is_control_lost_ = true;
    unanswered_since_ = absl::InfiniteFuture();
}

/// The responses also show that this entry is not isolated. Successive calls ask
/// different peers, so that a failed peer does not keep the others from being asked.
void control_link::ask_peers(std::vector<node_action>& out)
{
    std::vector<core::endpoint> peers = options_.peers;
    for (const auto& [id, record] : replica_.view()->entries) {
        if (id != options_.self.id) {
            peers.push_back(record.internal);
        }
    }
    constexpr std::size_t max_peers_asked = 3;
    for (std::size_t i = 0; i < std::min(max_peers_asked, peers.size()); ++i) {
        out.push_back(send_to(
            peers[next_peer_++ % peers.size()],
            control::state_request{replica_.revision()}));
    }
}

std::vector<node_action>
control_link::on_peer_revision(const core::endpoint& peer, core::revision its_revision)
{
    if (its_revision <= replica_.revision()) {
        return {};
    }
    return {send_to(peer, control::state_request{replica_.revision()})};
}

std::vector<node_action> control_link::receive(
    absl::Time now, const net::peer& from, const control::message& received)
{
    std::vector<node_action> out;
    std::visit([&](const auto& message) { on(now, from, message, out); }, received);
    return out;
}

void control_link::on(
    absl::Time, const net::peer&, const control::sync_request&, std::vector<node_action>&)
{
}

void control_link::on(
    absl::Time now,
    const net::peer& from,
    const control::sync_response& response,
    std::vector<node_action>& out)
{
    if (!response.control.empty()) {
        control_ = response.control;
        target_ = 0;
    }
    if (!response.named.empty()) {
        named_ = response.named;
    }
    const bool is_fresh = response.age <= options_.stale_state_limit;
    const auto silent = now - std::max(last_response_, started_);
    const auto before = replica_.revision();
    if (before < response.current) {
        behind_since_ = std::min(behind_since_, now);
    }
    if (is_fresh) {
        if (std::exchange(is_control_lost_, false)) {
            out.push_back(action::write_log{
                telemetry::severity::info,
                "control instance found",
                {{"control", from.internal.str()},
                 {"age_ms", absl::ToInt64Milliseconds(response.age)},
                 {"away_ms",
                  absl::ToInt64Milliseconds(now - std::max(last_response_, started_))}}});
        }
        last_response_ = now;
        unanswered_since_ = absl::InfiniteFuture();
    }
    if (!is_fresh && before == core::revision() &&
        now - started_ < options_.start_window) {
        if (!is_empty(response.update)) {
            stale_updates_.push_back({response.update, response.current});
        }
        return;
    }
    if (is_fresh && !stale_updates_.empty() && !completes_stale_updates(response)) {
        return; // The update that the state lacks follows.
    }
    apply_stale_updates();
    apply(response.update, from, out);
    if (response.confirmed && replica_.revision() >= response.current) {
        confirmed_ = true;
    }
    if (replica_.revision() != before) {
        // Reports the new revision immediately, so that `apply --wait` does not have to
        // wait for the next interval.
        next_request_ = now;
        log_revision(now, silent, out);
    }
    if (replica_.revision() >= response.current) {
        behind_since_ = absl::InfiniteFuture();
    }
}

void control_link::log_revision(
    absl::Time now, absl::Duration silent, std::vector<node_action>& out)
{
    const auto behind = std::max(now - behind_since_, absl::ZeroDuration());
    out.push_back(action::write_log{
        telemetry::severity::info,
        "revision in force",
        {{"revision", static_cast<std::int64_t>(replica_.revision().value())},
         {"behind_ms", absl::ToInt64Milliseconds(behind)},
         {"silent_ms", absl::ToInt64Milliseconds(silent)}}});
}

/// Logs an update that can't be applied: an earlier one hasn't arrived, or its
/// declarations don't compile.
void control_link::apply(
    const control::update& it, const net::peer& from, std::vector<node_action>& out)
{
    if (replica_.apply(it)) {
        return;
    }
    const auto* step = std::get_if<control::delta>(&it);
    out.push_back(action::write_log{
        telemetry::severity::warning,
        "update ignored",
        {{"control", from.internal.str()},
         {"base", static_cast<std::int64_t>(step == nullptr ? 0 : step->base.value())},
         {"revision", static_cast<std::int64_t>(replica_.revision().value())}}});
}

bool control_link::completes_stale_updates(const control::sync_response& response) const
{
    const auto* step = std::get_if<control::delta>(&response.update);
    core::revision known;
    for (const auto& it : stale_updates_) {
        known = std::max(known, it.current);
    }
    return step == nullptr || known >= response.current ||
           (step->base <= known && step->current >= response.current);
}

/// Applies the updates in the order of arrival, because a later one may start at the
/// revision where an earlier one ends.
void control_link::apply_stale_updates()
{
    for (const auto& it : std::exchange(stale_updates_, {})) {
        replica_.apply(it.update);
    }
}

void control_link::on(
    absl::Time,
    const net::peer& from,
    const control::state_request& request,
    std::vector<node_action>& out)
{
    control::state_response response;
    response.current = replica_.revision();
    if (replica_.revision() > request.in_force) {
        response.contents = replica_.contents();
    }
    out.push_back(send_to(from.internal, response));
}

void control_link::on(
    absl::Time now,
    const net::peer&,
    const control::state_response& response,
    std::vector<node_action>& out)
{
    if (!response.contents) {
        return;
    }
    const auto before = replica_.revision();
    replica_.apply(response.contents);
    if (replica_.revision() != before) {
        log_revision(now, now - std::max(last_response_, started_), out);
    }
}

/// Keeps the known instances, because all instances in the settings may be down.
void control_link::set_control(std::vector<core::endpoint> control)
{
    control_.insert(control_.end(), control.begin(), control.end());
    std::sort(control_.begin(), control_.end());
    control_.erase(std::unique(control_.begin(), control_.end()), control_.end());
}

absl::Time control_link::last_contact() const
{
    absl::Time latest = last_response_;
    for (const auto& [id, contact_time] : last_contacts_) {
        latest = std::max(latest, contact_time);
    }
    return latest;
}

} // namespace cuminpitch::entry
