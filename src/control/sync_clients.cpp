#include "control/sync_clients_priv.hpp"

#include "cuminpitch/wire/control_codec.hpp"

#include <algorithm>

namespace cuminpitch::control {
namespace {

/// An entry that reported longer ago uses another control instance by now.
constexpr absl::Duration client_timeout = absl::Seconds(3);

/// Confirmations sent for each process of an entry, as some may be lost.
constexpr unsigned confirmation_limit = 5;

} // namespace

void sync_clients::note(absl::Time now, const sync_request& it)
{
    auto& known = clients_[it.entry.id];
    known.internal = it.entry.internal;
    known.sent = it.in_force;
    known.seen = now;
}

sync_response sync_clients::make_response(
    const fleet_state& state,
    core::revision in_force,
    const std::optional<leader_address>& leader,
    bool confirmed)
{
    return {state.packed_update_for(in_force), state.revision(), leader, confirmed};
}

void sync_clients::push(
    absl::Time now,
    const fleet_state& state,
    const std::optional<leader_address>& leader,
    std::vector<node_action>& out)
{
    absl::erase_if(
        clients_, [&](const auto& it) { return now - it.second.seen > client_timeout; });
    for (auto& [id, it] : clients_) {
        if (it.sent >= state.revision()) {
            continue;
        }
        const auto response = make_response(state, it.sent, leader, false);
        it.sent = state.revision();
        out.emplace_back(action::send_frame{
            it.internal,
            net::frame{net::channel::control, wire::encode(message(response))}});
    }
}

bool entry_confirmations::report(
    absl::Time now, const sync_request& it, absl::Time majority_contact)
{
    auto& known = entries_[it.entry.id];
    if (known.incarnation != it.incarnation) {
        known = {it.incarnation, now, 0};
    }
    return majority_contact > known.first_report;
}

bool entry_confirmations::wants_answer(const core::instance_id& id)
{
    return entries_[id].answers++ < confirmation_limit;
}

} // namespace cuminpitch::control
