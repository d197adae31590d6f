#include "entry/preferred_servers_priv.hpp"

#include "cuminpitch/core/hash.hpp"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace cuminpitch::entry {
namespace {

/// Minimum number of entries that prefer a server. With fewer entries, its load depends
/// on the behavior of few callers; with more, each entry knows little of its load.
constexpr std::size_t min_entries_per_server = 4;
/// Minimum number of servers that an entry prefers, so that it can avoid failing ones: up
/// to a third of the servers may fail.
constexpr std::size_t min_servers_per_entry = 8;

} // namespace

absl::btree_set<core::server_id> preferred_servers(
    const std::vector<core::server_id>& servers,
    std::vector<core::instance_id> entries,
    const core::instance_id& self)
{
    std::sort(entries.begin(), entries.end());
    const auto found = std::find(entries.begin(), entries.end(), self);
    if (servers.empty() || found == entries.end()) {
        return {servers.begin(), servers.end()};
    }
    const std::size_t n = entries.size();
    const std::size_t rounds = std::max(
        min_entries_per_server, (min_servers_per_entry * n - 1) / servers.size() + 1);
    if (rounds >= n) {
        return {servers.begin(), servers.end()};
    }
    const auto position = static_cast<std::size_t>(found - entries.begin());
    // The sequence contains all servers once per round, each round in a different order.
    // Each entry prefers the servers of an equal section of the sequence.
    const std::size_t sequence_length = rounds * servers.size();
    const std::size_t first = position * sequence_length / n;
    const std::size_t last = (position + 1) * sequence_length / n;
    absl::btree_set<core::server_id> out;
    std::vector<std::pair<std::uint64_t, core::server_id>> order;
    for (std::size_t round = first / servers.size(); round * servers.size() < last;
         ++round) {
        order.clear();
        for (const auto& it : servers) {
            order.emplace_back(core::hash64(it.str(), round), it);
        }
        std::sort(order.begin(), order.end());
        for (std::size_t index = 0; index < order.size(); ++index) {
            const auto sequence_index = round * servers.size() + index;
            if (sequence_index >= first && sequence_index < last) {
                out.insert(order[index].second);
            }
        }
    }
    return out;
}

} // namespace cuminpitch::entry
