#include "cuminpitch/wire/group_codec.hpp"

#include "cuminpitch/wire/control_codec.hpp"
#include "wire/generated/group_generated.h"

#include <limits>

namespace cuminpitch::wire {
namespace {

constexpr std::int64_t no_echo = std::numeric_limits<std::int64_t>::min();

using union_offset = flatbuffers::Offset<void>;

std::pair<group::body, union_offset> add_body(
    flatbuffers::FlatBufferBuilder& builder,
    const cuminpitch::control::group_hello& hello)
{
    std::vector<flatbuffers::Offset<flatbuffers::String>> known;
    for (const auto& endpoint : hello.known) {
        known.push_back(builder.CreateString(endpoint.str()));
    }
    const auto body = group::CreatehelloDirect(
        builder,
        hello.identity.str().c_str(),
        hello.id.str().c_str(),
        hello.http.host.c_str(),
        hello.http.port,
        hello.failure_domain.str().c_str(),
        hello.group.value(),
        hello.revision.value(),
        absl::ToUnixMicros(hello.clock),
        hello.echo ? absl::ToUnixMicros(*hello.echo) : no_echo,
        &known,
        hello.start.value());
    return {group::body::hello, body.Union()};
}

std::pair<group::body, union_offset> add_body(
    flatbuffers::FlatBufferBuilder& builder,
    const cuminpitch::control::relayed_report& relayed)
{
    const std::string bytes = encode(cuminpitch::control::message(relayed.report));
    const auto vector = builder.CreateVector(
        reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
    return {
        group::body::relayed_report,
        group::Createrelayed_report(builder, vector).Union()};
}

core::result<cuminpitch::control::group_message> read(const group::hello& hello)
{
    cuminpitch::control::group_hello result;
    result.identity = consensus::member_id(hello.identity()->str());
    result.id = core::instance_id(hello.id()->str());
    const auto http = core::parse_endpoint(
        hello.http_host()->str() + ":" + std::to_string(hello.http_port()));
    if (result.identity.empty() || result.id.empty() || !http) {
        return make_error_code(core::errc::malformed_message);
    }
    result.http = *http;
    result.failure_domain = core::failure_domain_id(hello.failure_domain()->str());
    result.group = consensus::group_id(hello.group());
    result.revision = core::revision(hello.revision());
    result.start = core::start_id(hello.start());
    result.clock = absl::FromUnixMicros(hello.clock_us());
    if (hello.echo_us() != no_echo) {
        result.echo = absl::FromUnixMicros(hello.echo_us());
    }
    if (hello.known() != nullptr) {
        for (const auto* text : *hello.known()) {
            const auto endpoint = core::parse_endpoint(text->str());
            if (!endpoint) {
                return make_error_code(core::errc::malformed_message);
            }
            result.known.push_back(*endpoint);
        }
    }
    return cuminpitch::control::group_message(std::move(result));
}

core::result<cuminpitch::control::group_message>
read(const group::relayed_report& relayed)
{
    const std::string_view bytes(
        reinterpret_cast<const char*>(relayed.message()->data()),
        relayed.message()->size());
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

std::string encode(const cuminpitch::control::group_message& message)
{
    flatbuffers::FlatBufferBuilder builder;
    const auto [type, body] = std::visit(
        [&](const auto& content) { return add_body(builder, content); }, message);
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
