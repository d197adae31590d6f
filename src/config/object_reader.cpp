#include "object_reader_priv.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <set>

namespace cuminpitch::config {

object_reader::object_reader(
    std::string prefix, values object, std::vector<problem>& problems)
    : prefix_(std::move(prefix)), object_(std::move(object)), problems_(problems)
{
}

std::optional<std::uint64_t>
object_reader::integer(const std::string& name, std::uint64_t min, std::uint64_t max)
{
    const auto it = take(name);
    if (!it) {
        return std::nullopt;
    }
    if (it->is_number_unsigned()) {
        const auto n = it->get<std::uint64_t>();
        if (n >= min && n <= max) {
            return n;
        }
    }
    refuse(name, *it, absl::StrCat("a whole number from ", min, " to ", max));
    return std::nullopt;
}

std::optional<double>
object_reader::number(const std::string& name, double min, double max)
{
    const auto it = take(name);
    if (!it) {
        return std::nullopt;
    }
    if (it->is_number()) {
        const auto n = it->get<double>();
        if (n >= min && n <= max) {
            return n;
        }
    }
    refuse(name, *it, absl::StrCat("a number from ", min, " to ", max));
    return std::nullopt;
}

std::optional<bool> object_reader::boolean(const std::string& name)
{
    const auto it = take(name);
    if (!it) {
        return std::nullopt;
    }
    if (it->is_boolean()) {
        return it->get<bool>();
    }
    refuse(name, *it, "true or false");
    return std::nullopt;
}

std::optional<std::string> object_reader::text(
    const std::string& name,
    const std::string& allowed,
    const std::function<bool(const std::string&)>& check)
{
    const auto it = take(name);
    if (!it) {
        return std::nullopt;
    }
    if (it->is_string() && check(it->get_ref<const std::string&>())) {
        return it->get<std::string>();
    }
    refuse(name, *it, allowed);
    return std::nullopt;
}

std::optional<std::vector<std::string>>
object_reader::choices(const std::string& name, const std::vector<std::string>& choices)
{
    const auto it = take(name);
    if (!it) {
        return std::nullopt;
    }
    std::vector<std::string> result;
    bool valid = it->is_array() && !it->empty();
    for (const auto& element : valid ? *it : nlohmann::json::array()) {
        valid =
            valid && element.is_string() &&
            std::count(choices.begin(), choices.end(), element.get<std::string>()) == 1;
        if (valid) {
            result.push_back(element.get<std::string>());
        }
    }
    if (valid &&
        std::set<std::string>(result.begin(), result.end()).size() == result.size()) {
        return result;
    }
    refuse(
        name,
        *it,
        absl::StrCat(
            "a list of one or more of ", absl::StrJoin(choices, ", "), ", each once"));
    return std::nullopt;
}

std::optional<std::vector<std::string>> object_reader::secrets(
    const std::string& name,
    std::size_t max_count,
    const std::string& allowed,
    const std::function<bool(const std::string&)>& check)
{
    const auto it = take(name);
    if (!it) {
        return std::nullopt;
    }
    std::vector<std::string> result;
    bool valid = it->is_array() && it->size() <= max_count;
    for (const auto& element : valid ? *it : nlohmann::json::array()) {
        valid =
            valid && element.is_string() && check(element.get_ref<const std::string&>());
        if (valid) {
            result.push_back(element.get<std::string>());
        }
    }
    if (valid &&
        std::set<std::string>(result.begin(), result.end()).size() == result.size()) {
        return result;
    }
    report(
        name,
        absl::StrCat(
            "value is not allowed; allowed: a list of up to ",
            max_count,
            " different strings, each ",
            allowed));
    return std::nullopt;
}

std::optional<object_reader::weight_list> object_reader::weights(const std::string& name)
{
    const auto it = take(name);
    if (!it) {
        return std::nullopt;
    }
    weight_list result;
    bool valid = it->is_object() && !it->empty();
    if (valid) {
        for (const auto& [part, weight] : it->items()) {
            valid = valid && weight.is_number() && weight.get<double>() >= 0;
            result.emplace_back(part, valid ? weight.get<double>() : 0);
        }
    }
    if (valid) {
        return result;
    }
    refuse(name, *it, "an object of pool names with weights of at least 0");
    return std::nullopt;
}

void object_reader::require(const std::string& name, const std::string& allowed)
{
    if (!has(name)) {
        report(name, "missing; allowed: " + allowed);
    }
}

void object_reader::report(const std::string& name, const std::string& reason)
{
    problems_.push_back({prefix_ + ".json", prefix_ + "/" + name, reason});
}

void object_reader::finish()
{
    for (const auto& [name, value] : object_) {
        if (std::count(known_settings_.begin(), known_settings_.end(), name) == 0) {
            report(
                name,
                "unknown setting; allowed: " + absl::StrJoin(known_settings_, ", "));
        }
    }
}

std::optional<nlohmann::json> object_reader::take(const std::string& name)
{
    known_settings_.push_back(name);
    const auto it = object_.find(name);
    if (it == object_.end()) {
        return std::nullopt;
    }
    core::parsed_json parsed = core::parse_json(*it->second);
    if (!parsed.reason.empty()) {
        report(name, parsed.reason);
        return std::nullopt;
    }
    return std::move(parsed.value);
}

void object_reader::refuse(
    const std::string& name, const nlohmann::json& value, const std::string& allowed)
{
    report(
        name,
        "value " + core::write_json(value) + " is not allowed; allowed: " + allowed);
}

} // namespace cuminpitch::config
