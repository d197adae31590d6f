#pragma once

#include "cuminpitch/control/fleet_contents.hpp"

#include <string_view>
#include <vector>

namespace cuminpitch::entry {

/// The entries that grant the permits for a server or a customer: the first one does, and
/// the others replace it in turn. Up to three, equal at all entries with the same
/// members.
std::vector<control::entry_record> permit_owners(
    std::string_view subject, const std::vector<control::entry_record>& members);

} // namespace cuminpitch::entry
