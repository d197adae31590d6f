#include "cuminpitch/wire/control_codec.hpp"

#include "cuminpitch/net/compression.hpp"
#include "wire/generated/control_generated.h"
#include "wire/packed_command_priv.hpp"

#include <absl/time/time.h>

#include <cmath>
#include <cstdint>
#include <cstring>
#include <memory>
#include <optional>
#include <type_traits>

namespace cuminpitch::wire {
namespace {

namespace fb = cuminpitch::wire::control;
namespace model = cuminpitch::control;

// A snapshot at the planned size has about 52,000 routes with 6 settings each, 4,100
// entry instances, and 65,536 outcomes with up to 16 details. These are more tables than
// the verifier's default limit of 10^6.
constexpr flatbuffers::uoffset_t max_tables = 4'000'000;
/// Four times the state of the planned size (docs/CAPACITY.md).
constexpr std::size_t max_contents_bytes = std::size_t{64} << 20U;

// Decoding: verified tables to model types. Each function returns false for content that
// passes the verifier but is invalid in the model.

bool read(const fb::endpoint_fields& in, core::endpoint& out)
{
    out.host = in.host()->str();
    out.port = in.port();
    return true;
}

bool read(
    const fb::entry_fields& in, model::entry_record& out, std::uint64_t& incarnation)
{
    out.id = core::instance_id(in.id()->str());
    out.failure_domain = core::failure_domain_id(in.failure_domain()->str());
    incarnation = in.incarnation();
    return !out.id.empty() && read(*in.http(), out.http) &&
           read(*in.internal(), out.internal);
}

using string_vector = flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>>;
using endpoint_vector = flatbuffers::Vector<flatbuffers::Offset<fb::endpoint_fields>>;

/// The list may be absent (null), which is read as an empty list.
bool read(const endpoint_vector* in, std::vector<core::endpoint>& out)
{
    bool ok = true;
    if (in != nullptr) {
        for (const auto* it : *in) {
            ok = ok && read(*it, out.emplace_back());
        }
    }
    return ok;
}

bool read(const string_vector& in, std::vector<core::instance_id>& out)
{
    for (const auto* it : in) {
        out.emplace_back(it->str());
        if (out.back().empty()) {
            return false;
        }
    }
    return true;
}

std::string text_of(const flatbuffers::String* in)
{
    return in == nullptr ? std::string() : in->str();
}

bool read(const fb::server& in, model::server_record& out)
{
    auto& it = out.announcement;
    out.pool = {core::team_id(in.team()->str()), in.pool()->str()};
    it.server = core::server_id(in.id()->str());
    it.incarnation = in.incarnation();
    it.sequence = in.sequence();
    it.state = static_cast<upstream::availability>(in.state());
    it.failure_domain = core::failure_domain_id(in.failure_domain()->str());
    it.slots = in.slots();
    it.connections = in.connections();
    it.cold_start = absl::Milliseconds(in.cold_start_ms());
    return !it.server.empty() && it.state <= upstream::availability::gone &&
           read(*in.address(), it.address);
}

bool read(const fb::server_announced& in, model::command& out)
{
    model::server_announced it;
    const bool ok = read(*in.announced(), it.server);
    out = std::move(it);
    return ok;
}

bool read(const fb::change& in, model::command& out)
{
    model::change it;
    it.id = core::change_id(in.id()->str());
    it.base_revision = core::revision(in.base_revision());
    it.time_ms = in.time_ms();
    if (in.document_number() != 0) {
        it.document.emplace();
        it.document->number = in.document_number();
        it.document->source = text_of(in.document_source());
    }
    for (const auto* op : *in.operations()) {
        auto& item = it.operations.emplace_back();
        item.path = op->path()->str();
        if (!op->remove()) {
            item.value = op->value()->str();
        }
    }
    out = std::move(it);
    return true;
}

bool read(const fb::entry_joined& in, model::command& out)
{
    model::entry_joined it;
    const bool ok = read(*in.entry(), it.entry, it.incarnation);
    out = std::move(it);
    return ok;
}

bool read(const fb::entry_removed& in, model::command& out)
{
    out = model::entry_removed{core::instance_id(in.id()->str())};
    return in.id()->size() > 0;
}

bool read(const fb::set_assignment& in, model::command& out)
{
    model::set_assignment it;
    it.pool = {core::team_id(in.team()->str()), in.pool()->str()};
    it.expected_list_revision = core::revision(in.expected_list_revision());
    it.forced = in.forced();
    const bool ok = read(*in.entries(), it.entries);
    out = std::move(it);
    return ok;
}

// `Table` is command or numbered_command, which have the same union.
template <class Table>
bool read_command(const Table& in, model::command& out)
{
    switch (in.body_type()) {
    case fb::command_body::change:
        return read(*in.body_as_change(), out);
    case fb::command_body::entry_joined:
        return read(*in.body_as_entry_joined(), out);
    case fb::command_body::entry_removed:
        return read(*in.body_as_entry_removed(), out);
    case fb::command_body::set_assignment:
        return read(*in.body_as_set_assignment(), out);
    case fb::command_body::server_announced:
        return read(*in.body_as_server_announced(), out);
    default:
        return false;
    }
}

template <class Vector>
bool read_commands(const Vector& in, std::vector<model::numbered_command>& out)
{
    for (const auto* it : in) {
        auto& item = out.emplace_back();
        item.revision = core::revision(it->revision());
        if (!read_command(*it, item.command)) {
            return false;
        }
    }
    return true;
}

bool read(const fb::contents& in, model::fleet_contents& out)
{
    out.revision = core::revision(in.revision());
    for (const auto* it : *in.settings()) {
        out.settings.insert_or_assign(it->path()->str(), it->value()->str());
    }
    for (const auto* it : *in.entries()) {
        model::entry_member member;
        if (!read(*it, member.record, member.incarnation)) {
            return false;
        }
        const auto id = member.record.id;
        out.entries.insert_or_assign(id, std::move(member));
    }
    for (const auto* it : *in.assignments()) {
        const core::pool_id pool{core::team_id(it->team()->str()), it->pool()->str()};
        auto& list = out.assignments[pool];
        list.list_revision = core::revision(it->list_revision());
        if (!read(*it->entries(), list.entries)) {
            return false;
        }
    }
    if (in.servers() != nullptr) {
        for (const auto* it : *in.servers()) {
            model::server_record record;
            if (!read(*it, record)) {
                return false;
            }
            const auto id = record.announcement.server;
            out.servers.insert_or_assign(id, std::move(record));
        }
    }
    out.document.number = in.document_number();
    out.document.source = text_of(in.document_source());
    return true;
}

bool read_update(const fb::sync_response& in, model::update& out)
{
    if (const auto* it = in.newer_as_delta()) {
        model::delta result;
        result.base = core::revision(it->base());
        result.current = core::revision(it->current());
        const bool ok = read_commands(*it->commands(), result.commands);
        out = std::move(result);
        return ok;
    }
    if (const auto* it = in.newer_as_contents()) {
        auto result = std::make_shared<model::fleet_contents>();
        const bool ok = read(*it, *result);
        out = std::shared_ptr<const model::fleet_contents>(std::move(result));
        return ok;
    }
    if (const auto* it = in.newer_as_packed_contents()) {
        const std::string_view bytes(
            reinterpret_cast<const char*>(it->bytes()->data()), it->bytes()->size());
        auto contents = unpack_contents(bytes);
        if (!contents) {
            return false;
        }
        out = std::move(contents).value();
        return true;
    }
    return false;
}

bool read(const fb::sync_request& in, model::message& out)
{
    model::sync_request it;
    const bool ok = read(*in.entry(), it.entry, it.incarnation);
    it.in_force = core::revision(in.in_force());
    it.draining = in.draining();
    it.control_hash = in.control_hash();
    it.named_hash = in.named_hash();
    for (const auto* contact : *in.contacts()) {
        it.contacts.push_back(
            {core::instance_id(contact->instance()->str()),
             absl::Microseconds(contact->age_us())});
    }
    out = std::move(it);
    return ok;
}

bool read(const fb::sync_response& in, model::message& out)
{
    model::sync_response it;
    it.current = core::revision(in.current());
    it.confirmed = in.confirmed();
    bool ok = read_update(in, it.update);
    if (const auto* leader = in.leader()) {
        it.leader.emplace();
        it.leader->id = core::instance_id(leader->id()->str());
        ok = ok && read(*leader->internal(), it.leader->internal);
    }
    it.age = absl::Microseconds(in.age_us());
    ok = ok && read(in.control(), it.control) && read(in.named(), it.named);
    out = std::move(it);
    return ok;
}

bool read(const fb::state_request& in, model::message& out)
{
    out = model::state_request{core::revision(in.in_force())};
    return true;
}

bool read(const fb::state_response& in, model::message& out)
{
    model::state_response it;
    it.current = core::revision(in.current());
    bool ok = true;
    if (in.fleet() != nullptr) {
        auto contents = std::make_shared<model::fleet_contents>();
        ok = read(*in.fleet(), *contents);
        it.contents = std::move(contents);
    }
    out = std::move(it);
    return ok;
}

bool read(const fb::presence& in, model::message& out)
{
    model::presence it;
    const bool ok = read(*in.entry(), it.entry, it.incarnation);
    it.ready = in.ready();
    it.impaired = in.impaired();
    it.slots = in.slots();
    out = std::move(it);
    return ok;
}

template <class Counts>
std::vector<model::pool_evidence::server_count> read_counts(const Counts& in)
{
    std::vector<model::pool_evidence::server_count> out;
    for (const auto* it : in) {
        out.push_back({core::server_id(it->id()->str()), it->count()});
    }
    return out;
}

bool read(const fb::pool_evidence& in, model::message& out)
{
    model::pool_evidence it;
    it.pool = {core::team_id(in.team()->str()), in.pool()->str()};
    it.failures = read_counts(*in.failures());
    if (in.in_flight() != nullptr) {
        it.in_flight = read_counts(*in.in_flight());
    }
    if (in.successes() != nullptr) {
        it.successes = read_counts(*in.successes());
    }
    out = std::move(it);
    return true;
}

bool read(const fb::rate_state& in, model::rate_state& out)
{
    out.pool = {core::team_id(in.team()->str()), in.pool()->str()};
    out.server = core::server_id(in.id()->str());
    out.incarnation = in.incarnation();
    out.limit = core::request_rate(in.limit_per_s());
    out.phase = static_cast<model::rate_phase>(in.phase());
    out.age = absl::Microseconds(in.age_us());
    const bool is_rate = std::isfinite(in.limit_per_s()) && in.limit_per_s() >= 0;
    return is_rate && in.age_us() >= 0 && out.phase <= model::rate_phase::ended &&
           !out.server.empty();
}

/// The customer of a permit request or response, if it names one.
template <class Table>
std::optional<core::customer_id> customer_of(const Table& in)
{
    return in.customer() == nullptr
               ? std::nullopt
               : std::optional(core::customer_id{
                     core::team_id(text_of(in.customer_team())), in.customer()->str()});
}

bool read(const fb::permit_request& in, model::message& out)
{
    model::permit_request it;
    it.customer = customer_of(in);
    it.wanted = in.wanted();
    it.sent = absl::FromUnixMicros(in.sent_us());
    // The state of a server says nothing in a request for the permits of a customer.
    const bool ok = it.customer || read(*in.known(), it.known);
    out = std::move(it);
    return ok;
}

bool read(const fb::permit_response& in, model::message& out)
{
    model::permit_response it;
    it.customer = customer_of(in);
    it.echo = absl::FromUnixMicros(in.echo_us());
    it.held = absl::Microseconds(in.held_us());
    it.granted = in.granted();
    it.expected_wait = absl::Microseconds(in.expected_wait_us());
    it.repeat_after = absl::Microseconds(in.repeat_after_us());
    it.requesters = in.requesters();
    it.is_redirect = in.is_redirect();
    const bool ok = (it.customer || read(*in.known(), it.known)) && in.held_us() >= 0;
    out = std::move(it);
    return ok;
}

bool read(const fb::rate_news& in, model::message& out)
{
    model::rate_news it;
    it.wants_reply = in.wants_reply();
    bool ok = true;
    for (const auto* state : *in.states()) {
        ok = ok && read(*state, it.states.emplace_back());
    }
    out = std::move(it);
    return ok;
}

bool read(const fb::leaving_news& in, model::message& out)
{
    model::leaving_news it;
    for (const auto* each : *in.servers()) {
        it.servers.push_back(
            {{core::team_id(each->team()->str()), each->pool()->str()},
             core::server_id(each->id()->str()),
             each->incarnation()});
    }
    out = std::move(it);
    return true;
}

bool read(const fb::reach_query& in, model::message& out)
{
    model::reach_query it;
    it.pool = {core::team_id(in.team()->str()), in.pool()->str()};
    for (const auto* server : *in.servers()) {
        it.servers.emplace_back(server->str());
    }
    out = std::move(it);
    return true;
}

bool read(const fb::reach_report& in, model::message& out)
{
    model::reach_report it;
    it.pool = {core::team_id(in.team()->str()), in.pool()->str()};
    it.reaches = in.reaches();
    it.in_flight = in.in_flight();
    for (const auto* entry : *in.others()) {
        it.others.emplace_back(entry->str());
    }
    out = std::move(it);
    return true;
}

bool read(const fb::message& in, model::message& out)
{
    switch (in.body_type()) {
    case fb::message_body::sync_request:
        return read(*in.body_as_sync_request(), out);
    case fb::message_body::sync_response:
        return read(*in.body_as_sync_response(), out);
    case fb::message_body::state_request:
        return read(*in.body_as_state_request(), out);
    case fb::message_body::state_response:
        return read(*in.body_as_state_response(), out);
    case fb::message_body::presence:
        return read(*in.body_as_presence(), out);
    case fb::message_body::pool_evidence:
        return read(*in.body_as_pool_evidence(), out);
    case fb::message_body::permit_request:
        return read(*in.body_as_permit_request(), out);
    case fb::message_body::permit_response:
        return read(*in.body_as_permit_response(), out);
    case fb::message_body::rate_news:
        return read(*in.body_as_rate_news(), out);
    case fb::message_body::reach_query:
        return read(*in.body_as_reach_query(), out);
    case fb::message_body::leaving_news:
        return read(*in.body_as_leaving_news(), out);
    case fb::message_body::reach_report:
        return read(*in.body_as_reach_report(), out);
    default:
        return false;
    }
}

bool read(const fb::change_outcome& in, model::outcome& out)
{
    if (const auto* it = in.outcome_as_applied()) {
        out = model::applied{core::revision(it->revision())};
        return true;
    }
    if (const auto* it = in.outcome_as_conflict()) {
        model::conflict result{core::revision(it->current()), {}};
        for (const auto* path : *it->paths()) {
            result.paths.push_back(path->str());
        }
        out = std::move(result);
        return true;
    }
    if (const auto* it = in.outcome_as_invalid()) {
        model::invalid result;
        for (const auto* problem : *it->problems()) {
            result.problems.push_back({problem->path()->str(), problem->reason()->str()});
        }
        out = std::move(result);
        return true;
    }
    return false;
}

/// Reads the newest commands that together take at most `max_bytes` in memory.
bool read_history(const fb::snapshot& in, std::size_t max_bytes, fleet_snapshot& out)
{
    const auto& commands = *in.history();
    std::size_t bytes = 0;
    auto& history = out.history;
    for (auto i = commands.size(); i-- > 0;) {
        model::numbered_command item;
        item.revision = core::revision(commands[i]->revision());
        if (!read_command(*commands[i], item.command)) {
            return false;
        }
        bytes += model::memory_bytes(item.command);
        if (bytes > max_bytes) {
            out.is_history_cut = true;
            break;
        }
        history.push_back(std::move(item));
    }
    std::reverse(history.begin(), history.end());
    return true;
}

bool read(const fb::snapshot& in, std::size_t max_history_bytes, fleet_snapshot& out)
{
    out.last_index = core::revision(in.last_index());
    for (const auto* it : *in.team_revisions()) {
        out.team_revisions.emplace_back(it->team()->str(), it->revision());
    }
    for (const auto* it : *in.outcomes()) {
        auto& item = out.outcomes.emplace_back();
        item.first = core::change_id(it->id()->str());
        if (!read(*it, item.second)) {
            return false;
        }
    }
    return read(*in.fleet(), out.contents) && read_history(in, max_history_bytes, out);
}

template <class Table, class Model, class Reader>
core::result<Model> decode_table(std::string_view bytes, Reader reader)
{
    // The verifier requires an aligned buffer. A part of a larger buffer may not be
    // aligned and is copied.
    std::unique_ptr<std::uint64_t[]> copy;
    if (reinterpret_cast<std::uintptr_t>(bytes.data()) % sizeof(std::uint64_t) != 0) {
        copy =
            std::make_unique<std::uint64_t[]>(bytes.size() / sizeof(std::uint64_t) + 1);
        std::memcpy(copy.get(), bytes.data(), bytes.size());
        bytes = {reinterpret_cast<const char*>(copy.get()), bytes.size()};
    }
    const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
    if (bytes.size() >= FLATBUFFERS_MAX_BUFFER_SIZE) {
        return core::errc::malformed_message;
    }
    flatbuffers::Verifier::Options options;
    options.max_tables = max_tables;
    flatbuffers::Verifier verifier(data, bytes.size(), options);
    if (!verifier.VerifyBuffer<Table>(nullptr)) {
        return core::errc::malformed_message;
    }
    Model result;
    if (!reader(*flatbuffers::GetRoot<Table>(data), result)) {
        return core::errc::malformed_message;
    }
    return result;
}

} // namespace

bool is_packed_command(std::string_view bytes)
{
    return bytes.starts_with(packed_command_magic);
}

core::result<cuminpitch::control::command> decode_command(std::string_view bytes)
{
    std::optional<std::string> expanded;
    if (is_packed_command(bytes)) {
        bytes.remove_prefix(packed_command_magic.size());
        expanded = net::decompress(bytes, max_contents_bytes);
        if (!expanded) {
            return core::errc::malformed_message;
        }
        bytes = *expanded;
    }
    return decode_table<fb::command, model::command>(
        bytes, [](const auto& in, auto& out) { return read_command(in, out); });
}

core::result<cuminpitch::control::message> decode_control_message(std::string_view bytes)
{
    return decode_table<fb::message, model::message>(
        bytes, [](const auto& in, auto& out) { return read(in, out); });
}

core::result<std::shared_ptr<const cuminpitch::control::fleet_contents>>
unpack_contents(std::string_view packed)
{
    const auto bytes = net::decompress(packed, max_contents_bytes);
    if (!bytes) {
        return core::errc::malformed_message;
    }
    auto contents = decode_table<fb::contents, model::fleet_contents>(
        *bytes, [](const auto& in, auto& out) { return read(in, out); });
    if (!contents) {
        return contents.error();
    }
    return std::make_shared<const model::fleet_contents>(std::move(contents).value());
}

core::result<fleet_snapshot>
decode_snapshot(std::string_view bytes, std::size_t max_history_bytes)
{
    return decode_table<fb::snapshot, fleet_snapshot>(
        bytes, [max_history_bytes](const auto& in, auto& out) {
            return read(in, max_history_bytes, out);
        });
}

} // namespace cuminpitch::wire
