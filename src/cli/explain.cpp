#include "commands_priv.hpp"

#include "cuminpitch/cli/run.hpp"
#include "cuminpitch/core/json.hpp"

#include <algorithm>
#include <fstream>

namespace cuminpitch::cli {
namespace {

struct log_line
{
    std::string time;
    nlohmann::ordered_json fields;
};

/// Parses the JSON object of a log line. A log collector may have added text before it.
nlohmann::ordered_json parse_log_object(const std::string& line)
{
    const auto begin = line.find('{');
    if (begin == std::string::npos ||
        !core::parse_json(line.substr(begin)).reason.empty()) {
        return {};
    }
    return nlohmann::ordered_json::parse(line.substr(begin), nullptr, false);
}

std::string plain_text(const nlohmann::ordered_json& value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

void print(const log_line& it, std::ostream& out)
{
    out << it.time << "  "
        << plain_text(it.fields.value("process", nlohmann::ordered_json(""))) << "  "
        << plain_text(it.fields["event"]);
    for (const auto& [name, value] : it.fields.items()) {
        if (name != "time" && name != "boot_ms" && name != "process" && name != "event" &&
            name != "level" && name != "request") {
            out << "  " << name << "=" << plain_text(value);
        }
    }
    out << '\n';
}

} // namespace

int run_explain(context& it)
{
    std::vector<log_line> found;
    for (const auto& path : it.args.logs) {
        std::ifstream in(path);
        if (!in) {
            it.err << "cuminpitch: " << path << " can't be read\n";
            return exit_failed;
        }
        std::string line;
        while (std::getline(in, line)) {
            auto fields = parse_log_object(line);
            const bool is_wanted = fields.is_object() && fields.contains("event") &&
                                   fields.value("request", "") == it.args.request;
            if (is_wanted) {
                const std::string time = fields.value("time", "");
                found.push_back({time, std::move(fields)});
            }
        }
    }
    if (found.empty()) {
        it.err << "cuminpitch: no log line of request " << it.args.request
               << "; it didn't reach these processes, or its lines were dropped\n";
        return exit_failed;
    }
    std::stable_sort(found.begin(), found.end(), [](const auto& a, const auto& b) {
        return a.time < b.time;
    });
    for (const auto& line : found) {
        print(line, it.out);
    }
    return exit_done;
}

} // namespace cuminpitch::cli
