#include "entry/permit_owners_priv.hpp"

#include "cuminpitch/core/hash.hpp"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace cuminpitch::entry {
namespace {

constexpr std::size_t max_owners = 3;

} // namespace

std::vector<control::entry_record>
permit_owners(std::string_view subject, const std::vector<control::entry_record>& members)
{
    const auto seed = core::hash64(subject);
    std::vector<std::pair<std::uint64_t, const control::entry_record*>> ranked;
    ranked.reserve(members.size());
    for (const auto& it : members) {
        ranked.emplace_back(core::hash64(it.id.str(), seed), &it);
    }
    const auto n = std::min(max_owners, ranked.size());
    std::partial_sort(
        ranked.begin(),
        ranked.begin() + static_cast<std::ptrdiff_t>(n),
        ranked.end(),
        [](const auto& a, const auto& b) {
            return std::pair(a.first, a.second->id) < std::pair(b.first, b.second->id);
        });
    std::vector<control::entry_record> out;
    for (std::size_t i = 0; i < n; ++i) {
        out.push_back(*ranked[i].second);
    }
    return out;
}

} // namespace cuminpitch::entry
