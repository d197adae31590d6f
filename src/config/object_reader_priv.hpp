#pragma once

#include "cuminpitch/config/settings.hpp"
#include "cuminpitch/core/json.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cuminpitch::config {

/// Reads the settings of one pool, route or limits object and reports invalid ones. Each
/// setting is read at most once; finish() reports the settings that were never read.
class object_reader
{
public:
    using values = std::map<std::string, const std::string*>;

    /// `prefix` is the path of the object, such as "teams/<team>/pools/<pool>".
    object_reader(std::string prefix, values object, std::vector<problem>& problems);

    std::optional<std::uint64_t>
    integer(const std::string& name, std::uint64_t min, std::uint64_t max);
    std::optional<double> number(const std::string& name, double min, double max);
    std::optional<bool> boolean(const std::string& name);
    /// `allowed` describes what `check` accepts, for error messages.
    std::optional<std::string> text(
        const std::string& name,
        const std::string& allowed,
        const std::function<bool(const std::string&)>& check);
    /// Reads a non-empty list of distinct strings out of `choices`.
    std::optional<std::vector<std::string>>
    choices(const std::string& name, const std::vector<std::string>& choices);

    /// Reads a list of at most `max_count` distinct strings that `check` accepts.
    /// Problems that are reported don't contain the values.
    std::optional<std::vector<std::string>> secrets(
        const std::string& name,
        std::size_t max_count,
        const std::string& allowed,
        const std::function<bool(const std::string&)>& check);

    using weight_list = std::vector<std::pair<std::string, double>>;
    /// Reads a non-empty object that maps names to weights of at least 0.
    std::optional<weight_list> weights(const std::string& name);

    bool has(const std::string& name) const { return object_.contains(name); }
    /// Reports the setting if it is missing.
    void require(const std::string& name, const std::string& allowed);
    void report(const std::string& name, const std::string& reason);
    void finish();

private:
    /// Returns the value of a setting and marks it as known. Returns nothing if the
    /// setting is missing or not valid JSON; reports the latter.
    std::optional<nlohmann::json> take(const std::string& name);
    void refuse(
        const std::string& name, const nlohmann::json& value, const std::string& allowed);

    std::string prefix_;
    values object_;
    std::vector<std::string> known_settings_;
    std::vector<problem>& problems_;
};

} // namespace cuminpitch::config
