#include "control/node_impl_priv.hpp"

#include "cuminpitch/wire/control_codec.hpp"

#include <absl/strings/numbers.h>

#include <algorithm>
#include <iterator>

namespace cuminpitch::control {
namespace {

constexpr std::size_t history_answer_limit = 1000;

std::uint64_t query_number(const http::request& message, std::string_view name)
{
    std::uint64_t value = 0;
    const bool is_number = absl::SimpleAtoi(message.query_value(name), &value);
    return is_number ? value : 0;
}

} // namespace

bool node::impl::answer_locally(core::request_id id, const http::request& message)
{
    if (message.path == "/metrics") {
        metrics_.set(
            "cuminpitch_revision", static_cast<double>(state_.revision().value()));
        metrics_.set("cuminpitch_is_leader", is_leader() ? 1 : 0);
        set_member_metrics();
        metrics_.set(
            "cuminpitch_log_entries",
            static_cast<double>(
                replica_->last_index().value() - replica_->snapshot_index().value()));
        set_memory_metrics();
        respond(id, http::metrics_response(metrics_.exposition()));
        return true;
    }
    if (message.path == "/v1/init") {
        answer_init(id, message);
        return true;
    }
    return false;
}

void node::impl::set_memory_metrics()
{
    const auto set = [this](const char* part, std::size_t bytes) {
        metrics_.set(
            "cuminpitch_memory_bytes", static_cast<double>(bytes), {{"part", part}});
    };
    set("history", state_.history_bytes());
    set("recent_commands", state_.recent_command_bytes());
    set("log", replica_->log_bytes());
    set("snapshot", replica_->snapshot_bytes());
    set("waiting_documents", waiting_document_bytes_);
}

void node::impl::set_member_metrics()
{
    const auto group = size_of(now_, heard_members());
    const auto set = [this](const char* name, std::size_t count) {
        metrics_.set(name, static_cast<double>(count));
    };
    set("cuminpitch_voters", group.voters);
    set("cuminpitch_silent_voters", group.voters - group.in_contact);
    set("cuminpitch_learners", group.learners);
    set("cuminpitch_bearable_losses", group.bearable_losses());
    set("cuminpitch_declared_losses", options_.declared_losses);
}

void node::impl::answer_request(const event::operator_request& it)
{
    const http::request& message = *it.message;
    const std::string call = message.method + " " + message.path;
    if (call == "GET /v1/settings") {
        respond(it.id, settings_answer(state_, message.query_value("prefix")));
    } else if (call == "GET /v1/changes") {
        const auto limit = query_number(message, "limit");
        respond(
            it.id,
            changes_answer(state_.changes_after(
                core::revision(query_number(message, "after")),
                limit == 0 ? history_answer_limit
                           : std::min<std::size_t>(limit, history_answer_limit))));
    } else if (call == "GET /v1/status") {
        answer_status(it.id, message);
    } else if (call == "POST /v1/changes") {
        answer_change(it);
    } else if (call == "POST /v1/reassign") {
        answer_reassign(it.id, message);
    } else {
        respond(it.id, error_answer(404, "unknown path or method"));
    }
}

void node::impl::answer_change(const event::operator_request& it)
{
    const auto parsed = parse_change(it.message->body, it.wall_clock_ms);
    if (const auto* why = std::get_if<malformed_body>(&parsed)) {
        respond(it.id, error_answer(400, why->reason));
        return;
    }
    const auto& requested = std::get<change>(parsed);
    if (const auto known = state_.find_outcome(requested.id)) {
        respond(it.id, outcome_answer(*known));
        return;
    }
    propose_for(it.id, requested);
}

void node::impl::answer_reassign(core::request_id id, const http::request& message)
{
    const auto parsed = parse_reassign(message.body);
    if (const auto* why = std::get_if<malformed_body>(&parsed)) {
        respond(id, error_answer(400, why->reason));
        return;
    }
    propose_for(id, std::get<set_assignment>(parsed));
}

void node::impl::propose_for(core::request_id id, const command& it)
{
    const auto proposed = replica_->propose(now_, wire::encode(it));
    if (!proposed) {
        respond(id, unknown_outcome_answer(false, proposed.error().message()));
        return;
    }
    pending_proposals_[proposed.value().index] = {
        id, proposed.value().term, now_ + options_.proposal_timeout};
}

void node::impl::finish_proposal(
    core::log_index index, core::term term, const outcome& it)
{
    const auto found = pending_proposals_.find(index);
    if (found == pending_proposals_.end()) {
        return;
    }
    respond(
        found->second.request,
        found->second.term == term
            ? outcome_answer(it)
            : unknown_outcome_answer(false, "a log entry of another leader replaced it"));
    pending_proposals_.erase(found);
}

void node::impl::answer_init(core::request_id id, const http::request& message)
{
    const auto parsed = parse_init(message.body);
    if (const auto* why = std::get_if<malformed_body>(&parsed)) {
        respond(id, error_answer(400, why->reason));
        return;
    }
    std::vector<consensus::member> voters;
    for (const auto& internal : std::get<std::vector<core::endpoint>>(parsed)) {
        if (internal == options_.internal) {
            voters.push_back({options_.identity, options_.id, internal});
        } else if (const auto* it = directory_.at(internal)) {
            voters.push_back({it->identity, it->id, internal});
        } else {
            respond(id, error_answer(503, "no contact with " + internal.str() + " yet"));
            return;
        }
    }
    const bool is_in_group = !replica_->members().empty();
    const consensus::member_set wanted(voters);
    if (is_in_group) {
        const bool is_same = replica_->members() == wanted;
        respond(
            id,
            is_same ? http::json_response(200, R"({"outcome":"formed"})")
                    : error_answer(409, "this instance is in another group"));
        return;
    }
    if (wanted.find(options_.identity) == nullptr) {
        respond(
            id, error_answer(400, "instances must include " + options_.internal.str()));
        return;
    }
    // If another instance is already in a group, this one has lost its disk and must join
    // that group instead.
    for (const auto& it : wanted.members()) {
        const auto* known = directory_.at(it.internal);
        if (known != nullptr && known->group != consensus::group_id() &&
            known->group != consensus::group_of(wanted)) {
            respond(id, error_answer(409, it.internal.str() + " is in another group"));
            return;
        }
    }
    actions_.emplace_back(action::form_group{id, wanted});
}

void node::impl::answer_status(core::request_id id, const http::request& message)
{
    fleet_status it;
    it.revision = state_.revision();
    it.term = replica_->term();
    if (const auto at = leader()) {
        it.leader = at->id;
    }
    it.instances = control_instances();
    if (controller_) {
        auto entries = entry_instances();
        std::move(entries.begin(), entries.end(), std::back_inserter(it.instances));
        const auto wanted = query_number(message, "revision");
        it.lagging_entries = controller_->lagging_entries(
            *state_.view(), wanted == 0 ? it.revision : core::revision(wanted), now_);
    }
    respond(id, status_answer(it));
}

std::vector<instance_status> node::impl::control_instances() const
{
    std::vector<instance_status> result;
    const auto age = [&](absl::Time at) {
        return at == absl::InfinitePast() ? std::optional<absl::Duration>() : now_ - at;
    };
    instance_status own;
    own.id = options_.id;
    own.is_control = true;
    own.failure_domain = options_.failure_domain;
    own.in_force = state_.revision();
    own.contact_in = own.contact_out = absl::ZeroDuration();
    own.draining = stopping_;
    result.push_back(own);
    for (const auto& internal : options_.peers) {
        const auto* known = directory_.at(internal);
        instance_status it;
        it.is_control = true;
        it.id = core::instance_id(internal.str());
        if (known != nullptr) {
            it.id = known->id;
            it.failure_domain = known->failure_domain;
            it.in_force = known->revision;
            it.contact_in = age(known->last_heard);
            it.contact_out = age(known->last_echoed);
        }
        result.push_back(it);
    }
    return result;
}

std::vector<instance_status> node::impl::entry_instances() const
{
    std::vector<instance_status> result;
    absl::btree_map<core::instance_id, absl::Duration> seen_by_peers;
    const auto known = controller_->status(*state_.view(), now_);
    for (const auto& reporter : known) {
        for (const auto& contact : reporter.contacts) {
            const auto age =
                contact.age + reporter.last_contact.value_or(absl::ZeroDuration());
            const auto [it, added] = seen_by_peers.emplace(contact.instance, age);
            it->second = std::min(it->second, age);
        }
    }
    for (const auto& entry : known) {
        instance_status it;
        it.id = entry.id;
        it.failure_domain = entry.failure_domain;
        it.in_force = entry.in_force;
        it.contact_in = entry.last_contact;
        for (const auto& contact : entry.contacts) {
            const bool is_control = contact.instance == options_.id ||
                                    directory_.find(contact.instance) != nullptr;
            if (is_control) {
                it.contact_out = std::min(
                    it.contact_out.value_or(absl::InfiniteDuration()), contact.age);
            }
        }
        if (const auto seen = seen_by_peers.find(entry.id); seen != seen_by_peers.end()) {
            it.peer_contact = seen->second;
        }
        it.draining = entry.draining;
        result.push_back(it);
    }
    return result;
}

} // namespace cuminpitch::control
