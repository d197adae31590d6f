#pragma once

#include "cuminpitch/core/setting_parser.hpp"

#include <iostream>

namespace cuminpitch::daemon {

/// Prints why the process exits before it starts its work (help text or a settings error)
/// and returns its exit status.
inline int print_exit_request(const core::exit_request& it)
{
    (it.status == 0 ? std::cout : std::cerr) << it.text << '\n';
    return it.status;
}

} // namespace cuminpitch::daemon
