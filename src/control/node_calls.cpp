#include "control/node_impl_priv.hpp"

#include "cuminpitch/core/hash.hpp"
#include "cuminpitch/wire/control_codec.hpp"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

namespace cuminpitch::control {
namespace {

/// Callers aren't required to use more addresses than this from one answer.
constexpr std::size_t max_entries_per_answer = 64;

/// Returns the operations that turn the current settings of a team into `wanted`.
std::vector<operation> difference(
    const settings_tree& present, const core::team_id& team, const settings_tree& wanted)
{
    const std::string prefix = "teams/" + team.str() + "/";
    std::vector<operation> result;
    for (auto it = present.lower_bound(prefix);
         it != present.end() && absl::StartsWith(it->first, prefix);
         ++it) {
        if (!wanted.contains(it->first)) {
            result.push_back({it->first, std::nullopt});
        }
    }
    for (const auto& [path, value] : wanted) {
        const auto known = present.find(path);
        if (known == present.end() || known->second != value) {
            result.push_back({path, value});
        }
    }
    return result;
}

/// Returns the approximate size of a document in memory in bytes.
std::size_t memory_bytes(const call::declare& it)
{
    constexpr std::size_t overhead_per_setting = 2 * sizeof(std::string) + 24;
    std::size_t n = it.document.source.size();
    for (const auto& [path, value] : it.settings) {
        n += overhead_per_setting + path.size() + value.size();
    }
    return n;
}

} // namespace

void node::impl::on(api_call& it)
{
    std::visit([&](auto& what) { handle_call(what); }, it);
}

void node::impl::answer(core::request_id id, api_answer it)
{
    actions_.emplace_back(action::answer_call{id, std::move(it)});
}

void node::impl::redirect_to_leader(core::request_id id)
{
    if (const auto to = leader_http(); to && !is_leader()) {
        answer(id, call_result::ask_leader{*to});
    } else {
        answer(
            id,
            call_result::unavailable{
                is_leader() ? "the leader has not applied its log yet"
                            : "no leader is known"});
    }
}

// Calls about documents.

void node::impl::handle_call(call::declare& it)
{
    if (!is_leader() || !replica_->synchronized()) {
        redirect_to_leader(it.id);
        return;
    }
    const std::size_t bytes = memory_bytes(it);
    if (waiting_document_bytes_ + bytes > options_.memory.waiting_documents &&
        !waiting_documents_.empty()) {
        log(telemetry::severity::warning,
            "document refused",
            {{"reason", std::string("waiting documents exceed their memory")},
             {"number", static_cast<std::int64_t>(it.document.number)},
             {"waiting_bytes", static_cast<std::int64_t>(waiting_document_bytes_)}});
        answer(it.id, call_result::unavailable{"too many documents are waiting"});
        return;
    }
    waiting_document_bytes_ += bytes;
    waiting_documents_.push_back({std::move(it), now_ + options_.call_timeout, bytes});
    propose_next_document();
}

node::impl::waiting_document node::impl::take_waiting_document()
{
    auto out = std::move(waiting_documents_.front());
    waiting_documents_.pop_front();
    waiting_document_bytes_ -= out.bytes;
    return out;
}

/// Proposes the next waiting document unless one is in the log without an outcome: the
/// operations of a document are the difference to the settings before it.
void node::impl::propose_next_document()
{
    if (!can_decide()) {
        return;
    }
    const bool is_busy =
        std::any_of(pending_calls_.begin(), pending_calls_.end(), [](const auto& it) {
            return it.second.document.has_value();
        });
    if (is_busy) {
        return;
    }
    while (!waiting_documents_.empty()) {
        auto next = take_waiting_document();
        if (next.call.document.number <= state_.contents().document.number) {
            answer(next.call.id, call_result::accepted{});
            continue;
        }
        propose_document(std::move(next));
        return;
    }
}

void node::impl::propose_document(waiting_document next)
{
    auto& it = next.call;
    change document_change;
    document_change.base_revision = state_.revision();
    document_change.id = core::change_id(absl::StrCat(
        "document-",
        it.document.number,
        "-",
        absl::Hex(core::hash64(it.document.source)),
        "-",
        document_change.base_revision.value()));
    document_change.operations =
        difference(state_.contents().settings, it.team, it.settings);
    document_change.document = it.document;
    const auto proposed = replica_->propose(now_, wire::encode(command(document_change)));
    if (!proposed) {
        answer(it.id, call_result::unavailable{proposed.error().message()});
        return;
    }
    const auto id = it.id;
    pending_calls_[proposed.value().index] = {
        id, proposed.value().term, next.deadline, false, std::move(it)};
}

bool node::impl::finish_call(core::log_index index, core::term term, const outcome& it)
{
    const auto found = pending_calls_.find(index);
    if (found == pending_calls_.end()) {
        return false;
    }
    auto finished = std::move(found->second);
    pending_calls_.erase(found);
    if (finished.answered) {
        return true;
    }
    if (finished.term != term) {
        answer(
            finished.request,
            call_result::unavailable{"a log entry of another leader replaced it"});
    } else if (const auto* wrong = std::get_if<invalid>(&it)) {
        answer(finished.request, call_result::invalid_declarations{wrong->problems});
    } else if (std::holds_alternative<conflict>(it)) {
        // Another operator's change was committed first, so the operations are outdated
        // and the document is proposed again.
        const std::size_t bytes = memory_bytes(*finished.document);
        waiting_document_bytes_ += bytes;
        waiting_documents_.push_front(
            {std::move(*finished.document), finished.deadline, bytes});
    } else {
        answer(finished.request, call_result::accepted{});
    }
    return true;
}

void node::impl::handle_call(call::read_document& it)
{
    if (!is_leader() || !replica_->synchronized()) {
        if (is_leader()) {
            log_unanswered_read("no-entry-of-this-term", absl::ZeroDuration());
        } else if (!leader_http()) {
            log_unanswered_read(
                leader() ? "leader-address-unknown" : "no-leader", absl::ZeroDuration());
        }
        redirect_to_leader(it.id);
        return;
    }
    pending_reads_.push_back({it.id, now_, replica_->commit_index()});
}

/// A leader may have been replaced without noticing it. A read is therefore answered only
/// once a majority has answered a heartbeat that was sent after the read arrived, and
/// everything that was committed at its arrival has been applied.
void node::impl::answer_reads()
{
    if (pending_reads_.empty()) {
        return;
    }
    const absl::Time confirmed =
        replica_->synchronized() ? replica_->majority_contact() : absl::InfinitePast();
    while (!pending_reads_.empty()) {
        const auto& next = pending_reads_.front();
        const bool is_applied = applied_index_ >= next.commit_index;
        if (next.received_at <= confirmed && is_applied) {
            answer(
                next.request, call_result::newest_document{state_.contents().document});
        } else if (!is_leader() || now_ >= next.received_at + options_.call_timeout) {
            log_unanswered_read(
                !is_leader()  ? "leader-changed"
                : !is_applied ? "state-not-applied"
                              : "no-majority",
                now_ - next.received_at);
            answer(
                next.request,
                call_result::unavailable{"no majority confirmed the state"});
        } else {
            return;
        }
        pending_reads_.pop_front();
    }
}

void node::impl::log_unanswered_read(const char* reason, absl::Duration waited)
{
    log(telemetry::severity::warning,
        "read not answered",
        {{"reason", std::string(reason)},
         {"waited_ms", absl::ToInt64Milliseconds(waited)},
         {"term", static_cast<std::int64_t>(replica_->term().value())},
         {"silent_voters", silent_voters()}});
}

// Announcements of backend servers.

void node::impl::handle_call(call::announce& it)
{
    auto& server = it.server.announcement;
    const auto& known = state_.contents().servers;
    if (server.state == upstream::availability::gone && server.incarnation == 0) {
        if (const auto found = known.find(server.server); found != known.end()) {
            server.incarnation = found->second.announcement.incarnation;
        }
    }
    if (effect_of(known, it.server) != announcement_effect::changes) {
        answer_known_announcement(it);
        return;
    }
    if (!is_leader() || !has_state_) {
        redirect_to_leader(it.id);
        return;
    }
    if (must_be_deferred(it.server)) {
        defer_announcement(it);
        return;
    }
    deferred_.drop(server.server);
    const auto proposed =
        replica_->propose(now_, wire::encode(command(server_announced{it.server})));
    if (!proposed) {
        answer(it.id, call_result::unavailable{proposed.error().message()});
        return;
    }
    log(telemetry::severity::info,
        "server announced",
        {{"server", server.server.str()},
         {"pool", it.server.pool.str()},
         {"address", server.address.str()},
         {"state", static_cast<std::int64_t>(server.state)},
         {"incarnation", static_cast<std::int64_t>(server.incarnation)},
         {"sequence", static_cast<std::int64_t>(server.sequence)}});
    pending_calls_[proposed.value().index] = {
        it.id, proposed.value().term, now_ + options_.call_timeout, false, {}};
}

/// An active server takes the address of others, so its pool must be declared. A server
/// that leaves is committed also if its pool has been withdrawn.
bool node::impl::must_be_deferred(const server_record& it) const
{
    const auto& server = it.announcement;
    const bool is_committed = server.state == upstream::availability::gone ||
                              (server.state == upstream::availability::leaving &&
                               state_.contents().servers.contains(server.server));
    return !is_committed && !state_.declares(it.pool);
}

void node::impl::answer_known_announcement(const call::announce& it)
{
    const auto& server = it.server.announcement;
    const bool is_refused = server.state == upstream::availability::active &&
                            is_replaced(state_.contents().servers, it.server);
    if (!is_refused) {
        answer(it.id, call_result::accepted{});
        return;
    }
    log(telemetry::severity::warning,
        "announcement of a replaced server",
        {{"server", server.server.str()},
         {"pool", it.server.pool.str()},
         {"address", server.address.str()},
         {"incarnation", static_cast<std::int64_t>(server.incarnation)},
         {"sequence", static_cast<std::int64_t>(server.sequence)}});
    answer(it.id, call_result::replaced{});
}

/// No request is sent to a server whose pool isn't declared, so a statement that it
/// leaves is true at once.
void node::impl::defer_announcement(const call::announce& it)
{
    const auto& server = it.server.announcement;
    if (deferred_.hold(now_, it.server)) {
        log(telemetry::severity::warning,
            "announcement deferred",
            {{"server", server.server.str()},
             {"pool", it.server.pool.str()},
             {"address", server.address.str()},
             {"reason", std::string("the pool isn't declared")}});
    }
    if (server.state == upstream::availability::active) {
        answer(it.id, call_result::unavailable{"the service isn't declared"});
    } else {
        answer(it.id, call_result::accepted{});
    }
}

void node::impl::propose_deferred_announcements()
{
    if (!can_decide()) {
        return;
    }
    const auto declared = deferred_.take_declared(
        now_, [this](const core::pool_id& id) { return state_.declares(id); });
    for (const auto& it : declared) {
        if (effect_of(state_.contents().servers, it) == announcement_effect::changes) {
            static_cast<void>(
                replica_->propose(now_, wire::encode(command(server_announced{it}))));
        }
    }
}

// Lists of entries for callers.

/// Returns the total slots of active servers. It is computed once for each revision, as
/// calls are far more frequent than changes of servers.
std::size_t node::impl::count_server_slots()
{
    if (server_slots_revision_ != state_.revision()) {
        server_slots_revision_ = state_.revision();
        server_slots_ = 0;
        for (const auto& [id, it] : state_.contents().servers) {
            const bool is_active =
                it.announcement.state == upstream::availability::active;
            server_slots_ += is_active ? it.announcement.slots : 0;
        }
    }
    return server_slots_;
}

std::vector<entry_record>
node::impl::entries_for(const core::failure_domain_id& caller_domain)
{
    const entry_demand demand{
        options_.entries_per_answer,
        max_entries_per_answer,
        count_server_slots(),
        roster_.slots_per_entry(now_, options_.presence_timeout)
            .value_or(options_.slots_per_entry)};
    return roster_.choose(
        now_,
        caller_domain,
        entries_to_name(demand, roster_.domains(now_, options_.presence_timeout)),
        options_.presence_timeout);
}

void node::impl::handle_call(call::list_entries& it)
{
    auto records = entries_for(it.caller_domain);
    if (records.empty()) {
        answer(it.id, call_result::unavailable{"no entry is ready"});
        return;
    }
    answer(it.id, call_result::entries{std::move(records)});
}

// Calls that end without an outcome.

void node::impl::expire_calls()
{
    for (auto& [index, it] : pending_calls_) {
        if (!it.answered && now_ >= it.deadline) {
            it.answered = true;
            answer(it.request, call_result::unavailable{"no majority answered in time"});
        }
    }
    while (!waiting_documents_.empty() && now_ >= waiting_documents_.front().deadline) {
        answer(
            take_waiting_document().call.id,
            call_result::unavailable{"timed out while an earlier document was pending"});
    }
}

void node::impl::fail_calls()
{
    for (const auto& [index, it] : pending_calls_) {
        if (!it.answered) {
            answer(it.request, call_result::unavailable{"the leader has changed"});
        }
    }
    pending_calls_.clear();
    deferred_.clear();
    while (!waiting_documents_.empty()) {
        answer(
            take_waiting_document().call.id,
            call_result::unavailable{"the leader has changed"});
    }
}

} // namespace cuminpitch::control
