#pragma once

#include "cuminpitch/control/group_message.hpp"
#include "cuminpitch/net/transport.hpp"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <cstddef>
#include <optional>

namespace cuminpitch::control {

/// What a control instance knows about the other instances from their hellos.
class group_directory
{
public:
    struct instance
    {
        consensus::member_id identity;
        core::instance_id id;
        core::endpoint http;
        core::failure_domain_id failure_domain;
        consensus::group_id group;
        core::revision revision;
        core::start_id start;
        absl::Time clock;
        std::size_t ignored_hellos = 0; ///< Since the last one that was not ignored.
        /// The time at which the newest hello arrived, and the newest reading of this
        /// process's clock that the instance has echoed.
        absl::Time last_heard = absl::InfinitePast();
        absl::Time last_echoed = absl::InfinitePast();
    };

    /// Returns false if the hello is older than one received before.
    bool receive(absl::Time now, const net::peer& from, const group_hello& it);

    /// The known instances by internal endpoint.
    const absl::btree_map<core::endpoint, instance>& instances() const
    {
        return instances_;
    }
    const instance* at(const core::endpoint& internal) const;
    const instance* find(const core::instance_id& id) const;

private:
    absl::btree_map<core::endpoint, instance> instances_;
};

} // namespace cuminpitch::control
