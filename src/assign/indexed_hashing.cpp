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
    const auto new_position = members_.size();
    members_.push_back({it, {}});
    ++domain_sizes_[it.domain];
    if (new_position == 0) {
        members_by_slots_[0] = 1;
        for (index slot = 0; slot < table_.size(); ++slot) {
            assign_slot(0, slot);
        }
        return;
    }
    // The new member is added to members_by_slots_ last, so min_slots() covers only the
    // others.
    std::vector<index> taken;
    while (taken.size() < min_slots()) {
        const auto from = next_member_with(max_slots(), hp_);
        auto& slots = members_[from].slots;
        taken.push_back(slots.back());
        update_counts(slots.size(), slots.size() - 1);
        slots.pop_back();
    }
    for (const auto slot : taken) {
        table_[slot] = static_cast<index>(new_position);
    }
    ++members_by_slots_[taken.size()];
    members_[new_position].slots = std::move(taken);
}

void indexed_hashing::leave(const core::instance_id& id)
{
    const auto removed = position(id);
    if (removed == members_.size()) {
        return;
    }
    const auto slots = std::move(members_[removed].slots);
    remove_from_domain(domain_sizes_, members_[removed].info.domain);
    const auto count = members_by_slots_.find(slots.size());
    if (--count->second == 0) {
        members_by_slots_.erase(count);
    }
    // Members after the removed one move down by one position.
    members_.erase(members_.begin() + static_cast<std::ptrdiff_t>(removed));
    for (auto& it : table_) {
        it -= it > removed ? 1 : 0;
    }
    hp_ -= hp_ > removed ? 1 : 0;
    lp_ -= lp_ > removed ? 1 : 0;
    if (members_.empty()) {
        return;
    }
    for (const auto slot : slots) {
        assign_slot(next_member_with(min_slots(), lp_), slot);
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
    return pick_along_ring(table_.size(), at, domain_sizes_, n);
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

void indexed_hashing::update_counts(std::size_t before, std::size_t after)
{
    const auto it = members_by_slots_.find(before);
    if (--it->second == 0) {
        members_by_slots_.erase(it);
    }
    ++members_by_slots_[after];
}

void indexed_hashing::assign_slot(std::size_t to, index slot)
{
    auto& slots = members_[to].slots;
    update_counts(slots.size(), slots.size() + 1);
    slots.push_back(slot);
    table_[slot] = static_cast<index>(to);
}

std::size_t
indexed_hashing::next_member_with(std::size_t count, std::size_t& pointer) const
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
