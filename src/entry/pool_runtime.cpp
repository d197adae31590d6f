#include "entry/pool_runtime_priv.hpp"

#include "cuminpitch/core/hash.hpp"
#include "entry/slot_share_priv.hpp"

#include <algorithm>
#include <cmath>

namespace cuminpitch::entry {
namespace {

health::pool_health_options health_options(const config::pool_settings& settings)
{
    health::pool_health_options it;
    it.coordinator.probes = settings.probe_path.has_value();
    return it;
}

std::uint64_t pool_seed(const node_options& options, const core::pool_id& pool)
{
    return core::hash64(pool.str(), options.seed);
}

/// Applies the cold-start ramp to the share of this entry, so that each entry limits its
/// own load on a cold server. A nonzero share never becomes zero.
std::uint32_t apply_ramp(std::uint32_t share, double ramp)
{
    if (share == 0) {
        return 0;
    }
    const auto scaled = static_cast<std::uint32_t>(std::floor(share * ramp));
    return std::max<std::uint32_t>(scaled, 1);
}

} // namespace

pool_runtime::pool_runtime(
    const node_options& options, absl::Time now, const config::pool_settings& settings)
    : options_(options), settings_(settings), health_(
                                                  options.self.id,
                                                  options.incarnation,
                                                  now,
                                                  settings,
                                                  health_options(settings),
                                                  pool_seed(options, settings.id))
{
}

void pool_runtime::set_view(absl::Time now, const control::fleet_view& view)
{
    settings_ = view.declarations->pools.at(settings_.id);
    health_.set_settings(settings_);
    health_.set_assignment(now, view.assignments.at(settings_.id));
    health_.set_fleet_revision(view.revision);
}

request::pool_update
pool_runtime::update(absl::Time now, const control::fleet_view& view) const
{
    request::pool_update it;
    it.pool = settings_.id;
    it.settings = settings_;
    it.is_assigned = true;
    std::vector<core::instance_id> live;
    for (const auto& entry : health_.live_entries(now)) {
        live.push_back(entry.id);
    }
    std::sort(live.begin(), live.end());
    for (const auto& server : health_.servers(now)) {
        if (!server.fresh || (server.ejected && !server.probation)) {
            continue;
        }
        const auto share = slot_share(server.slots, server.id, live, options_.self.id);
        auto& view = it.servers.emplace_back();
        view.id = server.id;
        view.at = server.address;
        view.slots = apply_ramp(share, server.ramp);
        view.suspected = server.suspected;
        view.probation = server.probation;
        view.incarnation = server.incarnation;
    }
    for (const auto& record : usable_entries(now, view)) {
        if (record.id != options_.self.id) {
            it.entries.push_back({record.id, record.http, true});
        }
    }
    return it;
}

std::vector<control::entry_record>
pool_runtime::usable_entries(absl::Time now, const control::fleet_view& view) const
{
    std::vector<control::entry_record> result;
    for (const auto& live : health_.live_entries(now)) {
        const auto found = view.entries.find(live.id);
        if (!live.draining && found != view.entries.end()) {
            result.push_back(found->second);
        }
    }
    return result;
}

} // namespace cuminpitch::entry
