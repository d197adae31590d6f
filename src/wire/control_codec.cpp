#include "cuminpitch/wire/control_codec.hpp"

#include "cuminpitch/net/compression.hpp"
#include "wire/generated/control_generated.h"

#include <absl/time/time.h>

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
// entries, and 65,536 outcomes with up to 16 details, which is over the default of 10^6.
constexpr flatbuffers::uoffset_t max_tables = 4'000'000;
/// Four times the state of the planned size (docs/CAPACITY.md).
constexpr std::size_t max_contents_bytes = std::size_t{64} << 20U;

// Writing: model types to the native types of the generated code.

fb::endpoint_fieldsT to_wire(const core::endpoint& it)
{
    fb::endpoint_fieldsT result;
    result.host = it.host;
    result.port = it.port;
    return result;
}

std::unique_ptr<fb::endpoint_fieldsT> endpoint_pointer(const core::endpoint& it)
{
    return std::make_unique<fb::endpoint_fieldsT>(to_wire(it));
}

std::unique_ptr<fb::entry_fieldsT>
to_wire(const model::entry_record& it, std::uint64_t incarnation)
{
    auto result = std::make_unique<fb::entry_fieldsT>();
    result->id = it.id.str();
    result->http = endpoint_pointer(it.http);
    result->internal = endpoint_pointer(it.internal);
    result->failure_domain = it.failure_domain.str();
    result->incarnation = incarnation;
    return result;
}

std::vector<std::string> to_wire(const std::vector<core::instance_id>& ids)
{
    std::vector<std::string> result;
    result.reserve(ids.size());
    for (const auto& it : ids) {
        result.push_back(it.str());
    }
    return result;
}

fb::serverT to_wire(const model::server_record& it)
{
    const auto& from = it.announcement;
    fb::serverT result;
    result.team = it.pool.team.str();
    result.pool = it.pool.name;
    result.id = from.server.str();
    result.incarnation = from.incarnation;
    result.sequence = from.sequence;
    result.state = static_cast<std::uint8_t>(from.state);
    result.address = endpoint_pointer(from.address);
    result.failure_domain = from.failure_domain.str();
    result.slots = from.slots;
    result.connections = from.connections;
    result.cold_start_ms =
        static_cast<std::uint32_t>(absl::ToInt64Milliseconds(from.cold_start));
    return result;
}

struct command_writer
{
    fb::command_bodyUnion operator()(const model::change& it) const
    {
        fb::changeT body;
        body.id = it.id.str();
        body.base_revision = it.base_revision.value();
        body.time_ms = it.time_ms;
        if (it.document) {
            body.document_number = it.document->number;
            body.document_source = it.document->source;
        }
        for (const auto& op : it.operations) {
            auto item = std::make_unique<fb::operationT>();
            item->path = op.path;
            item->value = op.value.value_or("");
            item->remove = !op.value.has_value();
            body.operations.push_back(std::move(item));
        }
        return wrap(std::move(body));
    }
    fb::command_bodyUnion operator()(const model::entry_joined& it) const
    {
        fb::entry_joinedT body;
        body.entry = to_wire(it.entry, it.incarnation);
        return wrap(std::move(body));
    }
    fb::command_bodyUnion operator()(const model::entry_removed& it) const
    {
        fb::entry_removedT body;
        body.id = it.id.str();
        return wrap(std::move(body));
    }
    fb::command_bodyUnion operator()(const model::set_assignment& it) const
    {
        fb::set_assignmentT body;
        body.team = it.pool.team.str();
        body.pool = it.pool.name;
        body.entries = to_wire(it.entries);
        body.expected_list_revision = it.expected_list_revision.value();
        body.forced = it.forced;
        return wrap(std::move(body));
    }
    fb::command_bodyUnion operator()(const model::server_announced& it) const
    {
        fb::server_announcedT body;
        body.announced = std::make_unique<fb::serverT>(to_wire(it.server));
        return wrap(std::move(body));
    }

private:
    template <class T>
    static fb::command_bodyUnion wrap(T body)
    {
        fb::command_bodyUnion result;
        result.Set(std::move(body));
        return result;
    }
};

std::vector<std::unique_ptr<fb::numbered_commandT>>
to_wire(const std::vector<model::numbered_command>& commands)
{
    std::vector<std::unique_ptr<fb::numbered_commandT>> result;
    result.reserve(commands.size());
    for (const auto& it : commands) {
        auto item = std::make_unique<fb::numbered_commandT>();
        item->revision = it.revision.value();
        item->body = std::visit(command_writer{}, it.command);
        result.push_back(std::move(item));
    }
    return result;
}

// Built without the native types, which would double the time for a large state:
// snapshots are taken on the thread that also answers heartbeats.
flatbuffers::Offset<fb::contents>
write(flatbuffers::FlatBufferBuilder& to, const model::fleet_contents& it)
{
    std::vector<flatbuffers::Offset<fb::setting>> settings;
    settings.reserve(it.settings.size());
    for (const auto& [path, value] : it.settings) {
        const auto path_at = to.CreateString(path);
        settings.push_back(fb::Createsetting(to, path_at, to.CreateString(value)));
    }
    std::vector<flatbuffers::Offset<fb::entry_fields>> entries;
    entries.reserve(it.entries.size());
    for (const auto& [id, member] : it.entries) {
        const auto native = to_wire(member.record, member.incarnation);
        entries.push_back(fb::entry_fields::Pack(to, native.get()));
    }
    std::vector<flatbuffers::Offset<fb::assignment>> assignments;
    assignments.reserve(it.assignments.size());
    for (const auto& [pool, list] : it.assignments) {
        const auto team = to.CreateString(pool.team.str());
        const auto name = to.CreateString(pool.name);
        const auto members = to.CreateVectorOfStrings(to_wire(list.entries));
        assignments.push_back(
            fb::Createassignment(to, team, name, list.list_revision.value(), members));
    }
    std::vector<flatbuffers::Offset<fb::server>> servers;
    servers.reserve(it.servers.size());
    for (const auto& [id, record] : it.servers) {
        const auto native = to_wire(record);
        servers.push_back(fb::server::Pack(to, &native));
    }
    return fb::CreatecontentsDirect(
        to,
        it.revision.value(),
        &settings,
        &entries,
        &assignments,
        &servers,
        it.document.number,
        it.document.source.c_str());
}

struct written_update
{
    fb::update type = fb::update::NONE;
    flatbuffers::Offset<void> body;
};

struct update_writer
{
    flatbuffers::FlatBufferBuilder& to;

    written_update operator()(const model::delta& it) const
    {
        fb::deltaT body;
        body.base = it.base.value();
        body.current = it.current.value();
        body.commands = to_wire(it.commands);
        return {fb::update::delta, fb::delta::Pack(to, &body).Union()};
    }
    written_update
    operator()(const std::shared_ptr<const model::fleet_contents>& it) const
    {
        return {fb::update::contents, write(to, *it).Union()};
    }
    written_update operator()(const model::packed_contents& it) const
    {
        const auto bytes = to.CreateVector(
            reinterpret_cast<const std::uint8_t*>(it.bytes->data()), it.bytes->size());
        return {
            fb::update::packed_contents, fb::Createpacked_contents(to, bytes).Union()};
    }
};

using server_counts = std::vector<model::pool_evidence::server_count>;
using wire_counts = std::vector<std::unique_ptr<fb::server_countT>>;

wire_counts to_wire(const server_counts& counts)
{
    wire_counts result;
    for (const auto& it : counts) {
        auto item = std::make_unique<fb::server_countT>();
        item->id = it.server.str();
        item->count = it.count;
        result.push_back(std::move(item));
    }
    return result;
}

std::vector<flatbuffers::Offset<fb::server_count>>
write(flatbuffers::FlatBufferBuilder& to, const server_counts& counts)
{
    std::vector<flatbuffers::Offset<fb::server_count>> result;
    for (const auto& it : to_wire(counts)) {
        result.push_back(fb::server_count::Pack(to, it.get()));
    }
    return result;
}

struct message_writer
{
    flatbuffers::FlatBufferBuilder& to;

    std::vector<flatbuffers::Offset<fb::endpoint_fields>>
    write_endpoints(const std::vector<core::endpoint>& list) const
    {
        std::vector<flatbuffers::Offset<fb::endpoint_fields>> out;
        for (const auto& it : list) {
            const auto native = to_wire(it);
            out.push_back(fb::endpoint_fields::Pack(to, &native));
        }
        return out;
    }

    flatbuffers::Offset<fb::message> operator()(const model::sync_request& it) const
    {
        fb::sync_requestT body;
        body.entry = to_wire(it.entry, it.incarnation);
        body.in_force = it.in_force.value();
        body.draining = it.draining;
        body.control_hash = it.control_hash;
        body.named_hash = it.named_hash;
        for (const auto& contact : it.contacts) {
            auto item = std::make_unique<fb::contact_ageT>();
            item->instance = contact.instance.str();
            item->age_us = absl::ToInt64Microseconds(contact.age);
            body.contacts.push_back(std::move(item));
        }
        const auto at = fb::sync_request::Pack(to, &body);
        return fb::Createmessage(to, fb::message_body::sync_request, at.Union());
    }
    flatbuffers::Offset<fb::message> operator()(const model::sync_response& it) const
    {
        const auto newer = std::visit(update_writer{to}, it.update);
        flatbuffers::Offset<fb::leader_address> leader;
        if (it.leader) {
            const auto internal = endpoint_pointer(it.leader->internal);
            const auto endpoint = fb::endpoint_fields::Pack(to, internal.get());
            const auto id = to.CreateString(it.leader->id.str());
            leader = fb::Createleader_address(to, id, endpoint);
        }
        const auto control = write_endpoints(it.control);
        const auto named = write_endpoints(it.named);
        const auto at = fb::Createsync_responseDirect(
            to,
            newer.type,
            newer.body,
            it.current.value(),
            leader,
            it.confirmed,
            absl::ToInt64Microseconds(it.age),
            control.empty() ? nullptr : &control,
            named.empty() ? nullptr : &named);
        return fb::Createmessage(to, fb::message_body::sync_response, at.Union());
    }
    flatbuffers::Offset<fb::message> operator()(const model::state_request& it) const
    {
        const auto at = fb::Createstate_request(to, it.in_force.value());
        return fb::Createmessage(to, fb::message_body::state_request, at.Union());
    }
    flatbuffers::Offset<fb::message> operator()(const model::presence& it) const
    {
        fb::presenceT body;
        body.entry = to_wire(it.entry, it.incarnation);
        body.ready = it.ready;
        body.impaired = it.impaired;
        const auto at = fb::presence::Pack(to, &body);
        return fb::Createmessage(to, fb::message_body::presence, at.Union());
    }
    flatbuffers::Offset<fb::message> operator()(const model::pool_evidence& it) const
    {
        fb::pool_evidenceT body;
        body.team = it.pool.team.str();
        body.pool = it.pool.name;
        body.failures = to_wire(it.failures);
        auto at = fb::pool_evidence::Pack(to, &body);
        if (it.in_flight) {
            // An empty vector is not the same as none, which Pack() makes of it.
            const auto failures = write(to, it.failures);
            const auto in_flight = write(to, *it.in_flight);
            at = fb::Createpool_evidenceDirect(
                to, body.team.c_str(), body.pool.c_str(), &failures, &in_flight);
        }
        return fb::Createmessage(to, fb::message_body::pool_evidence, at.Union());
    }

    flatbuffers::Offset<fb::message> operator()(const model::state_response& it) const
    {
        flatbuffers::Offset<fb::contents> contents;
        if (it.contents) {
            contents = write(to, *it.contents);
        }
        const auto at = fb::Createstate_response(to, it.current.value(), contents);
        return fb::Createmessage(to, fb::message_body::state_response, at.Union());
    }
};

struct outcome_writer
{
    fb::outcome_bodyUnion operator()(const model::applied& it) const
    {
        fb::appliedT body;
        body.revision = it.revision.value();
        return wrap(body);
    }
    fb::outcome_bodyUnion operator()(const model::conflict& it) const
    {
        fb::conflictT body;
        body.current = it.current.value();
        body.paths = it.paths;
        return wrap(std::move(body));
    }
    fb::outcome_bodyUnion operator()(const model::invalid& it) const
    {
        fb::invalidT body;
        for (const auto& problem : it.problems) {
            auto item = std::make_unique<fb::problemT>();
            item->path = problem.path;
            item->reason = problem.reason;
            body.problems.push_back(std::move(item));
        }
        return wrap(std::move(body));
    }
    fb::outcome_bodyUnion operator()(const model::ignored&) const { return {}; }

private:
    template <class T>
    static fb::outcome_bodyUnion wrap(T body)
    {
        fb::outcome_bodyUnion result;
        result.Set(std::move(body));
        return result;
    }
};

std::string bytes_of(const flatbuffers::FlatBufferBuilder& builder)
{
    return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

// Reading: verified tables to model types. Each function returns false for content that
// the verifier accepts and the model doesn't.

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

/// The list may be left out.
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

// Table is command or numbered_command, which have the same union.
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
    out = std::move(it);
    return ok;
}

bool read(const fb::pool_evidence& in, model::message& out)
{
    model::pool_evidence it;
    it.pool = {core::team_id(in.team()->str()), in.pool()->str()};
    for (const auto* count : *in.failures()) {
        it.failures.push_back({core::server_id(count->id()->str()), count->count()});
    }
    if (in.in_flight() != nullptr) {
        it.in_flight.emplace();
        for (const auto* count : *in.in_flight()) {
            it.in_flight->push_back(
                {core::server_id(count->id()->str()), count->count()});
        }
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

bool read(const fb::snapshot& in, fleet_snapshot& out)
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
    return read(*in.fleet(), out.contents) && read_commands(*in.history(), out.history);
}

template <class Table, class Model, class Reader>
core::result<Model> unpack(std::string_view bytes, Reader reader)
{
    // The verifier requires alignment, which a part of a larger buffer need not have.
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

std::string encode(const cuminpitch::control::command& it)
{
    fb::commandT root;
    root.body = std::visit(command_writer{}, it);
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(fb::command::Pack(builder, &root));
    return bytes_of(builder);
}

core::result<cuminpitch::control::command> decode_command(std::string_view bytes)
{
    return unpack<fb::command, model::command>(
        bytes, [](const auto& in, auto& out) { return read_command(in, out); });
}

std::string encode(const cuminpitch::control::message& it)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(std::visit(message_writer{builder}, it));
    return bytes_of(builder);
}

core::result<cuminpitch::control::message> decode_control_message(std::string_view bytes)
{
    return unpack<fb::message, model::message>(
        bytes, [](const auto& in, auto& out) { return read(in, out); });
}

std::string pack(const cuminpitch::control::fleet_contents& it)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(write(builder, it));
    return net::compress(
        {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()});
}

core::result<std::shared_ptr<const cuminpitch::control::fleet_contents>>
unpack_contents(std::string_view packed)
{
    const auto bytes = net::expand(packed, max_contents_bytes);
    if (!bytes) {
        return core::errc::malformed_message;
    }
    auto contents = unpack<fb::contents, model::fleet_contents>(
        *bytes, [](const auto& in, auto& out) { return read(in, out); });
    if (!contents) {
        return contents.error();
    }
    return std::make_shared<const model::fleet_contents>(std::move(contents).value());
}

std::string encode(const fleet_snapshot& it)
{
    flatbuffers::FlatBufferBuilder builder;
    const auto fleet = write(builder, it.contents);
    std::vector<flatbuffers::Offset<fb::team_revision>> teams;
    for (const auto& [team, revision] : it.team_revisions) {
        const auto name = builder.CreateString(team.str());
        teams.push_back(fb::Createteam_revision(builder, name, revision.value()));
    }
    std::vector<flatbuffers::Offset<fb::change_outcome>> outcomes;
    for (const auto& [id, outcome] : it.outcomes) {
        fb::change_outcomeT native;
        native.id = id.str();
        native.outcome = std::visit(outcome_writer{}, outcome);
        outcomes.push_back(fb::change_outcome::Pack(builder, &native));
    }
    std::vector<flatbuffers::Offset<fb::numbered_command>> history;
    for (const auto& native : to_wire(it.history)) {
        history.push_back(fb::numbered_command::Pack(builder, native.get()));
    }
    builder.Finish(fb::CreatesnapshotDirect(
        builder, it.last_index.value(), fleet, &teams, &outcomes, &history));
    return bytes_of(builder);
}

core::result<fleet_snapshot> decode_snapshot(std::string_view bytes)
{
    return unpack<fb::snapshot, fleet_snapshot>(
        bytes, [](const auto& in, auto& out) { return read(in, out); });
}

} // namespace cuminpitch::wire
