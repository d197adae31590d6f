#include "cuminpitch/assign/indexed_hashing.hpp"

#include "assign/spread_priv.hpp"
#include "cuminpitch/core/hash.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace cuminpitch::assign {

indexed_hashing::indexed_hashing(std::size_t slots) : table_(slots)
{
    assert(slots > 0);
}

void indexed_hashing::join(const member& it)
{
    leave(it.id);
    const auto newcomer = members_.size();
    members_.push_back({it, {}});
    ++domain_sizes_[it.domain];
    if (newcomer == 0) {
        by_count_[0] = 1;
        for (index slot = 0; slot < table_.size(); ++slot) {
            give(0, slot);
        }
        return;
    }
    // The new member is added to by_count_ last, so lightest() covers only the others.
    std::vector<index> taken;
    while (taken.size() < lightest()) {
        const auto from = next_with(heaviest(), hp_);
        auto& slots = members_[from].slots;
        taken.push_back(slots.back());
        recount(slots.size(), slots.size() - 1);
        slots.pop_back();
    }
    for (const auto slot : taken) {
        table_[slot] = static_cast<index>(newcomer);
    }
    ++by_count_[taken.size()];
    members_[newcomer].slots = std::move(taken);
}

void indexed_hashing::leave(const core::instance_id& id)
{
    const auto gone = position(id);
    if (gone == members_.size()) {
        return;
    }
    const auto slots = std::move(members_[gone].slots);
    remove_from_domain(domain_sizes_, members_[gone].info.domain);
    const auto count = by_count_.find(slots.size());
    if (--count->second == 0) {
        by_count_.erase(count);
    }
    // Members after the removed one move down by one position.
    members_.erase(members_.begin() + static_cast<std::ptrdiff_t>(gone));
    for (auto& it : table_) {
        it -= it > gone ? 1 : 0;
    }
    hp_ -= hp_ > gone ? 1 : 0;
    lp_ -= lp_ > gone ? 1 : 0;
    if (members_.empty()) {
        return;
    }
    for (const auto slot : slots) {
        give(next_with(lightest(), lp_), slot);
    }
}

std::vector<core::instance_id>
indexed_hashing::pick(const core::pool_id& pool, std::size_t n) const
{
    if (members_.empty()) {
        return {};
    }
    const auto start = core::hash64(pool.str()) % table_.size();
    const auto at = [&](std::size_t i) -> const member& {
        return members_[table_[(start + i) % table_.size()]].info;
    };
    return pick_along(table_.size(), at, domain_sizes_, n);
}

std::size_t indexed_hashing::slots_of(const core::instance_id& id) const
{
    const auto i = position(id);
    return i == members_.size() ? 0 : members_[i].slots.size();
}

std::size_t indexed_hashing::position(const core::instance_id& id) const
{
    const auto it = std::find_if(members_.begin(), members_.end(), [&](const owner& o) {
        return o.info.id == id;
    });
    return static_cast<std::size_t>(it - members_.begin());
}

void indexed_hashing::recount(std::size_t before, std::size_t after)
{
    const auto it = by_count_.find(before);
    if (--it->second == 0) {
        by_count_.erase(it);
    }
    ++by_count_[after];
}

void indexed_hashing::give(std::size_t to, index slot)
{
    auto& slots = members_[to].slots;
    recount(slots.size(), slots.size() + 1);
    slots.push_back(slot);
    table_[slot] = static_cast<index>(to);
}

std::size_t indexed_hashing::next_with(std::size_t count, std::size_t& pointer) const
{
    for (std::size_t i = 0; i < members_.size(); ++i) {
        const auto at = (pointer + i) % members_.size();
        if (members_[at].slots.size() == count) {
            pointer = at + 1;
            return at;
        }
    }
    assert(false);
    return 0;
}

} // namespace cuminpitch::assign
