#pragma once

#include "cuminpitch/consensus/member.hpp"
#include "cuminpitch/control/sync.hpp"
#include "cuminpitch/core/endpoint.hpp"

#include <absl/time/time.h>

#include <optional>
#include <variant>
#include <vector>

namespace cuminpitch::control {

/// A control instance makes itself known to its peers with it, every 500 ms.
struct group_hello
{
    consensus::member_id identity; ///< Of its data folder.
    core::instance_id id;
    core::endpoint http;
    core::failure_domain_id failure_domain;
    consensus::group_id group; ///< Hash of its present members, 0 if in no group.
    core::revision revision;   ///< Of its fleet state.
    absl::Time clock;          ///< Reading of the sender's clock.
    /// Newest reading of the receiver's clock that the sender has.
    std::optional<absl::Time> echo;
    /// Internal endpoints of the control instances that the sender knows, so that one
    /// that was told only a few finds the others.
    std::vector<core::endpoint> known;

    friend bool operator==(const group_hello&, const group_hello&) = default;
};

/// An entry's report that a follower passes on to the leader.
struct relayed_report
{
    sync_request report;

    friend bool operator==(const relayed_report&, const relayed_report&) = default;
};

using group_message = std::variant<group_hello, relayed_report>;

} // namespace cuminpitch::control
