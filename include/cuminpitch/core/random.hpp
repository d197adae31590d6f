#pragma once

#include <random>

namespace cuminpitch::core {

/// A random number generator. It is seeded by the caller and passed to the objects that
/// make random choices.
using random_source = std::mt19937_64;

} // namespace cuminpitch::core
