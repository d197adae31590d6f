#include "entry/failure_relay_priv.hpp"

#include "cuminpitch/core/hash.hpp"

#include <algorithm>
#include <utility>

namespace cuminpitch::entry {
namespace {

/// Time during which failures are collected into one message. The entries of this domain
/// send a request to a server in another domain only every few seconds.
constexpr absl::Duration relay_interval = absl::Milliseconds(100);
/// Maximum number of entries in a domain that relay failures. One that is down loses its
/// part of the failures until control notices; fewer relays combine more failures in one
/// message.
constexpr std::size_t relays_per_domain = 4;

} // namespace

absl::btree_set<core::instance_id> failure_relay::relay_targets(
    const absl::btree_map<core::instance_id, control::entry_record>& entries) const
{
    using ranked = std::pair<std::uint64_t, core::instance_id>;
    absl::btree_map<core::failure_domain_id, std::vector<ranked>> by_domain;
    for (const auto& [id, record] : entries) {
        if (record.failure_domain != self_.failure_domain) {
            by_domain[record.failure_domain].emplace_back(core::hash64(id.str()), id);
        }
    }
    absl::btree_set<core::instance_id> out;
    for (auto& [domain, all] : by_domain) {
        const auto n = std::min(all.size(), relays_per_domain);
        std::partial_sort(
            all.begin(), all.begin() + static_cast<std::ptrdiff_t>(n), all.end());
        out.insert(all[core::hash64(self_.id.str()) % n].second);
    }
    return out;
}

void failure_relay::collect(
    const core::failure_domain_id& domain,
    const control::pool_evidence& evidence,
    const control::pool_evidence& reported_directly)
{
    using counts = std::vector<control::pool_evidence::server_count>;
    if (domain == self_.failure_domain) {
        return;
    }
    const auto add = [](const counts& all, const counts& known, server_counts& to) {
        for (const auto& each : all) {
            if (std::find(known.begin(), known.end(), each) == known.end()) {
                to[each.server] += each.count;
            }
        }
    };
    auto& it = pending_[evidence.pool];
    add(evidence.failures, reported_directly.failures, it.failures);
    add(evidence.successes, reported_directly.successes, it.successes);
    if (it.failures.empty() && it.successes.empty()) {
        pending_.erase(evidence.pool);
    }
}

std::vector<control::pool_evidence> failure_relay::take_due(absl::Time now)
{
    std::vector<control::pool_evidence> out;
    if (now < next_relay_ || pending_.empty()) {
        return out;
    }
    next_relay_ = now + relay_interval;
    for (const auto& [pool, servers] : std::exchange(pending_, {})) {
        auto& it = out.emplace_back();
        it.pool = pool;
        for (const auto& [server, count] : servers.failures) {
            it.failures.push_back({server, count});
        }
        for (const auto& [server, count] : servers.successes) {
            it.successes.push_back({server, count});
        }
    }
    return out;
}

} // namespace cuminpitch::entry
