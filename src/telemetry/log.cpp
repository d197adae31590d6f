#include "cuminpitch/telemetry/log.hpp"

#include "cuminpitch/core/clock.hpp"

#include <absl/time/clock.h>
#include <absl/time/time.h>
#include <easylogging++.h>
#include <nlohmann/json.hpp>

#include "telemetry/log_queue_priv.hpp"

#include <atomic>
#include <memory>
#include <unistd.h>

INITIALIZE_EASYLOGGINGPP

namespace cuminpitch::telemetry {
namespace {

constexpr const char* logger_name = "cuminpitch";

std::string& process_name()
{
    static std::string name;
    return name;
}

std::atomic<severity>& min_severity()
{
    static std::atomic<severity> threshold{severity::info};
    return threshold;
}

const char* level_name(severity it)
{
    switch (it) {
    case severity::debug:
        return "debug";
    case severity::info:
        return "info";
    case severity::warning:
        return "warning";
    case severity::error:
        return "error";
    }
    return "error";
}

el::Level level_of(severity it)
{
    switch (it) {
    case severity::debug:
        return el::Level::Debug;
    case severity::info:
        return el::Level::Info;
    case severity::warning:
        return el::Level::Warning;
    case severity::error:
        return el::Level::Error;
    }
    return el::Level::Error;
}

/// Null if lines are written to standard error.
std::unique_ptr<log_queue>& queue()
{
    static std::unique_ptr<log_queue> it;
    return it;
}

} // namespace

void start_log(std::string process, severity threshold, log_output output)
{
    queue() = output == log_output::standard_output
                  ? std::make_unique<log_queue>(
                        STDOUT_FILENO, log_queue_limit, log_lines_per_second)
                  : nullptr;
    process_name() = std::move(process);
    min_severity() = threshold;
    el::Configurations settings;
    settings.setToDefault();
    settings.setGlobally(el::ConfigurationType::Format, "%msg");
    settings.setGlobally(el::ConfigurationType::ToFile, "false");
    settings.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    el::Loggers::reconfigureLogger(el::Loggers::getLogger(logger_name), settings);
}

void log(severity level, std::string_view event, const std::vector<field>& fields)
{
    if (level < min_severity()) {
        return;
    }
    nlohmann::ordered_json line = {
        {"time",
         absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ", absl::Now(), absl::UTCTimeZone())},
        {"boot_ms", absl::ToUnixMillis(core::monotonic_now())},
        {"level", level_name(level)},
        {"process", process_name()},
        {"event", event}};
    for (const auto& it : fields) {
        std::visit([&](const auto& value) { line[it.name] = value; }, it.value);
    }
    std::string text =
        line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    if (queue()) {
        queue()->push(core::monotonic_now(), std::move(text));
        return;
    }
    // The macros of easylogging++ drop debug lines if NDEBUG is defined; its Writer does
    // not. dump() replaced invalid UTF-8, so that each line is valid JSON.
    el::base::Writer(level_of(level), __FILE__, __LINE__, __func__)
            .construct(1, logger_name)
        << text;
}

void flush_log()
{
    constexpr absl::Duration timeout = absl::Milliseconds(200);
    if (queue()) {
        static_cast<void>(queue()->flush(timeout));
    }
}

} // namespace cuminpitch::telemetry
