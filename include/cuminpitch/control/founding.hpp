#pragma once

#include "cuminpitch/consensus/member.hpp"
#include "cuminpitch/core/endpoint.hpp"

#include <vector>

namespace cuminpitch::control {

/// At the first start of a fleet all instances are told the same seeds. Each seed forms
/// the same group on its own, without having met the others, and the other instances are
/// admitted to it. An instance that comes back with an empty disk is not told to form a
/// group and joins the one that exists, so there is never a second group.

/// Identity of the data folder of a seed that forms the group: 32 hex digits.
consensus::member_id founder_identity(const core::endpoint& internal);

/// The first voters. They are named by where they listen, which is all that is known.
consensus::member_set founding_voters(const std::vector<core::endpoint>& seeds);

} // namespace cuminpitch::control
