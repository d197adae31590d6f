#include "cuminpitch/core/settings_file.hpp"

#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>

#include <fstream>
#include <sstream>

namespace cuminpitch::core {

std::optional<std::string> settings_file::content() const
{
    std::ifstream in(path_, std::ios::binary);
    std::ostringstream out;
    out << in.rdbuf();
    return in.good() || in.eof() ? std::optional(out.str()) : std::nullopt;
}

std::variant<std::vector<std::string>, exit_request> settings_file::read()
{
    const auto text = content();
    if (!text) {
        return exit_request{
            exit_bad_setting, "settings file " + path_ + " cannot be read"};
    }
    last_content_ = *text;
    std::vector<std::string> result;
    for (absl::string_view line : absl::StrSplit(*text, '\n')) {
        line = absl::StripAsciiWhitespace(line);
        if (line.empty() || line.front() == '#') {
            continue;
        }
        const auto separator = line.find('=');
        if (separator == absl::string_view::npos || separator == 0) {
            return exit_request{
                exit_bad_setting,
                "settings file " + path_ + ": line '" + std::string(line) +
                    "' is not allowed: <name>=<value>"};
        }
        if (separator + 1 < line.size()) {
            result.push_back("--" + std::string(line));
        }
    }
    return result;
}

bool settings_file::has_changed() const
{
    const auto text = content();
    return text && *text != last_content_;
}

} // namespace cuminpitch::core
