#include "control/group_directory_priv.hpp"

#include <algorithm>

namespace cuminpitch::control {

bool group_directory::receive(
    absl::Time now, const net::peer& from, const group_hello& it)
{
    auto& known = instances_[from.internal];
    const bool is_same_start = known.identity == it.identity && known.start == it.start;
    if (is_same_start && it.clock < known.clock) {
        ++known.ignored_hellos;
        return false;
    }
    known.ignored_hellos = 0;
    if (!is_same_start) {
        known.last_echoed = absl::InfinitePast();
    }
    known.identity = it.identity;
    known.id = it.id;
    known.http = it.http;
    known.failure_domain = it.failure_domain;
    known.group = it.group;
    known.revision = it.revision;
    known.start = it.start;
    known.clock = it.clock;
    known.last_heard = now;
    // After a restart of the machine the monotonic clock starts again, so an echo of a
    // reading from before can lie in the future. Such an echo is ignored.
    if (it.echo && *it.echo <= now) {
        known.last_echoed = std::max(known.last_echoed, *it.echo);
    }
    return true;
}

const group_directory::instance* group_directory::at(const core::endpoint& internal) const
{
    const auto it = instances_.find(internal);
    return it == instances_.end() ? nullptr : &it->second;
}

const group_directory::instance* group_directory::find(const core::instance_id& id) const
{
    const auto it =
        std::find_if(instances_.begin(), instances_.end(), [&](const auto& pair) {
            return pair.second.id == id;
        });
    return it == instances_.end() ? nullptr : &it->second;
}

} // namespace cuminpitch::control
