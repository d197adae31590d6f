#pragma once

#include "cuminpitch/control/compile.hpp"
#include "cuminpitch/control/fleet_state.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <string>
#include <vector>

namespace cuminpitch::control {

/// Compiles only teams/<team>/pools/<pool>/entries and rejects the value "bad".
inline compiled_settings
compile_sample(const settings_tree& settings, const compile_base* = nullptr)
{
    compiled_settings result;
    auto declarations = std::make_shared<config::declarations>();
    for (const auto& [path, value] : settings) {
        if (value == "bad") {
            result.problems.push_back({path, "must not be bad"});
        }
        const std::vector<std::string> parts = absl::StrSplit(path, '/');
        if (parts.size() == 5 && parts[4] == "entries") {
            const core::pool_id pool{core::team_id(parts[1]), parts[3]};
            auto& it = declarations->pools[pool];
            it.id = pool;
            if (!absl::SimpleAtoi(value, &it.entries)) {
                result.problems.push_back({path, "must be a number"});
            }
        }
    }
    if (result.problems.empty()) {
        result.declarations = std::move(declarations);
    }
    return result;
}

inline core::revision rev(std::uint64_t n)
{
    return core::revision(n);
}

inline change set_change(
    const std::string& id,
    std::uint64_t base,
    const std::string& path,
    const std::string& value)
{
    return {core::change_id(id), rev(base), {{path, value}}, 7};
}

inline entry_record make_entry(const std::string& id, const std::string& domain)
{
    return {
        core::instance_id(id),
        {"127.0.0.1", 8000},
        {"127.0.0.1", 9000},
        core::failure_domain_id(domain)};
}

inline std::vector<core::instance_id> ids(const std::vector<std::string>& names)
{
    return {names.begin(), names.end()};
}

inline const core::pool_id pool_a{core::team_id("t"), "a"};

} // namespace cuminpitch::control
