#pragma once

#include "cuminpitch/request/dialect.hpp"
#include "live_request_priv.hpp"
#include "pool_state_priv.hpp"
#include "split_balancer_priv.hpp"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <optional>

namespace cuminpitch::request {

/// What the filters know besides the request.
struct filter_context
{
    absl::Time now;
    const entry_state& entry;
    std::shared_ptr<const route_table> routes;
    const absl::flat_hash_map<core::pool_id, std::unique_ptr<pool_state>>& pools;
    const request::dialect& dialect;
    split_balancer& splits;
};

/// One step between the arrival of a request and its place in the queue.
class filter
{
public:
    virtual ~filter() = default;
    /// A reason refuses the request as not run.
    virtual std::optional<refusal_reason>
    apply(const filter_context& at, live_request& it) const = 0;
};

/// Host, path and method to route and pool.
class route_filter : public filter
{
public:
    std::optional<refusal_reason>
    apply(const filter_context& at, live_request& it) const override;
};

/// State of the entry, size and deadline.
class admission_filter : public filter
{
public:
    std::optional<refusal_reason>
    apply(const filter_context& at, live_request& it) const override;
};

/// Whether this entry serves the pool or one hop leads to an entry that does.
class ownership_filter : public filter
{
public:
    std::optional<refusal_reason>
    apply(const filter_context& at, live_request& it) const override;
};

} // namespace cuminpitch::request
