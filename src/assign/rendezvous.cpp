#include "cuminpitch/assign/rendezvous.hpp"

#include "cuminpitch/core/hash.hpp"

#include <algorithm>

namespace cuminpitch::assign {
namespace {

struct scored
{
    std::uint64_t score = 0;
    const core::instance_id* id = nullptr;

    // Ties are broken by id so that all instances compute the same order.
    bool operator<(const scored& other) const
    {
        return score != other.score ? score > other.score : *id < *other.id;
    }
};

// The finalizer of SplitMix64. It combines two hashes in about 1 ns; hashing the
// concatenated names for each pair takes about 10 times as long.
std::uint64_t mix(std::uint64_t value)
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

} // namespace

void rendezvous::join(const member& it)
{
    leave(it.id);
    domains_of_.emplace(it.id, it.domain);
    domains_[it.domain].push_back({it.id, core::hash64(it.id.str())});
}

void rendezvous::leave(const core::instance_id& id)
{
    const auto found = domains_of_.find(id);
    if (found == domains_of_.end()) {
        return;
    }
    const auto domain = domains_.find(found->second);
    std::erase_if(domain->second, [&](const candidate& it) { return it.id == id; });
    if (domain->second.empty()) {
        domains_.erase(domain);
    }
    domains_of_.erase(found);
}

std::vector<core::instance_id>
rendezvous::pick(const core::pool_id& pool, std::size_t n) const
{
    const auto pool_hash = core::hash64(pool.str());
    // For each failure domain, its n members with the highest scores, best first.
    std::vector<std::vector<scored>> best(domains_.size());
    std::size_t i = 0;
    for (const auto& [domain, candidates] : domains_) {
        auto& list = best[i++];
        for (const auto& it : candidates) {
            const scored item{mix(pool_hash ^ it.hash), &it.id};
            if (list.size() == n && !(item < list.back())) {
                continue;
            }
            list.insert(std::upper_bound(list.begin(), list.end(), item), item);
            if (list.size() > n) {
                list.pop_back();
            }
        }
    }
    std::vector<core::instance_id> result;
    for (std::size_t round = 0; result.size() < n; ++round) {
        std::vector<scored> level;
        for (const auto& list : best) {
            if (list.size() > round) {
                level.push_back(list[round]);
            }
        }
        if (level.empty()) {
            break;
        }
        std::sort(level.begin(), level.end());
        for (const auto& it : level) {
            if (result.size() < n) {
                result.push_back(*it.id);
            }
        }
    }
    return result;
}

bool rendezvous::is_affected(
    const core::pool_id& pool,
    std::size_t n,
    const std::vector<core::instance_id>& list,
    const member& changed) const
{
    const bool is_listed = std::find(list.begin(), list.end(), changed.id) != list.end();
    if (list.empty() || list.size() < n || is_listed) {
        return true;
    }
    // pick() returns the first n members in the order of (rank in the domain, score). The
    // members of the list in the domain of `changed` have the ranks 0 to `rank` - 1.
    const auto pool_hash = core::hash64(pool.str());
    const auto score = [&](const core::instance_id& id) {
        return scored{mix(pool_hash ^ core::hash64(id.str())), &id};
    };
    const auto own = score(changed.id);
    const auto& last_domain = domains_of_.at(list.back());
    std::size_t rank = 0;
    std::size_t last_rank = 0;
    for (const auto& id : list) {
        const auto& domain = domains_of_.at(id);
        if (domain == changed.domain) {
            if (own < score(id)) {
                return true;
            }
            ++rank;
        }
        last_rank += domain == last_domain && id != list.back() ? 1 : 0;
    }
    return rank < last_rank || (rank == last_rank && own < score(list.back()));
}

} // namespace cuminpitch::assign
