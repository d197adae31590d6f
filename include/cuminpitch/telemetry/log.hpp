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
    /// Written by the caller of log(), through easylogging++.
    standard_error,
    /// Queued and written by a thread, so that log() never blocks. At most
    /// `log_lines_per_second` in the long run; lines beyond that, and those for which the
    /// reader is too slow, are dropped and counted in a line of their own.
    standard_output,
};

/// 350 bytes a line make 140 KB/s: an entry at its limit of about 200 requests a second
/// writes two lines for each.
constexpr std::size_t log_lines_per_second = 400;
/// Lines that wait for the reader.
constexpr std::size_t log_queue_limit = 2000;

/// Sends log lines at or above `least` to the output. Call once, before any log().
void start_log(
    std::string process, severity least, log_output output = log_output::standard_error);

/// Waits until the queued lines are written, for a moment at most.
void flush_log();

/// Writes one JSON line: time, level, process, event and the fields. Thread-safe.
void log(severity at, std::string_view event, const std::vector<field>& fields = {});

} // namespace cuminpitch::telemetry
