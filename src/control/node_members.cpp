// Membership of the group of control instances.

#include "control/node_impl_priv.hpp"

#include "cuminpitch/wire/group_codec.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace cuminpitch::control {
namespace {

constexpr absl::Duration relay_interval = absl::Seconds(2);
constexpr absl::Duration hello_interval = absl::Seconds(1);
/// Changes must be in force within two seconds even during a leader election. The minimum
/// is at least four heartbeat intervals, so that one late heartbeat starts no election.
constexpr absl::Duration quick_election_min = absl::Milliseconds(400);
constexpr absl::Duration quick_election_max = absl::Milliseconds(800);
/// An election round takes a few milliseconds plus one disk sync.
constexpr absl::Duration quick_start_min = absl::Milliseconds(100);
constexpr absl::Duration quick_start_max = absl::Milliseconds(250);

} // namespace

void admit_members(node_options& it)
{
    it.admits_members = true;
    it.relay_interval = relay_interval;
    it.hello_interval = hello_interval;
    it.replica.election_timeout_min = quick_election_min;
    it.replica.election_timeout_max = quick_election_max;
    it.replica.start_timeout_min = quick_start_min;
    it.replica.start_timeout_max = quick_start_max;
}

void node::impl::receive(const net::peer& from, const group_hello& it)
{
    if (!directory_.receive(now_, from, it)) {
        log_ignored_hello(from, it);
    }
    if (!options_.admits_members) {
        return;
    }
    discovered_[from.internal] = now_;
    for (const auto& endpoint : it.known) {
        discovered_[endpoint] = now_;
    }
}

/// Logs the first of several ignored hellos: a single one was overtaken on its way.
void node::impl::log_ignored_hello(const net::peer& from, const group_hello& it)
{
    metrics_.add("cuminpitch_ignored_hellos_total");
    const auto* known = directory_.at(from.internal);
    constexpr std::size_t logged_count = 2;
    if (known->ignored_hellos == logged_count) {
        log(telemetry::severity::warning,
            "hellos ignored",
            {{"id", it.id.str()},
             {"identity", it.identity.str()},
             {"clock_behind_ms", absl::ToInt64Milliseconds(known->clock - it.clock)}});
    }
}

void node::impl::send_hellos()
{
    const auto group_endpoints =
        options_.admits_members ? member_endpoints() : std::vector<core::endpoint>();
    for (const auto& peer : known_instances()) {
        const auto* known = directory_.at(peer);
        group_hello it;
        it.identity = options_.identity;
        it.id = options_.id;
        it.http = options_.http;
        it.failure_domain = options_.failure_domain;
        it.revision = state_.revision();
        if (!replica_->members().empty()) {
            it.group = consensus::group_of(replica_->members());
        }
        it.start = options_.start;
        it.clock = now_;
        if (known != nullptr) {
            it.echo = known->clock;
        }
        it.known = group_endpoints;
        actions_.emplace_back(action::send_frame{
            peer, net::frame{net::channel::group, wire::encode(group_message(it))}});
    }
}

/// A known instance that returns with a new identity has lost its disk. It is added as a
/// learner and replaces the voter with its old identity once it has caught up. With
/// `admits_members` an instance with an unknown name is added as well and replaces no
/// voter.
void node::impl::reconcile_members()
{
    if (!is_leader()) {
        return;
    }
    if (options_.admits_members) {
        remove_silent_member();
    }
    for (const auto& [internal, it] : directory_.instances()) {
        const auto& members = replica_->members();
        const bool is_present = now_ - it.last_heard < contact_time;
        // The initial voters know each other only by endpoint, so it serves as the name.
        const auto name =
            options_.admits_members ? core::instance_id(internal.str()) : it.id;
        const bool is_known =
            options_.admits_members || members.find_voter(name) != nullptr;
        if (!is_present || members.is_voter(it.identity) || !is_known) {
            continue;
        }
        const auto* learner = members.find(it.identity);
        const consensus::member joining{
            it.identity, name, internal, consensus::member_role::learner};
        const auto change =
            learner == nullptr ? consensus::member_change(consensus::add_learner{joining})
                               : consensus::promote_learner{it.identity};
        // Rejected while another change is in flight or the learner lags; retried at the
        // next hello.
        if (replica_->change_members(now_, change)) {
            log(telemetry::severity::info,
                learner == nullptr ? "adding learner" : "replacing voter",
                {{"id", it.id.str()}, {"identity", it.identity.str()}});
            return;
        }
    }
}

/// Returns the time of the last message from a voter. Hellos count too, so that a new
/// leader knows how long a voter has been silent.
absl::Time node::impl::last_heard(const consensus::member& it) const
{
    if (it.id == options_.identity) {
        return now_;
    }
    const auto* known = directory_.at(it.internal);
    const bool is_same = known != nullptr && known->identity == it.id;
    return std::max(
        {replica_->last_contact(it.id).value_or(absl::InfinitePast()),
         is_same ? known->last_heard : absl::InfinitePast(),
         started_});
}

std::vector<heard_member> node::impl::heard_members() const
{
    std::vector<heard_member> out;
    for (const auto& it : replica_->members().members()) {
        out.push_back({&it, last_heard(it)});
    }
    return out;
}

void node::impl::remove_silent_member()
{
    // A new leader has heard from the members that are in contact with it by then.
    constexpr absl::Duration settling_time = absl::Seconds(1);
    if (now_ < leader_since_ + settling_time) {
        return;
    }
    const auto removed = member_to_remove(
        now_,
        heard_members(),
        {options_.silent_voter_timeout,
         options_.surplus_voter_timeout,
         options_.declared_losses});
    if (removed &&
        replica_->change_members(now_, consensus::remove_member{removed->id})) {
        log(telemetry::severity::warning,
            removed->role == consensus::member_role::voter ? "removing silent voter"
                                                           : "removing silent learner",
            {{"id", removed->name.str()},
             {"identity", removed->id.str()},
             {"silent_ms", absl::ToInt64Milliseconds(now_ - last_heard(*removed))}});
    }
}

std::vector<core::endpoint> node::impl::member_endpoints() const
{
    std::vector<core::endpoint> result;
    for (const auto& it : replica_->members().members()) {
        result.push_back(it.internal);
    }
    std::sort(result.begin(), result.end());
    return result;
}

/// Returns all instances to send hellos to: the configured peers and, with
/// `admits_members`, the members and the instances that others named recently.
std::vector<core::endpoint> node::impl::known_instances() const
{
    constexpr absl::Duration discovery_timeout = absl::Seconds(60);
    auto result = options_.peers;
    if (options_.admits_members) {
        const auto members = member_endpoints();
        result.insert(result.end(), members.begin(), members.end());
        for (const auto& [endpoint, when] : discovered_) {
            if (now_ - when < discovery_timeout) {
                result.push_back(endpoint);
            }
        }
        std::sort(result.begin(), result.end());
        result.erase(std::unique(result.begin(), result.end()), result.end());
        std::erase(result, options_.internal);
    }
    return result;
}

/// Logs the size of the group at its leader whenever it changes.
void node::impl::log_group_size()
{
    const auto now = is_leader() ? size_of(now_, heard_members()) : group_size();
    if (std::exchange(logged_size_, now) == now || !is_leader()) {
        return;
    }
    log(telemetry::severity::info,
        "group size",
        {{"voters", static_cast<std::int64_t>(now.voters)},
         {"in_contact", static_cast<std::int64_t>(now.in_contact)},
         {"learners", static_cast<std::int64_t>(now.learners)},
         {"bearable_losses", static_cast<std::int64_t>(now.bearable_losses())},
         {"declared_losses", static_cast<std::int64_t>(options_.declared_losses)}});
}

std::string node::impl::silent_voters() const
{
    std::string out;
    for (const auto& it : replica_->members().members()) {
        if (it.role != consensus::member_role::voter || it.id == options_.identity) {
            continue;
        }
        const auto* known = directory_.at(it.internal);
        const bool is_same = known != nullptr && known->identity == it.id;
        if (is_same && now_ - known->last_heard < absl::Seconds(1)) {
            continue;
        }
        const std::string silent =
            is_same
                ? absl::StrCat(absl::ToInt64Milliseconds(now_ - known->last_heard), "ms")
                : "never";
        absl::StrAppend(&out, out.empty() ? "" : ",", it.internal.str(), "=", silent);
    }
    return out;
}

} // namespace cuminpitch::control
