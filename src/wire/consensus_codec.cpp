#include "cuminpitch/wire/consensus_codec.hpp"

#include "wire/generated/consensus_generated.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace cuminpitch::wire {
namespace {

namespace model = cuminpitch::consensus;
using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

constexpr std::size_t initial_buffer_bytes = 1024;

// Encoding: model types to tables of the generated code.

auto bytes_to_wire(FlatBufferBuilder& out, const std::string& it)
{
    return out.CreateVector(reinterpret_cast<const std::uint8_t*>(it.data()), it.size());
}

Offset<consensus::member_set_fields>
to_wire(FlatBufferBuilder& out, const model::member_set& it)
{
    std::vector<Offset<consensus::member_fields>> members;
    for (const auto& m : it.members()) {
        const auto id = out.CreateString(m.id.str());
        const auto name = out.CreateString(m.name.str());
        const auto host = out.CreateString(m.internal.host);
        members.push_back(consensus::Createmember_fields(
            out, id, name, host, m.internal.port, static_cast<std::uint8_t>(m.role)));
    }
    return consensus::Createmember_set_fieldsDirect(out, &members);
}

struct payload_encoder
{
    FlatBufferBuilder& out;

    std::pair<consensus::payload, Offset<void>> operator()(const model::no_operation&)
    {
        return {
            consensus::payload::no_operation_fields,
            consensus::Createno_operation_fields(out).Union()};
    }
    std::pair<consensus::payload, Offset<void>> operator()(const model::command& it)
    {
        return {
            consensus::payload::command_fields,
            consensus::Createcommand_fields(out, bytes_to_wire(out, it.bytes)).Union()};
    }
    std::pair<consensus::payload, Offset<void>> operator()(const model::member_set& it)
    {
        return {consensus::payload::member_set_fields, to_wire(out, it).Union()};
    }
};

struct body_encoder
{
    FlatBufferBuilder& out;
    using result = std::pair<consensus::body, Offset<void>>;

    result operator()(const model::vote_request& it)
    {
        return {
            consensus::body::vote_request_fields,
            consensus::Createvote_request_fields(
                out,
                it.term.value(),
                it.last_index.value(),
                it.last_term.value(),
                it.pre_vote,
                it.transfer)
                .Union()};
    }
    result operator()(const model::vote_response& it)
    {
        return {
            consensus::body::vote_response_fields,
            consensus::Createvote_response_fields(
                out, it.term.value(), it.granted, it.pre_vote)
                .Union()};
    }
    result operator()(const model::append_request& it)
    {
        std::vector<Offset<consensus::entry_fields>> entries;
        for (const auto& e : it.entries) {
            const auto [type, payload] = std::visit(payload_encoder{out}, e.payload);
            entries.push_back(consensus::Createentry_fields(
                out, e.index.value(), e.term.value(), type, payload));
        }
        return {
            consensus::body::append_request_fields,
            consensus::Createappend_request_fieldsDirect(
                out,
                it.term.value(),
                it.previous_index.value(),
                it.previous_term.value(),
                it.commit.value(),
                &entries,
                it.sent_us,
                it.majority_age_us)
                .Union()};
    }
    result operator()(const model::append_response& it)
    {
        return {
            consensus::body::append_response_fields,
            consensus::Createappend_response_fields(
                out,
                it.term.value(),
                it.accepted,
                it.match.value(),
                it.refused_previous.value(),
                it.echo_us)
                .Union()};
    }
    result operator()(const model::snapshot_request& it)
    {
        const auto members = to_wire(out, it.info.members);
        const auto bytes = bytes_to_wire(out, it.bytes);
        return {
            consensus::body::snapshot_request_fields,
            consensus::Createsnapshot_request_fields(
                out,
                it.term.value(),
                it.info.index.value(),
                it.info.term.value(),
                members,
                it.offset,
                it.total,
                bytes,
                it.sent_us)
                .Union()};
    }
    result operator()(const model::snapshot_response& it)
    {
        return {
            consensus::body::snapshot_response_fields,
            consensus::Createsnapshot_response_fields(
                out, it.term.value(), it.index.value(), it.received, it.echo_us)
                .Union()};
    }
    result operator()(const model::timeout_now& it)
    {
        return {
            consensus::body::timeout_now_fields,
            consensus::Createtimeout_now_fields(out, it.term.value()).Union()};
    }
};

// Decoding: verified tables to model types. An empty optional means that the message is
// malformed.

std::string bytes_from_wire(const flatbuffers::Vector<std::uint8_t>& it)
{
    return {reinterpret_cast<const char*>(it.data()), it.size()};
}

std::optional<model::member_set> from_wire(const consensus::member_set_fields& in)
{
    model::member_set out;
    for (const auto* it : *in.members()) {
        model::member m;
        m.id = model::member_id(it->id()->str());
        m.name = core::instance_id(it->name()->str());
        m.internal = {it->host()->str(), it->port()};
        m.role = static_cast<model::member_role>(it->role());
        const bool known_role =
            m.role == model::member_role::voter || m.role == model::member_role::learner;
        if (m.id.empty() || m.name.empty() || !known_role || out.find(m.id) != nullptr ||
            !core::parse_endpoint(m.internal.str())) {
            return std::nullopt;
        }
        out.put(std::move(m));
    }
    return out;
}

std::optional<model::entry> from_wire(const consensus::entry_fields& in)
{
    model::entry out;
    out.index = core::log_index(in.index());
    out.term = core::term(in.term());
    switch (in.payload_type()) {
    case consensus::payload::no_operation_fields:
        out.payload = model::no_operation{};
        return out;
    case consensus::payload::command_fields:
        out.payload =
            model::command{bytes_from_wire(*in.payload_as_command_fields()->bytes())};
        return out;
    case consensus::payload::member_set_fields: {
        auto set = from_wire(*in.payload_as_member_set_fields());
        if (!set) {
            return std::nullopt;
        }
        out.payload = std::move(*set);
        return out;
    }
    case consensus::payload::NONE:
        break;
    }
    return std::nullopt;
}

std::optional<model::message> from_wire(const consensus::vote_request_fields& in)
{
    return model::vote_request{
        core::term(in.term()),
        core::log_index(in.last_index()),
        core::term(in.last_term()),
        in.pre_vote(),
        in.transfer()};
}

std::optional<model::message> from_wire(const consensus::vote_response_fields& in)
{
    return model::vote_response{core::term(in.term()), in.granted(), in.pre_vote()};
}

std::optional<model::message> from_wire(const consensus::append_request_fields& in)
{
    model::append_request out;
    out.term = core::term(in.term());
    out.previous_index = core::log_index(in.previous_index());
    out.previous_term = core::term(in.previous_term());
    out.commit = core::log_index(in.commit());
    out.sent_us = in.sent_us();
    out.majority_age_us = in.majority_age_us();
    if (out.majority_age_us < 0) {
        return std::nullopt;
    }
    core::log_index index = out.previous_index;
    core::term term = out.previous_term;
    if (in.entries() != nullptr) {
        for (const auto* it : *in.entries()) {
            auto decoded = from_wire(*it);
            if (!decoded || index.next() <= index || decoded->index != index.next() ||
                decoded->term < term || decoded->term > out.term) {
                return std::nullopt;
            }
            index = decoded->index;
            term = decoded->term;
            out.entries.push_back(std::move(*decoded));
        }
    }
    return out;
}

std::optional<model::message> from_wire(const consensus::append_response_fields& in)
{
    return model::append_response{
        core::term(in.term()),
        in.accepted(),
        core::log_index(in.match()),
        core::log_index(in.refused_previous()),
        in.echo_us()};
}

std::optional<model::message> from_wire(const consensus::snapshot_request_fields& in)
{
    auto members = from_wire(*in.members());
    if (!members || in.offset() > in.total() ||
        in.bytes()->size() > in.total() - in.offset()) {
        return std::nullopt;
    }
    model::snapshot_request out;
    out.term = core::term(in.term());
    out.info = {
        core::log_index(in.snapshot_index()),
        core::term(in.snapshot_term()),
        std::move(*members)};
    out.offset = in.offset();
    out.total = in.total();
    out.bytes = bytes_from_wire(*in.bytes());
    out.sent_us = in.sent_us();
    return out;
}

std::optional<model::message> from_wire(const consensus::snapshot_response_fields& in)
{
    return model::snapshot_response{
        core::term(in.term()), core::log_index(in.index()), in.received(), in.echo_us()};
}

std::optional<model::message> from_wire(const consensus::timeout_now_fields& in)
{
    return model::timeout_now{core::term(in.term())};
}

std::optional<model::message> body_from_wire(const consensus::envelope_fields& in)
{
    switch (in.body_type()) {
    case consensus::body::vote_request_fields:
        return from_wire(*in.body_as_vote_request_fields());
    case consensus::body::vote_response_fields:
        return from_wire(*in.body_as_vote_response_fields());
    case consensus::body::append_request_fields:
        return from_wire(*in.body_as_append_request_fields());
    case consensus::body::append_response_fields:
        return from_wire(*in.body_as_append_response_fields());
    case consensus::body::snapshot_request_fields:
        return from_wire(*in.body_as_snapshot_request_fields());
    case consensus::body::snapshot_response_fields:
        return from_wire(*in.body_as_snapshot_response_fields());
    case consensus::body::timeout_now_fields:
        return from_wire(*in.body_as_timeout_now_fields());
    case consensus::body::NONE:
        break;
    }
    return std::nullopt;
}

bool is_aligned(std::string_view it)
{
    return reinterpret_cast<std::uintptr_t>(it.data()) % alignof(std::uint64_t) == 0;
}

} // namespace

std::string encode(const model::envelope& envelope)
{
    FlatBufferBuilder out(initial_buffer_bytes);
    const auto [type, body] = std::visit(body_encoder{out}, envelope.message);
    const auto from = out.CreateString(envelope.from.str());
    const auto to = out.CreateString(envelope.to.str());
    out.Finish(consensus::Createenvelope_fields(
        out, envelope.group.value(), from, to, type, body));
    return {reinterpret_cast<const char*>(out.GetBufferPointer()), out.GetSize()};
}

core::result<model::envelope> decode_envelope(std::string_view payload)
{
    std::unique_ptr<char[]> aligned;
    if (!is_aligned(payload)) {
        aligned = std::make_unique<char[]>(payload.size());
        payload.copy(aligned.get(), payload.size());
        payload = {aligned.get(), payload.size()};
    }
    const auto* bytes = reinterpret_cast<const std::uint8_t*>(payload.data());
    flatbuffers::Verifier verifier(bytes, payload.size());
    if (!consensus::Verifyenvelope_fieldsBuffer(verifier)) {
        return make_error_code(core::errc::malformed_message);
    }
    const consensus::envelope_fields& in = *consensus::Getenvelope_fields(bytes);
    model::envelope out;
    out.group = model::group_id(in.group());
    out.from = model::member_id(in.from()->str());
    out.to = model::member_id(in.to()->str());
    auto body = body_from_wire(in);
    if (!body || out.from.empty() || out.to.empty() || out.group == model::group_id()) {
        return make_error_code(core::errc::malformed_message);
    }
    out.message = std::move(*body);
    return out;
}

} // namespace cuminpitch::wire
