#pragma once

#include "cuminpitch/core/endpoint.hpp"
#include "cuminpitch/core/ids.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace cuminpitch::consensus {

/// Random identity of one data folder. An instance whose disk was replaced has a new one.
using member_id = core::string_id<struct member_tag>;
/// Identity of a Raft group: the hash of its first member set. Replicas drop messages of
/// other groups.
using group_id = core::integer_id<struct group_tag>;

enum class member_role : std::uint8_t
{
    voter = 1,
    learner = 2, ///< Receives the log, but is not counted in majorities.
};

struct member
{
    member_id id;
    core::instance_id name; ///< Unlike `id`, unchanged when the disk is replaced.
    core::endpoint internal;
    member_role role = member_role::voter;

    friend bool operator==(const member&, const member&) = default;
};

/// The members of a group, sorted by their ids.
class member_set
{
public:
    member_set() = default;
    explicit member_set(std::vector<member> members);

    const std::vector<member>& members() const { return members_; }
    bool empty() const { return members_.empty(); }
    /// Returns null if there is no such member.
    const member* find(const member_id& id) const;
    /// Returns null if no voter has that name.
    const member* find_voter(const core::instance_id& name) const;
    /// Returns null if no learner has that name.
    const member* find_learner(const core::instance_id& name) const;
    bool is_voter(const member_id& id) const;
    std::size_t voter_count() const;
    /// The smallest number of voters that is more than half of all voters.
    std::size_t majority() const { return voter_count() / 2 + 1; }

    /// Adds the member, or replaces the member that has the same id.
    void put(member added);
    void erase(const member_id& id);

    friend bool operator==(const member_set&, const member_set&) = default;

private:
    std::vector<member> members_;
};

/// Returns the identity of the group that is formed with these members.
group_id group_of(const member_set& first_members);

} // namespace cuminpitch::consensus
