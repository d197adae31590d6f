#include "cuminpitch/wire/control_codec.hpp"

#include "cuminpitch/net/compression.hpp"
#include "wire/generated/control_generated.h"
#include "wire/packed_command_priv.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <memory>
#include <optional>

namespace cuminpitch::wire {
namespace {

namespace fb = cuminpitch::wire::control;
namespace model = cuminpitch::control;

template <class Union, class T>
Union make_union(T body)
{
    Union result;
    result.Set(std::move(body));
    return result;
}

// Encoding: model types to the native types of the generated code.

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

struct command_encoder
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
        return make_union<fb::command_bodyUnion>(std::move(body));
    }
    fb::command_bodyUnion operator()(const model::entry_joined& it) const
    {
        fb::entry_joinedT body;
        body.entry = to_wire(it.entry, it.incarnation);
        return make_union<fb::command_bodyUnion>(std::move(body));
    }
    fb::command_bodyUnion operator()(const model::entry_removed& it) const
    {
        fb::entry_removedT body;
        body.id = it.id.str();
        return make_union<fb::command_bodyUnion>(std::move(body));
    }
    fb::command_bodyUnion operator()(const model::set_assignment& it) const
    {
        fb::set_assignmentT body;
        body.team = it.pool.team.str();
        body.pool = it.pool.name;
        body.entries = to_wire(it.entries);
        body.expected_list_revision = it.expected_list_revision.value();
        body.forced = it.forced;
        return make_union<fb::command_bodyUnion>(std::move(body));
    }
    fb::command_bodyUnion operator()(const model::server_announced& it) const
    {
        fb::server_announcedT body;
        body.announced = std::make_unique<fb::serverT>(to_wire(it.server));
        return make_union<fb::command_bodyUnion>(std::move(body));
    }
};

std::unique_ptr<fb::numbered_commandT> to_wire(const model::numbered_command& it)
{
    auto item = std::make_unique<fb::numbered_commandT>();
    item->revision = it.revision.value();
    item->body = std::visit(command_encoder{}, it.command);
    return item;
}

std::vector<std::unique_ptr<fb::numbered_commandT>>
to_wire(const std::vector<model::numbered_command>& commands)
{
    std::vector<std::unique_ptr<fb::numbered_commandT>> result;
    result.reserve(commands.size());
    for (const auto& it : commands) {
        result.push_back(to_wire(it));
    }
    return result;
}

// Builds the tables without the native types, which would double the time for a large
// state. Snapshots are taken on the thread that also answers heartbeats.
flatbuffers::Offset<fb::contents> write(
    flatbuffers::FlatBufferBuilder& to,
    const model::fleet_contents& contents,
    const std::string& document_source)
{
    std::vector<flatbuffers::Offset<fb::setting>> settings;
    settings.reserve(contents.settings.size());
    for (const auto& [path, value] : contents.settings) {
        const auto path_at = to.CreateString(path);
        settings.push_back(fb::Createsetting(to, path_at, to.CreateString(value)));
    }
    std::vector<flatbuffers::Offset<fb::entry_fields>> entries;
    entries.reserve(contents.entries.size());
    for (const auto& [id, member] : contents.entries) {
        const auto native = to_wire(member.record, member.incarnation);
        entries.push_back(fb::entry_fields::Pack(to, native.get()));
    }
    std::vector<flatbuffers::Offset<fb::assignment>> assignments;
    assignments.reserve(contents.assignments.size());
    for (const auto& [pool, list] : contents.assignments) {
        const auto team = to.CreateString(pool.team.str());
        const auto name = to.CreateString(pool.name);
        const auto members = to.CreateVectorOfStrings(to_wire(list.entries));
        assignments.push_back(
            fb::Createassignment(to, team, name, list.list_revision.value(), members));
    }
    std::vector<flatbuffers::Offset<fb::server>> servers;
    servers.reserve(contents.servers.size());
    for (const auto& [id, record] : contents.servers) {
        const auto native = to_wire(record);
        servers.push_back(fb::server::Pack(to, &native));
    }
    return fb::CreatecontentsDirect(
        to,
        contents.revision.value(),
        &settings,
        &entries,
        &assignments,
        &servers,
        contents.document.number,
        document_source.c_str());
}

flatbuffers::Offset<fb::contents>
write(flatbuffers::FlatBufferBuilder& to, const model::fleet_contents& contents)
{
    return write(to, contents, contents.document.source);
}

struct encoded_update
{
    fb::update type = fb::update::NONE;
    flatbuffers::Offset<void> body;
};

struct update_encoder
{
    flatbuffers::FlatBufferBuilder& to;

    encoded_update operator()(const model::delta& it) const
    {
        fb::deltaT body;
        body.base = it.base.value();
        body.current = it.current.value();
        body.commands = to_wire(it.commands);
        return {fb::update::delta, fb::delta::Pack(to, &body).Union()};
    }
    encoded_update
    operator()(const std::shared_ptr<const model::fleet_contents>& it) const
    {
        return {fb::update::contents, write(to, *it).Union()};
    }
    encoded_update operator()(const model::packed_contents& it) const
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

std::unique_ptr<fb::rate_stateT> to_wire(const model::rate_state& it)
{
    auto out = std::make_unique<fb::rate_stateT>();
    out->team = it.pool.team.str();
    out->pool = it.pool.name;
    out->id = it.server.str();
    out->incarnation = it.incarnation;
    out->limit_per_s = it.limit.per_second();
    out->phase = static_cast<std::uint8_t>(it.phase);
    out->age_us = absl::ToInt64Microseconds(it.age);
    return out;
}

struct message_encoder
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
        const auto newer = std::visit(update_encoder{to}, it.update);
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
        body.slots = it.slots;
        const auto at = fb::presence::Pack(to, &body);
        return fb::Createmessage(to, fb::message_body::presence, at.Union());
    }
    flatbuffers::Offset<fb::message> operator()(const model::pool_evidence& it) const
    {
        fb::pool_evidenceT body;
        body.team = it.pool.team.str();
        body.pool = it.pool.name;
        body.failures = to_wire(it.failures);
        body.successes = to_wire(it.successes);
        auto at = fb::pool_evidence::Pack(to, &body);
        if (it.in_flight) {
            // Pack() would omit an empty vector, but an empty `in_flight` has another
            // meaning than an absent one.
            const auto failures = write(to, it.failures);
            const auto in_flight = write(to, *it.in_flight);
            const auto successes = write(to, it.successes);
            at = fb::Createpool_evidenceDirect(
                to,
                body.team.c_str(),
                body.pool.c_str(),
                &failures,
                &in_flight,
                &successes);
        }
        return fb::Createmessage(to, fb::message_body::pool_evidence, at.Union());
    }

    flatbuffers::Offset<fb::message> operator()(const model::permit_request& it) const
    {
        fb::permit_requestT body;
        body.known = to_wire(it.known);
        if (it.customer) {
            body.customer_team = it.customer->team.str();
            body.customer = it.customer->name;
        }
        body.wanted = it.wanted;
        body.sent_us = absl::ToUnixMicros(it.sent);
        const auto at = fb::permit_request::Pack(to, &body);
        return fb::Createmessage(to, fb::message_body::permit_request, at.Union());
    }

    flatbuffers::Offset<fb::message> operator()(const model::permit_response& it) const
    {
        fb::permit_responseT body;
        body.known = to_wire(it.known);
        if (it.customer) {
            body.customer_team = it.customer->team.str();
            body.customer = it.customer->name;
        }
        body.echo_us = absl::ToUnixMicros(it.echo);
        body.held_us = absl::ToInt64Microseconds(it.held);
        body.granted = it.granted;
        body.expected_wait_us = absl::ToInt64Microseconds(it.expected_wait);
        body.repeat_after_us = absl::ToInt64Microseconds(it.repeat_after);
        body.requesters = it.requesters;
        body.is_redirect = it.is_redirect;
        const auto at = fb::permit_response::Pack(to, &body);
        return fb::Createmessage(to, fb::message_body::permit_response, at.Union());
    }

    flatbuffers::Offset<fb::message> operator()(const model::rate_news& it) const
    {
        std::vector<flatbuffers::Offset<fb::rate_state>> states;
        for (const auto& each : it.states) {
            states.push_back(fb::rate_state::Pack(to, to_wire(each).get()));
        }
        const auto at = fb::Createrate_newsDirect(to, &states, it.wants_reply);
        return fb::Createmessage(to, fb::message_body::rate_news, at.Union());
    }

    flatbuffers::Offset<fb::message> operator()(const model::leaving_news& it) const
    {
        fb::leaving_newsT body;
        for (const auto& each : it.servers) {
            auto server = std::make_unique<fb::leaving_serverT>();
            server->team = each.pool.team.str();
            server->pool = each.pool.name;
            server->id = each.server.str();
            server->incarnation = each.incarnation;
            body.servers.push_back(std::move(server));
        }
        const auto at = fb::leaving_news::Pack(to, &body);
        return fb::Createmessage(to, fb::message_body::leaving_news, at.Union());
    }

    flatbuffers::Offset<fb::message> operator()(const model::reach_query& it) const
    {
        fb::reach_queryT body;
        body.team = it.pool.team.str();
        body.pool = it.pool.name;
        for (const auto& server : it.servers) {
            body.servers.push_back(server.str());
        }
        const auto at = fb::reach_query::Pack(to, &body);
        return fb::Createmessage(to, fb::message_body::reach_query, at.Union());
    }

    flatbuffers::Offset<fb::message> operator()(const model::reach_report& it) const
    {
        fb::reach_reportT body;
        body.team = it.pool.team.str();
        body.pool = it.pool.name;
        body.reaches = it.reaches;
        body.in_flight = it.in_flight;
        for (const auto& entry : it.others) {
            body.others.push_back(entry.str());
        }
        const auto at = fb::reach_report::Pack(to, &body);
        return fb::Createmessage(to, fb::message_body::reach_report, at.Union());
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

struct outcome_encoder
{
    fb::outcome_bodyUnion operator()(const model::applied& it) const
    {
        fb::appliedT body;
        body.revision = it.revision.value();
        return make_union<fb::outcome_bodyUnion>(body);
    }
    fb::outcome_bodyUnion operator()(const model::conflict& it) const
    {
        fb::conflictT body;
        body.current = it.current.value();
        body.paths = it.paths;
        return make_union<fb::outcome_bodyUnion>(std::move(body));
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
        return make_union<fb::outcome_bodyUnion>(std::move(body));
    }
    fb::outcome_bodyUnion operator()(const model::ignored&) const { return {}; }
};

/// Commands shorter than this are not compressed. Announcements and member changes are
/// shorter, configuration documents are longer.
constexpr std::size_t min_compressed_command_bytes = 4096;

std::string bytes_of(const flatbuffers::FlatBufferBuilder& builder)
{
    return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

} // namespace

std::string encode(const cuminpitch::control::command& command)
{
    fb::commandT root;
    root.body = std::visit(command_encoder{}, command);
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(fb::command::Pack(builder, &root));
    std::string plain = bytes_of(builder);
    if (plain.size() < min_compressed_command_bytes) {
        return plain;
    }
    std::string packed = std::string(packed_command_magic) + net::compress(plain);
    return packed.size() < plain.size() ? packed : plain;
}

std::string encode(const cuminpitch::control::message& message)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(std::visit(message_encoder{builder}, message));
    return bytes_of(builder);
}

std::string pack(const cuminpitch::control::fleet_contents& contents)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(write(builder, contents, std::string()));
    return net::compress(
        {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()});
}

std::string encode(const fleet_snapshot_view& snapshot)
{
    flatbuffers::FlatBufferBuilder builder;
    const auto fleet = write(builder, snapshot.contents);
    std::vector<flatbuffers::Offset<fb::team_revision>> teams;
    for (const auto& [team, revision] : snapshot.team_revisions) {
        const auto name = builder.CreateString(team.str());
        teams.push_back(fb::Createteam_revision(builder, name, revision.value()));
    }
    std::vector<flatbuffers::Offset<fb::change_outcome>> outcomes;
    for (const auto& id : snapshot.outcome_order) {
        fb::change_outcomeT native;
        native.id = id.str();
        native.outcome = std::visit(outcome_encoder{}, snapshot.outcomes.at(id));
        outcomes.push_back(fb::change_outcome::Pack(builder, &native));
    }
    std::vector<flatbuffers::Offset<fb::numbered_command>> history;
    for (const auto& it : snapshot.history) {
        history.push_back(fb::numbered_command::Pack(builder, to_wire(it).get()));
    }
    builder.Finish(fb::CreatesnapshotDirect(
        builder, snapshot.last_index.value(), fleet, &teams, &outcomes, &history));
    return bytes_of(builder);
}

} // namespace cuminpitch::wire
