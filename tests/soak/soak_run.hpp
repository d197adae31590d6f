#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace cuminpitch::testing {

struct soak_options
{
    std::string binaries; ///< Folder that holds the programs.
    std::uint64_t seed = 1;
    absl::Duration length = absl::Seconds(10); ///< Time during which faults are injected.
};

struct soak_result
{
    std::vector<std::string> problems; ///< One line for each violation of a guarantee.
    std::vector<std::string> faults;   ///< The injected faults in order of time.
    std::size_t requests = 0;
    bool has_customers = false;
    std::size_t over_rate = 0;     ///< Requests refused with 429.
    std::size_t unauthorized = 0;  ///< Requests refused with 401.
    std::uint64_t repetitions = 0; ///< Writes of second answers of backend servers.
    double served = 0;             ///< Fraction of all requests that succeeded.
    double served_at_end = 0;      ///< The same fraction after the recovery.
    std::string folder;            ///< Holds logs and settings of the processes.
};

/// Runs the soak for one seed: starts a fleet, injects faults while callers, backend
/// servers and an operator use it, lets it recover, and checks what they observed against
/// the guarantees of the platform.
soak_result run_soak(const soak_options& it);

} // namespace cuminpitch::testing
