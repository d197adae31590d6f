#include "cuminpitch/config/settings.hpp"

#include "cuminpitch/core/json.hpp"

#include <algorithm>

namespace cuminpitch::config {
namespace {

constexpr std::size_t max_name_length = 63;
const std::string teams_prefix = "teams/";

} // namespace

std::string to_string(const problem& it)
{
    if (it.path.empty()) {
        return it.file + ": " + it.reason;
    }
    return it.file + ": " + it.path + ": " + it.reason;
}

core::result<std::string> canonical_json(const std::string& text)
{
    const auto it = core::parse_json(text);
    if (!it.reason.empty()) {
        return core::make_error_code(core::errc::invalid_change);
    }
    return it.value.dump();
}

bool is_name(const std::string& text)
{
    return !text.empty() && text.size() <= max_name_length &&
           std::all_of(text.begin(), text.end(), [](char c) {
               return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
           });
}

std::optional<std::string> team_of(const std::string& path)
{
    if (!path.starts_with(teams_prefix)) {
        return std::nullopt;
    }
    const auto end = path.find('/', teams_prefix.size());
    if (end == std::string::npos || end == teams_prefix.size()) {
        return std::nullopt;
    }
    return path.substr(teams_prefix.size(), end - teams_prefix.size());
}

std::string file_of(const std::string& path)
{
    const auto slash = path.rfind('/');
    return path.substr(0, slash) + ".json";
}

settings team_subtree(const settings& all, const std::string& team)
{
    const std::string prefix = teams_prefix + team + "/";
    settings result;
    for (auto it = all.lower_bound(prefix);
         it != all.end() && it->first.starts_with(prefix);
         ++it) {
        result.emplace_hint(result.end(), it->first, it->second);
    }
    return result;
}

} // namespace cuminpitch::config
