#pragma once

#include "cuminpitch/control/fleet_view.hpp"
#include "cuminpitch/core/ids.hpp"
#include "cuminpitch/http/message.hpp"
#include "cuminpitch/upstream/announcement.hpp"

#include <absl/time/time.h>

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cuminpitch::entry {

/// Requests with this path prefix are handled by the entry itself and never proxied.
inline constexpr std::string_view api_prefix = "/.cuminpitch/";
inline constexpr std::string_view entries_path = "/.cuminpitch/v1/entries";
inline constexpr std::string_view announce_path = "/.cuminpitch/v1/announce";
inline constexpr std::string_view status_path = "/.cuminpitch/v1/status";
inline constexpr std::string_view metrics_path = "/.cuminpitch/metrics";

/// Maximum time between two announcements of a backend server.
inline constexpr absl::Duration max_renew_interval = absl::Seconds(1);
/// Announcements per departure time. An announcement echoes the response to the previous
/// one, so its age reaches two intervals plus the network delay. Two intervals are half
/// of the departure time, so that a server which is up does not look gone because of a
/// late announcement or load.
inline constexpr int renewals_per_departure = 4;

/// A parsed POST request to `announce_path`.
struct announce_request
{
    core::pool_id pool;
    upstream::announcement announcement;
    /// Time on this entry's clock that the last response to the server contained.
    std::optional<absl::Time> echo;
};

/// Returns the parsed announcement, or a message that says what is wrong with the body.
std::variant<announce_request, std::string> parse_announce(const std::string& body);

/// Parses "team/pool". Empty if malformed.
std::optional<core::pool_id> parse_pool(const std::string& text);

http::response announce_response(
    absl::Time now,
    bool accepted,
    const std::vector<control::entry_record>& entries,
    absl::Duration departure);

http::response entries_response(
    const core::pool_id& pool,
    core::revision revision,
    const std::vector<control::entry_record>& entries,
    absl::Duration entries_ttl);

/// A JSON response of the form {"error": reason}.
http::response error_response(int status, const std::string& reason);

} // namespace cuminpitch::entry
