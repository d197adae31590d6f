#pragma once

#include "control/group_directory_priv.hpp"
#include "cuminpitch/control/controller.hpp"
#include "cuminpitch/control/fleet_state.hpp"
#include "cuminpitch/control/node.hpp"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cuminpitch::control {

/// Why the body of an operator's request can't be parsed.
struct malformed_body
{
    std::string reason;
};

std::variant<change, malformed_body>
parse_change(const std::string& body, std::int64_t wall_clock_ms);
std::variant<std::vector<core::endpoint>, malformed_body>
parse_init(const std::string& body);
std::variant<set_assignment, malformed_body> parse_reassign(const std::string& body);

http::response outcome_answer(const outcome& it);
http::response settings_answer(const fleet_state& state, const std::string& prefix);
http::response changes_answer(const std::vector<numbered_command>& changes);
http::response error_answer(int status, const std::string& reason);
/// The answer to a change whose outcome is unknown. `maybe_applied` tells whether the
/// change may still be applied.
http::response unknown_outcome_answer(bool maybe_applied, const std::string& reason);
/// Directs the operator to the leader.
http::response leader_answer(const core::endpoint& leader);

/// The state of one instance in the status answer. An age is empty if there was never
/// contact.
struct instance_status
{
    core::instance_id id;
    bool is_control = false;
    core::failure_domain_id failure_domain;
    std::optional<core::revision> in_force;
    /// Time since the last message from the instance, and since the newest message to it
    /// that it has confirmed.
    std::optional<absl::Duration> contact_in;
    std::optional<absl::Duration> contact_out;
    /// Time since the most recent contact that an entry reports with this instance.
    std::optional<absl::Duration> peer_contact;
    bool draining = false;
};

struct fleet_status
{
    core::revision revision;
    core::term term;
    std::optional<core::instance_id> leader;
    std::vector<instance_status> instances;
    std::vector<lagging_entry> lagging_entries;
};

http::response status_answer(const fleet_status& it);

} // namespace cuminpitch::control
