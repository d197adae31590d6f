#include "cuminpitch/consensus/member.hpp"

#include "cuminpitch/core/hash.hpp"

#include <algorithm>

namespace cuminpitch::consensus {

member_set::member_set(std::vector<member> members)
{
    for (auto& it : members) {
        put(std::move(it));
    }
}

const member* member_set::find(const member_id& id) const
{
    const auto it = std::find_if(
        members_.begin(), members_.end(), [&](const member& m) { return m.id == id; });
    return it == members_.end() ? nullptr : &*it;
}

const member* member_set::find_voter(const core::instance_id& name) const
{
    const auto it = std::find_if(members_.begin(), members_.end(), [&](const member& m) {
        return m.name == name && m.role == member_role::voter;
    });
    return it == members_.end() ? nullptr : &*it;
}

const member* member_set::find_learner(const core::instance_id& name) const
{
    const auto it = std::find_if(members_.begin(), members_.end(), [&](const member& m) {
        return m.name == name && m.role == member_role::learner;
    });
    return it == members_.end() ? nullptr : &*it;
}

bool member_set::is_voter(const member_id& id) const
{
    const member* it = find(id);
    return it != nullptr && it->role == member_role::voter;
}

std::size_t member_set::voter_count() const
{
    return static_cast<std::size_t>(
        std::count_if(members_.begin(), members_.end(), [](const member& m) {
            return m.role == member_role::voter;
        }));
}

void member_set::put(member added)
{
    const auto at = std::lower_bound(
        members_.begin(),
        members_.end(),
        added.id,
        [](const member& m, const member_id& id) { return m.id < id; });
    if (at != members_.end() && at->id == added.id) {
        *at = std::move(added);
    } else {
        members_.insert(at, std::move(added));
    }
}

void member_set::erase(const member_id& id)
{
    std::erase_if(members_, [&](const member& m) { return m.id == id; });
}

group_id group_of(const member_set& first_members)
{
    std::string text;
    for (const auto& it : first_members.members()) {
        text += it.id.str() + "\n";
    }
    const std::uint64_t hash = core::hash64(text);
    return group_id(hash == 0 ? 1 : hash);
}

} // namespace cuminpitch::consensus
