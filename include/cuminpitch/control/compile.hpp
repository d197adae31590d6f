#pragma once

#include "cuminpitch/config/declarations.hpp"
#include "cuminpitch/control/command.hpp"
#include "cuminpitch/control/outcome.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cuminpitch::control {

/// The result of compiling a settings tree. `declarations` is null if and only if there
/// are problems.
struct compiled_settings
{
    std::shared_ptr<const config::declarations> declarations;
    std::vector<problem> problems;
};

/// Input for incremental compilation: the compiled declarations before a change, and the
/// paths that the change sets or deletes. At the planned fleet size this takes a fraction
/// of the time of compiling the whole tree.
struct compile_base
{
    std::shared_ptr<const config::declarations> declarations;
    std::vector<std::string> changed;
};

/// Validates and compiles a settings tree, incrementally if `base` isn't null; the result
/// is the same. Must be deterministic, because each replica uses it to decide whether a
/// committed change is applied.
using compile_function =
    std::function<compiled_settings(const settings_tree&, const compile_base* base)>;

} // namespace cuminpitch::control
