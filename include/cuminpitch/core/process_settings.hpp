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
    std::string data_dir; ///< `--data-dir`, writable, used by this instance only.
    endpoint http;        ///< `--http`, address of the operator API.
    endpoint internal;    ///< `--internal`, address for other processes of the fleet.
    /// `--internal-listen`, listening address if it differs from `internal`, for example
    /// behind a port forwarder.
    std::optional<endpoint> internal_listen;
    failure_domain_id failure_domain; ///< `--failure-domain`.
    std::vector<endpoint> peers; ///< `--peers`, internal endpoints of the other control
                                 ///< instances; empty for a single instance.
    /// `--seeds`, internal endpoints of some control instances, which may include this
    /// one. Replaces `peers`: the group admits instances that announce themselves.
    std::vector<endpoint> seeds;
    /// `--declared-losses`: control instances that may be lost at the same moment, with
    /// their disks, without losing an acknowledged change or the majority. The group
    /// keeps as many voters as this needs.
    std::uint32_t declared_losses = 1;
    /// `--form-group`: the seeds form the initial group. Only for the first start of a
    /// fleet; has no effect on an instance whose data folder is not empty.
    bool form_group = false;
    /// `--directory`, an additional HTTP address for callers that look up the entries to
    /// use.
    std::optional<endpoint> directory;
    /// `--entries-per-answer`, number of entries that a directory response lists.
    std::uint32_t entries_per_answer = 3;
    /// `--slots-per-entry`, number of backend server slots that one entry can keep busy.
    /// Responses list more entries if the servers have more slots. 0 disables this.
    std::uint32_t slots_per_entry = 0;
    /// `--memory-mb`: memory that the process may use, in MB. Limits the bodies that it
    /// buffers. 0 means unknown.
    std::uint32_t memory_mb = 0;
    telemetry::severity log_level = telemetry::severity::info; ///< `--log-level`.
    bool fault_injection = false; ///< `--fault-injection`, only for tests.
};

/// Settings of cuminpitch-entry.
struct entry_settings
{
    instance_id id;    ///< `--id`, unique among all instances.
    endpoint http;     ///< `--http`, address for callers and backend servers.
    endpoint internal; ///< `--internal`, address for other processes of the fleet.
    /// `--internal-listen`, listening address if it differs from `internal`, for example
    /// behind a port forwarder.
    std::optional<endpoint> internal_listen;
    failure_domain_id failure_domain; ///< `--failure-domain`.
    std::vector<endpoint> control;    ///< `--control`, internal endpoints of the control
                                      ///< instances.
    /// `--seeds`, internal endpoints of some control instances, from which the entry
    /// learns the others. Replaces `control`.
    std::vector<endpoint> seeds;
    /// `--readiness`, HTTP address that reports whether callers may connect to the entry.
    std::optional<endpoint> readiness;
    /// `--directory`, an additional HTTP address for callers that look up the entries to
    /// use.
    std::optional<endpoint> directory;
    /// `--isolation-timeout`: time without contact to the fleet after which requests are
    /// refused.
    absl::Duration isolation_timeout = absl::Seconds(5);
    /// `--stop-grace`: maximum time from the stop signal to the end of the process. New
    /// requests are accepted during the first half.
    std::optional<absl::Duration> stop_grace;
    /// `--slots`: slots of backend servers that the entry can keep busy. Control names as
    /// many entries to callers as the servers need. 0: as control's `--slots-per-entry`.
    std::uint32_t slots = 0;
    /// `--max-key-age`: time for which keys of customers are valid after control has last
    /// confirmed the state of the entry. Unlimited if not set.
    std::optional<absl::Duration> max_key_age;
    /// `--admission=ranked`: requests are queued and refused by priority, not in the
    /// order of their arrival.
    bool has_ranked_admission = false;
    /// `--pipeline-depth`, requests of one caller's connection that may be open at the
    /// same time.
    std::uint32_t pipeline_depth = 1;
    std::vector<endpoint> peers; ///< `--peers`, internal endpoints of some other
                                 ///< entries; may be empty.
    /// `--memory-mb`: memory that the process may use, in MB. Limits the bodies that it
    /// buffers. 0 means unknown.
    std::uint32_t memory_mb = 0;
    telemetry::severity log_level = telemetry::severity::info; ///< `--log-level`.
    bool fault_injection = false; ///< `--fault-injection`, only for tests.
};

/// Parse flags and environment variables. Return the settings, or a request to end the
/// process. They open no socket.
std::variant<control_settings, exit_request>
parse_control_settings(int argc, const char* const* argv);
std::variant<entry_settings, exit_request>
parse_entry_settings(int argc, const char* const* argv);

} // namespace cuminpitch::core
