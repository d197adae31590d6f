#include "cuminpitch/wire/group_codec.hpp"

#include "cuminpitch/wire/control_codec.hpp"
#include "wire/generated/group_generated.h"

#include <limits>

namespace cuminpitch::wire {
namespace {

constexpr std::int64_t no_echo = std::numeric_limits<std::int64_t>::min();

using bytes_offset = flatbuffers::Offset<void>;

std::pair<group::body, bytes_offset> add_body(
    flatbuffers::FlatBufferBuilder& builder, const cuminpitch::control::group_hello& it)
{
    std::vector<flatbuffers::Offset<flatbuffers::String>> known;
    for (const auto& endpoint : it.known) {
        known.push_back(builder.CreateString(endpoint.str()));
    }
    const auto body = group::CreatehelloDirect(
        builder,
        it.identity.str().c_str(),
        it.id.str().c_str(),
        it.http.host.c_str(),
        it.http.port,
        it.failure_domain.str().c_str(),
        it.group.value(),
        it.revision.value(),
        absl::ToUnixMicros(it.clock),
        it.echo ? absl::ToUnixMicros(*it.echo) : no_echo,
        &known);
    return {group::body::hello, body.Union()};
}

std::pair<group::body, bytes_offset> add_body(
    flatbuffers::FlatBufferBuilder& builder,
    const cuminpitch::control::relayed_report& it)
{
    const std::string bytes = encode(cuminpitch::control::message(it.report));
    const auto vector = builder.CreateVector(
        reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
    return {
        group::body::relayed_report,
        group::Createrelayed_report(builder, vector).Union()};
}

core::result<cuminpitch::control::group_message> read(const group::hello& it)
{
    cuminpitch::control::group_hello result;
    result.identity = consensus::member_id(it.identity()->str());
    result.id = core::instance_id(it.id()->str());
    const auto http = core::parse_endpoint(
        it.http_host()->str() + ":" + std::to_string(it.http_port()));
    if (result.identity.empty() || result.id.empty() || !http) {
        return make_error_code(core::errc::malformed_message);
    }
    result.http = *http;
    result.failure_domain = core::failure_domain_id(it.failure_domain()->str());
    result.group = consensus::group_id(it.group());
    result.revision = core::revision(it.revision());
    result.clock = absl::FromUnixMicros(it.clock_us());
    if (it.echo_us() != no_echo) {
        result.echo = absl::FromUnixMicros(it.echo_us());
    }
    if (it.known() != nullptr) {
        for (const auto* text : *it.known()) {
            const auto endpoint = core::parse_endpoint(text->str());
            if (!endpoint) {
                return make_error_code(core::errc::malformed_message);
            }
            result.known.push_back(*endpoint);
        }
    }
    return cuminpitch::control::group_message(std::move(result));
}

core::result<cuminpitch::control::group_message> read(const group::relayed_report& it)
{
    const std::string_view bytes(
        reinterpret_cast<const char*>(it.message()->data()), it.message()->size());
    auto message = decode_control_message(bytes);
    if (!message) {
        return message.error();
    }
    auto* report = std::get_if<cuminpitch::control::sync_request>(&message.value());
    if (report == nullptr) {
        return make_error_code(core::errc::malformed_message);
    }
    return cuminpitch::control::group_message(
        cuminpitch::control::relayed_report{std::move(*report)});
}

} // namespace

std::string encode(const cuminpitch::control::group_message& it)
{
    flatbuffers::FlatBufferBuilder builder;
    const auto [type, body] =
        std::visit([&](const auto& what) { return add_body(builder, what); }, it);
    builder.Finish(group::Createenvelope(builder, type, body));
    return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

core::result<cuminpitch::control::group_message>
decode_group_message(std::string_view payload)
{
    flatbuffers::Verifier verifier(
        reinterpret_cast<const std::uint8_t*>(payload.data()), payload.size());
    if (!verifier.VerifyBuffer<group::envelope>(nullptr)) {
        return make_error_code(core::errc::malformed_message);
    }
    const auto& it = *flatbuffers::GetRoot<group::envelope>(payload.data());
    if (const auto* hello = it.body_as_hello()) {
        return read(*hello);
    }
    if (const auto* report = it.body_as_relayed_report()) {
        return read(*report);
    }
    return make_error_code(core::errc::malformed_message);
}

} // namespace cuminpitch::wire
