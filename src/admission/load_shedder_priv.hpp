#pragma once

#include "cuminpitch/core/ids.hpp"
#include "cuminpitch/core/random.hpp"
#include "recent_average_priv.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <map>

namespace cuminpitch::admission {

/// Refuses new requests of a pool, those of the lowest priority first, while the servers
/// reject attempts because they are full.
///
/// Follows adaptive throttling (Beyer et al., Site Reliability Engineering, chapter 21):
/// of `requests`, of which the servers would accept `accepted`, the fraction
/// (requests - K * accepted) / requests is refused. Requests of one rank are refused so
/// that callers above the same rate are cut to that rate, as with max-min fairness.
class load_shedder
{
public:
    /// Counts a new request and decides whether it is refused.
    bool refuses(
        absl::Time now,
        std::uint32_t rank,
        const core::caller_id& caller,
        core::random_source& random);
    /// Whether a part of the caller's requests of this rank is refused now.
    bool is_cut(absl::Time now, std::uint32_t rank, const core::caller_id& caller) const;
    /// Counts an attempt that a server answered. `is_rejected`: it was full.
    void count_attempt(absl::Time now, bool is_rejected, absl::Duration elapsed);

    /// Fraction of the recent requests that have this rank.
    double share_of(absl::Time now, std::uint32_t rank) const;
    /// Recent fraction of attempts that were rejected.
    double rejected_share() const { return rejected_.value(); }
    /// Fraction of all requests of the pool that is to be refused now.
    double refused_share() const { return refused_share_; }
    /// Recent time of attempts relative to the usual one.
    double slowdown() const;
    /// Expected time until the servers have worked off what makes attempts slower than
    /// usual.
    absl::Duration time_to_capacity() const;

private:
    /// Number of recent requests, weighted by age.
    class recent_count
    {
    public:
        void add(absl::Time now)
        {
            value_ = value(now) + 1;
            last_ = now;
        }
        double value(absl::Time now) const;

    private:
        double value_ = 0;
        absl::Time last_ = absl::UnixEpoch();
    };

    struct rank_load
    {
        recent_count requests;
        absl::flat_hash_map<core::caller_id, recent_count> callers;
        /// Recent requests of a caller above which its requests are refused.
        double caller_limit = 0;
    };

    void update_limits(absl::Time now);
    void erase_old(absl::Time now);
    double total(absl::Time now) const;
    static double caller_limit(absl::Time now, const rank_load& it, double excess);

    recent_average rejected_;
    recent_average attempt_seconds_;
    recent_average refused_;
    /// Moving average over many more attempts than `attempt_seconds_`.
    double usual_seconds_ = 0;
    bool is_shedding_ = false;
    double refused_share_ = 0;
    std::map<std::uint32_t, rank_load> ranks_;
    absl::Time next_update_ = absl::InfinitePast();
    absl::Time next_erase_ = absl::InfinitePast();
};

} // namespace cuminpitch::admission
