#pragma once

#include "cuminpitch/consensus/member.hpp"
#include "cuminpitch/core/endpoint.hpp"

#include <vector>

namespace cuminpitch::control {

/// Bootstrap of the control group. At the first start of a fleet all instances are
/// configured with the same seeds. Each seed forms the same initial group on its own,
/// without contact with the others, and the remaining instances join it. An instance that
/// restarts with an empty disk is not told to form a group and joins the existing one, so
/// there is never a second group.

/// Identity of the data folder of a seed that forms the group: 32 hexadecimal digits
/// derived from its internal endpoint.
consensus::member_id seed_identity(const core::endpoint& internal);

/// The initial voters. They are named by their internal endpoints, as nothing else is
/// known about them.
consensus::member_set initial_voters(const std::vector<core::endpoint>& seeds);

} // namespace cuminpitch::control
