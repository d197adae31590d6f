#pragma once

#include "entry/control_link_priv.hpp"
#include "entry/pool_runtime_priv.hpp"

#include <absl/container/btree_map.h>

#include <memory>

namespace cuminpitch::entry {

using pool_map = absl::btree_map<core::pool_id, std::unique_ptr<pool_runtime>>;

/// State of the entry that its status response and metrics report.
struct node_condition
{
    bool is_draining = false;
    bool is_refusing = false;
    bool is_isolated = false;
    std::size_t in_flight = 0;
};

http::response status_response(
    absl::Time now,
    const node_options& options,
    const control_link& link,
    const pool_map& pools,
    const node_condition& condition);

/// Sets the gauges of the entry and of its pools.
void publish_metrics(
    absl::Time now,
    const control_link& link,
    const pool_map& pools,
    const node_condition& condition,
    telemetry::metrics& metrics);

} // namespace cuminpitch::entry
