#pragma once

#include "cuminpitch/control/sync.hpp"
#include "cuminpitch/core/random.hpp"
#include "entry/permit_owners_priv.hpp"
#include "entry/token_bucket_priv.hpp"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace cuminpitch::entry {

/// What a customer may use, of all entries together.
struct allowance
{
    core::request_rate rate;
    double burst = 0;
};

/// Grants the permits of the customers that this entry owns (permit_owners()): the first
/// owner grants them, and the others while it doesn't respond to them.
///
/// The sum over all owners stays near the rate, also if some of them can't reach each
/// other: an owner that may be on the smaller side of a partition grants a tenth, and one
/// that replaces another a part until the other must have noticed that it is alone. An
/// owner that starts, or was suspended, doesn't know what others have granted, so it
/// starts with few tokens.
///
/// A state machine without I/O. Time is the time since boot, which counts suspensions.
class allowance_owner
{
public:
    explicit allowance_owner(control::entry_record self) : self_(std::move(self)) {}

    void set_entries(absl::Time now, std::vector<control::entry_record> entries);
    /// Records when control last confirmed that this entry has the newest state.
    void set_confirmed(absl::Time at) { confirmed_ = at; }
    /// Records a permit message from another entry.
    void record_contact(absl::Time now, const core::endpoint& from)
    {
        heard_[from] = now;
    }

    struct answer
    {
        std::uint32_t granted = 0;
        /// If fewer are granted than wanted: expected time until there is a permit for a
        /// new request.
        absl::Duration expected_wait;
        bool is_redirect = false; ///< An owner before this one responds.
    };
    answer grant(
        absl::Time now,
        const core::customer_id& customer,
        allowance it,
        std::uint32_t wanted);

    /// Asks other owners for a sign of life while this entry depends on it.
    void tick(absl::Time now);
    struct query
    {
        core::endpoint to;
        /// If set, the other owner answers for hears_earlier(), too.
        std::optional<core::customer_id> customer;

        friend auto operator<=>(const query&, const query&) = default;
    };
    std::vector<query> take_queries() { return std::exchange(queries_, {}); }
    /// Whether this entry hears an owner of the customer's permits that comes before the
    /// one that asks. Asks these owners for a sign of life.
    bool hears_earlier(
        absl::Time now, const core::customer_id& customer, const core::endpoint& asker);
    /// Records the answer of another owner for hears_earlier().
    void record_earlier(
        absl::Time now, const core::customer_id& customer, bool is_heard_elsewhere);
    bool is_idle() const { return ledgers_.empty(); }
    std::size_t ledgers() const { return ledgers_.size(); }
    /// Number of entries that were heard lately.
    std::size_t contacts() const { return heard_.size(); }

private:
    struct ledger
    {
        token_bucket tokens;
        std::vector<control::entry_record> owners;
        std::size_t position = 0;
        /// The owners before this entry have been silent since.
        absl::Time alone_since = absl::InfiniteFuture();
        /// When another owner last answered that it hears one of these, unless it has
        /// answered otherwise since.
        absl::Time heard_elsewhere = absl::InfinitePast();
        /// Requests that were refused lately, which come back.
        double refused = 0;
        absl::Time refused_at;
        absl::Time next_query = absl::InfinitePast();
        absl::Time used;
    };

    ledger& open(absl::Time now, const core::customer_id& customer, const allowance& it);
    double start_tokens(absl::Time now, const ledger& it, const allowance& of) const;
    bool hears(absl::Time now, const control::entry_record& it) const;
    /// The part of the rate that this entry may grant.
    double share(absl::Time now, const ledger& it) const;
    void query_others(const ledger& it, const std::optional<core::customer_id>& customer);
    /// Lowers all tokens if this entry was suspended since the last tick.
    void check_suspension(absl::Time now);

    control::entry_record self_;
    std::vector<control::entry_record> entries_;
    /// The entries before the last change of them.
    std::vector<control::entry_record> earlier_entries_;
    absl::Time entries_since_ = absl::InfinitePast();
    absl::Time confirmed_ = absl::InfinitePast();
    absl::Time last_tick_ = absl::InfinitePast();
    absl::Time next_query_ = absl::InfinitePast();
    absl::Time next_forget_ = absl::InfinitePast();
    absl::btree_map<core::endpoint, absl::Time> heard_;
    absl::btree_map<core::customer_id, ledger> ledgers_;
    std::vector<query> queries_;
};

} // namespace cuminpitch::entry
