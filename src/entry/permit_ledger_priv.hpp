#pragma once

#include "cuminpitch/core/endpoint.hpp"
#include "cuminpitch/core/random.hpp"
#include "cuminpitch/core/request_rate.hpp"
#include "entry/token_bucket_priv.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <vector>

namespace cuminpitch::entry {

/// Permits for the requests to one server, granted at the rate of its limit to the
/// entries that request them. Each permit is as likely to go to each wanted one: in the
/// order of the requests, the same entries would be the first at the owners of all
/// servers. The ledger of a new
/// owner starts without permits, because its predecessor may just have granted some.
class permit_ledger
{
public:
    permit_ledger(absl::Time now, core::random_source random)
        : bucket_(now, 0), random_(random)
    {
    }

    struct request
    {
        core::endpoint from;
        absl::Time sent; ///< On the clock of the requester.
        std::uint32_t wanted = 0;
    };
    struct grant
    {
        core::endpoint to;
        absl::Time echo; ///< `sent` of the request.
        absl::Duration held;
        std::uint32_t count = 0;
    };

    /// Sets the rate from `now` on.
    void set_rate(absl::Time now, core::request_rate rate);
    /// Adds the request, or replaces the one that the same entry has made before.
    void add(absl::Time now, const request& it);
    /// Removes and returns the grants that the rate allows until `now`.
    std::vector<grant> take_grants(absl::Time now);

    /// Expected time until an entry that has requested permits gets one.
    absl::Duration expected_wait() const;
    /// Requests expire some time after this, so an entry that still wants permits repeats
    /// its request.
    absl::Duration repeat_after() const;
    std::size_t requesters() const { return waiting_.size(); }

private:
    struct waiting_request
    {
        request what;
        absl::Time received;
        absl::Time expires;
    };

    /// A random request, weighted by the number of permits that it wants. There must be
    /// one.
    waiting_request& choose();

    token_bucket bucket_;
    std::vector<waiting_request> waiting_;
    core::random_source random_;
};

} // namespace cuminpitch::entry
