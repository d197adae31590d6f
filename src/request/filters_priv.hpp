#pragma once

#include "cuminpitch/request/dialect.hpp"
#include "live_request_priv.hpp"
#include "pool_state_priv.hpp"
#include "split_balancer_priv.hpp"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <optional>

namespace cuminpitch::request {

/// The state that filters may use besides the request.
struct filter_context
{
    absl::Time now;
    const entry_state& entry;
    std::shared_ptr<const route_table> routes;
    const absl::flat_hash_map<core::pool_id, std::unique_ptr<pool_state>>& pools;
    const request::dialect& dialect;
    split_balancer& splits;
};

/// One step of the checks that a request passes on arrival, before it is queued or sent.
class filter
{
public:
    virtual ~filter() = default;
    /// Returns the reason to refuse the request, if there is one. The request was not
    /// run.
    virtual std::optional<refusal_reason>
    apply(const filter_context& at, live_request& it) const = 0;
};

/// Finds route and pool by host, path and method.
class route_filter : public filter
{
public:
    std::optional<refusal_reason>
    apply(const filter_context& at, live_request& it) const override;
};

/// Identifies the customer by the key of the request, also if another entry has forwarded
/// it: a header that says who the customer is could come from any caller.
class key_filter : public filter
{
public:
    std::optional<refusal_reason>
    apply(const filter_context& at, live_request& it) const override;
};

/// Checks the state of the entry and the size and deadline of the request.
class admission_filter : public filter
{
public:
    std::optional<refusal_reason>
    apply(const filter_context& at, live_request& it) const override;
};

/// Checks whether this entry serves the pool, or else may forward the request to one that
/// does. A request is forwarded only once.
class ownership_filter : public filter
{
public:
    std::optional<refusal_reason>
    apply(const filter_context& at, live_request& it) const override;
};

} // namespace cuminpitch::request
