#include "control/sync_clients_priv.hpp"

#include "cuminpitch/wire/control_codec.hpp"

#include <algorithm>

namespace cuminpitch::control {
namespace {

/// An entry that hasn't reported for this time is taken to use another control instance.
constexpr absl::Duration client_timeout = absl::Seconds(3);

/// Time until the arrival of a short message shows in the entry's next report; entries
/// report every 500 ms.
constexpr absl::Duration delivery_time = absl::Milliseconds(700);
/// Half of the bandwidth of the slowest entry links, 2.1 Mbit/s; the other half is left
/// for requests.
constexpr double link_bytes_per_s = 128U << 10U;

/// Maximum confirmations sent to each incarnation of an entry. Several are sent, as some
/// may be lost.
constexpr unsigned confirmation_limit = 5;

/// Limit of the updates sent in one step, so that messages between control instances
/// don't wait for those of hundreds of entries.
constexpr std::size_t bytes_per_step = 256U << 10U;
/// Updates from this size on, and those of entries without a state, are logged.
constexpr std::size_t logged_update_bytes = 32U << 10U;

net::frame encode_update(
    const fleet_state& state,
    core::revision base,
    const std::optional<leader_address>& leader,
    absl::Duration age)
{
    sync_response it{state.packed_update_for(base), state.revision(), leader};
    it.age = age;
    net::frame frame{net::channel::control, wire::encode(message(it))};
    frame.is_mostly_compressed = std::holds_alternative<packed_contents>(it.update);
    return net::compress_payload(std::move(frame));
}

} // namespace

core::revision sync_clients::record_report(absl::Time now, const sync_request& it)
{
    auto& known = clients_[it.entry.id];
    const bool is_same =
        known.incarnation == it.incarnation && known.internal == it.entry.internal;
    auto& in_transit = known.in_transit;
    while (!in_transit.empty() && in_transit.front().revision <= it.in_force) {
        in_transit.pop_front();
    }
    // Later updates start where an earlier one ends, so they are of no use if one is
    // lost.
    const bool is_complete =
        is_same && !in_transit.empty() && now < in_transit.front().expected_arrival;
    known.internal = it.entry.internal;
    known.incarnation = it.incarnation;
    known.last_report = now;
    if (!is_complete) {
        in_transit.clear();
        known.sent_revision = it.in_force;
    }
    return known.sent_revision;
}

void sync_clients::record_sent(
    absl::Time now,
    const core::instance_id& entry,
    core::revision revision,
    std::size_t bytes)
{
    auto& known = clients_[entry];
    if (known.sent_revision >= revision) {
        return;
    }
    known.sent_revision = revision;
    known.link_free_at = std::max(known.link_free_at, now) +
                         absl::Seconds(static_cast<double>(bytes) / link_bytes_per_s);
    known.in_transit.push_back({revision, known.link_free_at + delivery_time});
}

bool sync_clients::push(
    absl::Time now,
    const fleet_state& state,
    const std::optional<leader_address>& leader,
    absl::Duration age,
    std::vector<node_action>& out)
{
    absl::erase_if(clients_, [&](const auto& it) {
        return now - it.second.last_report > client_timeout;
    });
    // Clients at the same revision get the same bytes, so each update is encoded once.
    absl::btree_map<core::revision, net::frame> frames;
    std::size_t bytes = 0;
    for (auto& [id, it] : clients_) {
        if (it.sent_revision >= state.revision()) {
            continue;
        }
        if (bytes >= bytes_per_step) {
            return false;
        }
        const auto base = it.sent_revision;
        const auto [frame, is_new] = frames.try_emplace(base);
        if (is_new) {
            frame->second = encode_update(state, base, leader, age);
        }
        out.emplace_back(action::send_frame{it.internal, frame->second});
        const auto size = frame->second.payload.size();
        bytes += size;
        record_sent(now, id, state.revision(), size);
        if (base == core::revision() || size >= logged_update_bytes) {
            out.emplace_back(action::write_log{
                telemetry::severity::info,
                "update sent",
                {{"entry", id.str()},
                 {"base", static_cast<std::int64_t>(base.value())},
                 {"revision", static_cast<std::int64_t>(state.revision().value())},
                 {"bytes", static_cast<std::int64_t>(size)},
                 {"age_ms", absl::ToInt64Milliseconds(age)}}});
        }
    }
    return true;
}

bool entry_confirmations::record_report(
    absl::Time now, const sync_request& it, absl::Time majority_contact)
{
    auto& known = entries_[it.entry.id];
    if (known.incarnation != it.incarnation) {
        known = {it.incarnation, now, 0};
    }
    return majority_contact > known.first_report;
}

bool entry_confirmations::should_answer(const core::instance_id& id)
{
    return entries_[id].answers++ < confirmation_limit;
}

} // namespace cuminpitch::control
