#include "cuminpitch/wire/pool_codec.hpp"

#include "wire/generated/pool_generated.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <utility>

namespace cuminpitch::wire {
namespace {

// Longer durations are clamped to this. Every rule that uses an age treats one of this
// length like an infinite one.
constexpr std::int64_t max_duration_us = std::int64_t{1} << 50;

std::uint64_t to_us(absl::Duration it)
{
    const auto us = absl::ToInt64Microseconds(it);
    return static_cast<std::uint64_t>(std::clamp<std::int64_t>(us, 0, max_duration_us));
}

absl::Duration from_us(std::uint64_t us)
{
    return absl::Microseconds(static_cast<std::int64_t>(
        std::min(us, static_cast<std::uint64_t>(max_duration_us))));
}

absl::Time time_from_us(std::int64_t us)
{
    return absl::FromUnixMicros(us);
}

std::vector<std::string> names(const std::vector<core::server_id>& ids)
{
    std::vector<std::string> result;
    result.reserve(ids.size());
    for (const auto& id : ids) {
        result.push_back(id.str());
    }
    return result;
}

std::vector<core::server_id> server_ids(const std::vector<std::string>& names)
{
    std::vector<core::server_id> result;
    result.reserve(names.size());
    for (const auto& name : names) {
        result.emplace_back(name);
    }
    return result;
}

std::unique_ptr<pool::server_announcementT>
to_wire(const upstream::relayed_announcement& relayed)
{
    auto out = std::make_unique<pool::server_announcementT>();
    out->server = relayed.it.server.str();
    out->incarnation = relayed.it.incarnation;
    out->sequence = relayed.it.sequence;
    out->state = static_cast<std::uint8_t>(relayed.it.state);
    out->host = relayed.it.address.host;
    out->port = relayed.it.address.port;
    out->failure_domain = relayed.it.failure_domain.str();
    out->slots = relayed.it.slots;
    out->connections = relayed.it.connections;
    out->cold_start_ms = static_cast<std::uint32_t>(std::clamp<std::int64_t>(
        absl::ToInt64Milliseconds(relayed.it.cold_start), 0, UINT32_MAX));
    out->age_us =
        to_us(relayed.age + absl::Microseconds(1)); // Rounded up to an upper bound.
    out->active_age_us = to_us(relayed.active_age);
    return out;
}

upstream::relayed_announcement from_wire(const pool::server_announcementT& in)
{
    upstream::relayed_announcement out;
    out.it.server = core::server_id(in.server);
    out.it.incarnation = in.incarnation;
    out.it.sequence = in.sequence;
    out.it.state = static_cast<upstream::availability>(in.state);
    out.it.address = {in.host, in.port};
    out.it.failure_domain = core::failure_domain_id(in.failure_domain);
    out.it.slots = in.slots;
    out.it.connections = in.connections;
    out.it.cold_start = absl::Milliseconds(in.cold_start_ms);
    out.age = from_us(in.age_us);
    out.active_age = from_us(in.active_age_us);
    return out;
}

std::unique_ptr<pool::ejection_set_fieldsT> to_wire(const health::ejection_set& ejections)
{
    auto out = std::make_unique<pool::ejection_set_fieldsT>();
    out->valid_for_us = to_us(ejections.valid_for);
    out->servers = names(ejections.servers);
    out->probation = names(ejections.probation);
    out->suspected = names(ejections.suspected);
    for (const auto& start : ejections.slow_starts) {
        auto fields = std::make_unique<pool::slow_start_fieldsT>();
        fields->server = start.server.str();
        fields->age_us = to_us(start.age);
        out->slow_start.push_back(std::move(fields));
    }
    return out;
}

health::ejection_set from_wire(const pool::ejection_set_fieldsT& in)
{
    health::ejection_set out;
    out.valid_for = from_us(in.valid_for_us);
    out.servers = server_ids(in.servers);
    out.probation = server_ids(in.probation);
    out.suspected = server_ids(in.suspected);
    for (const auto& it : in.slow_start) {
        out.slow_starts.push_back({core::server_id(it->server), from_us(it->age_us)});
    }
    return out;
}

std::unique_ptr<pool::server_evidenceT> to_wire(const health::evidence_cell& cell)
{
    auto out = std::make_unique<pool::server_evidenceT>();
    out->server = cell.server.str();
    out->route = cell.route.str();
    out->requests = cell.counts.requests;
    out->failures = cell.counts.failures;
    out->slow = cell.counts.slow;
    return out;
}

health::evidence_cell from_wire(const pool::server_evidenceT& in)
{
    const auto slash = in.route.find('/');
    return {
        core::server_id(in.server),
        {core::team_id(in.route.substr(0, slash)), in.route.substr(slash + 1)},
        {in.requests, in.failures, in.slow}};
}

bool is_valid(const pool::server_evidenceT& it)
{
    return !it.server.empty() && it.route.find('/') != std::string::npos &&
           it.failures <= it.requests && it.slow <= it.requests;
}

bool is_valid(const pool::server_announcementT& it)
{
    return !it.server.empty() && !it.host.empty() && it.port != 0 && it.state <= 2;
}

bool is_valid(const pool::capacity_sampleT& it)
{
    return std::isfinite(it.slots) && std::isfinite(it.servers) && it.slots >= 0 &&
           it.servers >= 0;
}

bool is_valid(const pool::heartbeatT& it)
{
    const auto each = [](const auto& list) {
        return std::all_of(
            list.begin(), list.end(), [](const auto& at) { return is_valid(*at); });
    };
    return !it.team.empty() && !it.pool.empty() && each(it.evidence) &&
           each(it.announcements) && each(it.capacity);
}

} // namespace

std::string encode(const health::pool_heartbeat& heartbeat)
{
    pool::heartbeatT out;
    out.team = heartbeat.pool.team.str();
    out.pool = heartbeat.pool.name;
    out.incarnation = heartbeat.incarnation;
    out.list_revision = heartbeat.list_revision.value();
    out.fleet_revision = heartbeat.fleet_revision.value();
    out.clock_us = absl::ToUnixMicros(heartbeat.clock);
    out.echo_us = heartbeat.echo ? absl::ToUnixMicros(*heartbeat.echo) : 0;
    out.echo_incarnation = heartbeat.echo ? heartbeat.echo_incarnation : 0;
    out.draining = heartbeat.draining;
    out.evidence_stream = heartbeat.evidence_stream;
    out.evidence_sequence = heartbeat.evidence_sequence;
    out.evidence_ack_stream = heartbeat.evidence_ack_stream;
    out.evidence_ack = heartbeat.evidence_ack;
    for (const auto& cell : heartbeat.evidence) {
        out.evidence.push_back(to_wire(cell));
    }
    for (const auto& announcement : heartbeat.announcements) {
        out.announcements.push_back(to_wire(announcement));
    }
    for (const auto& sample : heartbeat.capacity) {
        auto fields = std::make_unique<pool::capacity_sampleT>();
        fields->age_us = to_us(sample.age);
        fields->slots = sample.slots;
        fields->servers = sample.servers;
        out.capacity.push_back(std::move(fields));
    }
    if (heartbeat.lease_request) {
        out.lease_request = std::make_unique<pool::lease_request_fieldsT>();
        out.lease_request->sent_us = absl::ToUnixMicros(heartbeat.lease_request->sent);
    }
    if (heartbeat.lease_grant) {
        out.lease_grant = std::make_unique<pool::lease_grant_fieldsT>();
        out.lease_grant->holder_incarnation = heartbeat.lease_grant->holder_incarnation;
        out.lease_grant->request_sent_us =
            absl::ToUnixMicros(heartbeat.lease_grant->request_sent);
    }
    if (heartbeat.ejections) {
        out.ejections = to_wire(*heartbeat.ejections);
    }
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(pool::heartbeat::Pack(builder, &out));
    return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

core::result<health::pool_heartbeat> decode_pool_heartbeat(std::string_view payload)
{
    const auto* data = reinterpret_cast<const std::uint8_t*>(payload.data());
    flatbuffers::Verifier verifier(data, payload.size());
    if (!pool::VerifyheartbeatBuffer(verifier)) {
        return core::make_error_code(core::errc::malformed_message);
    }
    const std::unique_ptr<pool::heartbeatT> in(pool::Getheartbeat(data)->UnPack());
    if (!is_valid(*in)) {
        return core::make_error_code(core::errc::malformed_message);
    }
    health::pool_heartbeat out;
    out.pool = {core::team_id(in->team), in->pool};
    out.incarnation = in->incarnation;
    out.list_revision = core::revision(in->list_revision);
    out.fleet_revision = core::revision(in->fleet_revision);
    out.clock = time_from_us(in->clock_us);
    if (in->echo_incarnation != 0) {
        out.echo = time_from_us(in->echo_us);
        out.echo_incarnation = in->echo_incarnation;
    }
    out.draining = in->draining;
    out.evidence_stream = in->evidence_stream;
    out.evidence_sequence = in->evidence_sequence;
    out.evidence_ack_stream = in->evidence_ack_stream;
    out.evidence_ack = in->evidence_ack;
    for (const auto& it : in->evidence) {
        out.evidence.push_back(from_wire(*it));
    }
    for (const auto& it : in->announcements) {
        out.announcements.push_back(from_wire(*it));
    }
    for (const auto& it : in->capacity) {
        out.capacity.push_back({from_us(it->age_us), it->slots, it->servers});
    }
    if (in->lease_request) {
        out.lease_request = {time_from_us(in->lease_request->sent_us)};
    }
    if (in->lease_grant) {
        out.lease_grant = {
            in->lease_grant->holder_incarnation,
            time_from_us(in->lease_grant->request_sent_us)};
    }
    if (in->ejections) {
        out.ejections = from_wire(*in->ejections);
    }
    return out;
}

} // namespace cuminpitch::wire
