#pragma once

#include "cuminpitch/control/compile.hpp"

namespace cuminpitch::control {

/// Returns a function that compiles settings with config::compile, or incrementally with
/// config::recompile.
compile_function make_compile_function();

} // namespace cuminpitch::control
