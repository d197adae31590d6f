#include "cuminpitch/control/declared_settings.hpp"

#include "cuminpitch/config/compile.hpp"

#include <algorithm>
#include <cstddef>

namespace cuminpitch::control {
namespace {

/// Setting paths are "teams/<team>/pools/<pool>/<setting>" and
/// "teams/<team>/routes/<route>/<setting>".
constexpr std::ptrdiff_t slashes_in_setting_path = 4;

/// A change that deletes a whole subtree contains a path above the single settings, which
/// config::recompile doesn't expand.
bool names_settings_only(const std::vector<std::string>& paths)
{
    return std::all_of(paths.begin(), paths.end(), [](const std::string& path) {
        return std::count(path.begin(), path.end(), '/') == slashes_in_setting_path;
    });
}

} // namespace

compile_function make_compile_function()
{
    return [](const settings_tree& tree, const compile_base* base) {
        compiled_settings result;
        auto compiled = base != nullptr && names_settings_only(base->changed)
                            ? config::recompile(*base->declarations, tree, base->changed)
                            : config::compile(tree);
        if (auto* declared = std::get_if<config::declarations>(&compiled)) {
            result.declarations =
                std::make_shared<const config::declarations>(std::move(*declared));
            return result;
        }
        for (const auto& it : std::get<std::vector<config::problem>>(compiled)) {
            result.problems.push_back({it.path, it.reason});
        }
        return result;
    };
}

} // namespace cuminpitch::control
