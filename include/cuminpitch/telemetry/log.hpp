#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace cuminpitch::telemetry {

enum class severity
{
    debug,
    info,
    warning,
    error
};

/// A named value in a log line.
struct field
{
    std::string name;
    std::variant<std::string, std::int64_t, double, bool> value;
};

enum class log_output
{
    /// Lines are written by the thread that calls log(), through easylogging++.
    standard_error,
    /// Lines are queued and written by a separate thread, so that log() never blocks. The
    /// average rate is limited to `log_lines_per_second`. Lines above the rate, and lines
    /// that find the queue full because the reader is too slow, are dropped; a separate
    /// line reports their number.
    standard_output,
};

/// An entry at its limit of about 200 requests per second writes two lines per request.
/// At 350 bytes per line this makes 140 KB/s.
constexpr std::size_t log_lines_per_second = 400;
/// Maximum number of lines in the queue.
constexpr std::size_t log_queue_limit = 2000;

/// Starts to write log lines of severity `threshold` and above to `output`. Call once,
/// before any log().
void start_log(
    std::string process,
    severity threshold,
    log_output output = log_output::standard_error);

/// Waits until the queued lines are written, at most 200 ms.
void flush_log();

/// Writes one JSON line with time, level, process, event and the fields. Thread-safe.
void log(severity level, std::string_view event, const std::vector<field>& fields = {});

} // namespace cuminpitch::telemetry
