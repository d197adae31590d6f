#pragma once

#include "cuminpitch/config/declarations.hpp"
#include "cuminpitch/entry/events.hpp"
#include "cuminpitch/net/transport.hpp"
#include "cuminpitch/request/events.hpp"
#include "cuminpitch/telemetry/metrics.hpp"
#include "entry/allowance_owner_priv.hpp"
#include "entry/held_permits_priv.hpp"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/time/time.h>

#include <deque>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace cuminpitch::entry {

/// Keeps the rates of customers over all entries, by permits as rate_limits does for
/// servers. A request without a permit waits for the response of the owner, which grants
/// or refuses at once. An entry with steady demand asks for more permits than it needs
/// now, so that the owner isn't asked for each request.
///
/// A state machine without I/O. Time is the time since boot, which counts suspensions.
class allowances
{
public:
    allowances(
        control::entry_record self,
        core::random_source random,
        telemetry::metrics& metrics);

    /// Sets all entries of the fleet.
    void set_entries(absl::Time now, std::vector<control::entry_record> entries);
    void set_declared(std::shared_ptr<const config::declarations> it);
    void set_confirmed(absl::Time at) { owner_.set_confirmed(at); }

    /// Decides about a request of the customer, at once or later; see take_decisions().
    void request(absl::Time now, core::request_id id, const core::customer_id& customer);

    void
    receive(absl::Time now, const net::peer& from, const control::permit_request& it);
    void
    receive(absl::Time now, const net::peer& from, const control::permit_response& it);
    /// Expected every 20 ms, or 100 ms while is_idle().
    void tick(absl::Time now);
    /// True if no request waits and this entry grants no permits.
    bool is_idle() const { return waiting_.empty() && owner_.is_idle(); }

    struct outgoing
    {
        core::endpoint to;
        control::message message;
    };
    std::vector<outgoing> take_messages() { return std::exchange(out_, {}); }
    std::vector<request::allowance_decided> take_decisions()
    {
        return std::exchange(decisions_, {});
    }

private:
    struct waiting_request
    {
        core::request_id id;
        absl::Time since;
    };
    struct account
    {
        held_permits permits;
        std::deque<waiting_request> waiting;
        std::vector<control::entry_record> owners;
        absl::Time requested; ///< When the owner was asked last.
        /// The owner that was asked last. Empty if there was none, or this entry is it.
        std::optional<core::endpoint> asked;
        std::uint32_t needed = 0; ///< Requests that waited then.
        bool awaits_response = false;
        /// Requests are refused without asking the owner until then.
        absl::Time over_until = absl::InfinitePast();
        absl::Time room_at = absl::InfinitePast(); ///< Expected time of a new permit.
        double demand = 0; ///< Requests a second, a moving average.
        absl::Time last_request = absl::InfinitePast();
    };

    std::optional<allowance> allowance_of(const core::customer_id& customer) const;
    /// Position of the first owner that isn't known to be silent.
    std::size_t owner_position(absl::Time now, const account& it) const;
    void ask(absl::Time now, const core::customer_id& customer, account& it);
    void accept(
        absl::Time now,
        const core::customer_id& customer,
        account& it,
        const control::permit_response& response);
    void
    decide_waiting(absl::Time now, account& it, request::allowance_decided::outcome what);
    void decide(
        absl::Time now,
        const account& it,
        core::request_id id,
        request::allowance_decided::outcome what);
    void count_demand(absl::Time now, account& it) const;
    /// Number of permits that the entry wants to hold.
    std::uint32_t advance_permits(const account& it) const;

    control::entry_record self_;
    core::random_source random_;
    telemetry::metrics& metrics_;
    std::vector<control::entry_record> entries_;
    std::shared_ptr<const config::declarations> declared_;
    allowance_owner owner_;
    absl::btree_map<core::customer_id, account> accounts_;
    absl::btree_set<core::customer_id> waiting_; ///< Accounts with waiting requests.
    /// Owners that haven't responded, and until when they aren't asked.
    absl::btree_map<core::endpoint, absl::Time> silent_;
    std::vector<outgoing> out_;
    std::vector<request::allowance_decided> decisions_;
};

} // namespace cuminpitch::entry
