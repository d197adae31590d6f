#include "cuminpitch/config/diff.hpp"

#include "cuminpitch/core/json.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

namespace cuminpitch::config {

std::vector<operation> diff(const settings& from, const settings& to)
{
    std::vector<operation> result;
    auto a = from.begin();
    auto b = to.begin();
    while (a != from.end() || b != to.end()) {
        if (b == to.end() || (a != from.end() && a->first < b->first)) {
            result.push_back({a->first, a->second, std::nullopt});
            ++a;
        } else if (a == from.end() || b->first < a->first) {
            result.push_back({b->first, std::nullopt, b->second});
            ++b;
        } else {
            if (a->second != b->second) {
                result.push_back({a->first, a->second, b->second});
            }
            ++a;
            ++b;
        }
    }
    return result;
}

std::string shown_value(const std::string& path, const std::string& value)
{
    const std::vector<std::string> parts = absl::StrSplit(path, '/');
    const bool has_keys =
        parts.size() > 3 && parts[2] == "customers" && parts.back() == "keys";
    if (!has_keys) {
        return value;
    }
    const auto parsed = core::parse_json(value).value;
    return absl::StrCat("\"", parsed.is_array() ? parsed.size() : 0, " keys\"");
}

std::string to_string(const operation& it)
{
    const auto text = [&](const std::optional<std::string>& value) {
        return shown_value(it.path, value.value_or(""));
    };
    if (!it.old_value) {
        return "+ " + it.path + " = " + text(it.new_value);
    }
    if (!it.new_value) {
        return "- " + it.path + " = " + text(it.old_value);
    }
    return "~ " + it.path + " = " + text(it.old_value) + " -> " + text(it.new_value);
}

} // namespace cuminpitch::config
