#pragma once

#include "cuminpitch/consensus/member.hpp"
#include "cuminpitch/control/sync.hpp"
#include "cuminpitch/core/endpoint.hpp"

#include <absl/time/time.h>

#include <optional>
#include <variant>
#include <vector>

namespace cuminpitch::control {

/// Sent by each control instance to its peers every 500 ms.
struct group_hello
{
    consensus::member_id identity; ///< Identity of the sender's data folder.
    core::instance_id id;
    core::endpoint http;
    core::failure_domain_id failure_domain;
    consensus::group_id group; ///< Hash of the current members, 0 if in no group.
    core::revision revision;   ///< Revision of the sender's fleet state.
    /// Start of the sender whose clock this is. The clocks of two starts have no order,
    /// as a clock starts anew with the machine.
    core::start_id start;
    absl::Time clock; ///< The sender's clock at sending.
    /// The newest clock reading that the sender has received from the receiver.
    std::optional<absl::Time> echo;
    /// Internal endpoints of the control instances that the sender knows, so that an
    /// instance configured with only a few peers discovers the others.
    std::vector<core::endpoint> known;

    friend bool operator==(const group_hello&, const group_hello&) = default;
};

/// An entry's report that a follower forwards to the leader.
struct relayed_report
{
    sync_request report;

    friend bool operator==(const relayed_report&, const relayed_report&) = default;
};

using group_message = std::variant<group_hello, relayed_report>;

} // namespace cuminpitch::control
