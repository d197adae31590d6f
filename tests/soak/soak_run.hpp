#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace cuminpitch::testing {

struct soak_options
{
    std::string binaries; ///< Folder of the programs.
    std::uint64_t seed = 1;
    absl::Duration length = absl::Seconds(10); ///< With faults.
};

struct soak_result
{
    std::vector<std::string> problems; ///< One line for each broken guarantee.
    std::vector<std::string> faults;   ///< What was done, in order.
    std::size_t requests = 0;
    double served = 0;        ///< Part of all requests.
    double served_at_end = 0; ///< Part of those after the last fault.
    std::string folder;       ///< Logs and settings of the processes.
};

/// Plays one seed: starts a fleet, puts faults on it while callers, backend servers and
/// an operator use it, lets it recover, and compares what each of them saw.
soak_result run_soak(const soak_options& it);

} // namespace cuminpitch::testing
