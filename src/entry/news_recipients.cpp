#include "entry/news_recipients_priv.hpp"

#include <algorithm>

namespace cuminpitch::entry {
namespace {

constexpr std::size_t news_fan_out = 6;

} // namespace

absl::btree_set<std::size_t>
choose_news_recipients(core::random_source& random, std::size_t size)
{
    absl::btree_set<std::size_t> out;
    const auto n = std::min(news_fan_out, size);
    while (out.size() < n) {
        out.insert(random() % size);
    }
    return out;
}

} // namespace cuminpitch::entry
