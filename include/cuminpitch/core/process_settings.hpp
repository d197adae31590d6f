#pragma once

#include "cuminpitch/core/endpoint.hpp"
#include "cuminpitch/core/ids.hpp"
#include "cuminpitch/core/setting_parser.hpp"
#include "cuminpitch/telemetry/log.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cuminpitch::core {

/// Settings of cuminpitch-control.
struct control_settings
{
    instance_id id;       ///< `--id`, unique among all instances.
    std::string data_dir; ///< `--data-dir`, writable folder of this instance alone.
    endpoint http;        ///< `--http`, operator API.
    endpoint internal;    ///< `--internal`, for other processes of the fleet.
    /// `--internal-listen`, where to listen if not at `internal`, as behind a forwarder.
    std::optional<endpoint> internal_listen;
    failure_domain_id failure_domain; ///< `--failure-domain`.
    std::vector<endpoint> peers; ///< `--peers`, internal endpoints of the other control
                                 ///< instances; empty for a single instance.
    /// `--seeds`, internal endpoints of some control instances, this one perhaps among
    /// them. Instead of `peers`: the group admits instances that make themselves known.
    std::vector<endpoint> seeds;
    /// `--form-group`: the seeds form the group. Only for the first start of a fleet; has
    /// no effect on an instance whose data folder isn't empty.
    bool form_group = false;
    /// `--directory`, a second HTTP address, for callers that ask which entries to use.
    std::optional<endpoint> directory;
    /// `--entries-per-answer`, entries named to a caller.
    std::uint32_t entries_per_answer = 3;
    /// `--slots-per-entry`, slots of servers that one entry can keep in use. Where
    /// servers have more, more entries are named. 0: never.
    std::uint32_t slots_per_entry = 0;
    /// `--memory-mb`: memory that the process may use, in MB. Bounds the bodies that it
    /// holds. 0: not known.
    std::uint32_t memory_mb = 0;
    telemetry::severity log_level = telemetry::severity::info; ///< `--log-level`.
    bool fault_injection = false; ///< `--fault-injection`, only for tests.
};

/// Settings of cuminpitch-entry.
struct entry_settings
{
    instance_id id;    ///< `--id`, unique among all instances.
    endpoint http;     ///< `--http`, for callers and backend servers.
    endpoint internal; ///< `--internal`, for other processes of the fleet.
    /// `--internal-listen`, where to listen if not at `internal`, as behind a forwarder.
    std::optional<endpoint> internal_listen;
    failure_domain_id failure_domain; ///< `--failure-domain`.
    std::vector<endpoint> control;    ///< `--control`, internal endpoints of the control
                                      ///< instances.
    /// `--seeds`, internal endpoints of some control instances, which tell the others.
    /// Instead of `control`.
    std::vector<endpoint> seeds;
    /// `--readiness`, HTTP address at which the entry says whether callers may connect.
    std::optional<endpoint> readiness;
    /// `--directory`, a second HTTP address, for callers that ask which entries to use.
    std::optional<endpoint> directory;
    /// `--isolation-timeout`: without contact to the fleet for this long, requests are
    /// refused.
    absl::Duration isolation_timeout = absl::Seconds(5);
    /// `--stop-grace`: time from the signal to stop to the end of the process at most.
    /// New requests are taken for half of it.
    std::optional<absl::Duration> stop_grace;
    std::vector<endpoint> peers; ///< `--peers`, internal endpoints of some other
                                 ///< entries; may be empty.
    /// `--memory-mb`: memory that the process may use, in MB. Bounds the bodies that it
    /// holds. 0: not known.
    std::uint32_t memory_mb = 0;
    telemetry::severity log_level = telemetry::severity::info; ///< `--log-level`.
    bool fault_injection = false; ///< `--fault-injection`, only for tests.
};

/// The settings of the process, or why it must end. Opens no socket.
std::variant<control_settings, exit_request>
parse_control_settings(int argc, const char* const* argv);
std::variant<entry_settings, exit_request>
parse_entry_settings(int argc, const char* const* argv);

} // namespace cuminpitch::core
