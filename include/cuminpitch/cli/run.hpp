#pragma once

#include <iosfwd>

namespace cuminpitch::cli {

/// Exit statuses of the operator command line.
enum exit_status : int
{
    exit_done = 0,
    exit_failed = 1,   ///< No control instance could be reached, or the call was refused.
    exit_invalid = 2,  ///< An invalid setting or argument, or invalid declarations.
    exit_conflict = 3, ///< The team's settings changed after the base revision.
    exit_timeout = 4,  ///< The timeout passed before the outcome was known, or before the
                       ///< revision was in force everywhere.
};

/// Runs one command of `cuminpitch` and returns its exit status. Prints results to `out`,
/// errors and progress to `err`.
int run(int argc, const char* const* argv, std::ostream& out, std::ostream& err);

} // namespace cuminpitch::cli
