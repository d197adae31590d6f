#pragma once

#include "cuminpitch/core/random.hpp"

#include <absl/container/btree_set.h>

#include <cstddef>

namespace cuminpitch::entry {

/// Chooses the entries to which one sends news, as positions in a list of `size` entries.
/// News that each entry passes on to six others reach all but one in 400 (e^-6).
absl::btree_set<std::size_t>
choose_news_recipients(core::random_source& random, std::size_t size);

} // namespace cuminpitch::entry
