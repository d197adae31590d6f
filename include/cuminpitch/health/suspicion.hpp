#pragma once

#include "cuminpitch/core/ids.hpp"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <cstdint>

namespace cuminpitch::health {

struct suspicion_options
{
    /// Time after which a failure counts half. Gray servers fail a part of their requests
    /// for seconds, recover and fail again, so a failure is remembered for longer.
    absl::Duration half_life = absl::Seconds(5);
    /// Part of the suspicion that is left after a success.
    double kept_by_success = 0.6;
    /// Suspicion of a failure that followed others; the first counts 1.
    double repeated_failure = 2;
    /// Suspicion at most, so that a server that recovered is tried again after a few half
    /// lives.
    double limit = 4;
    /// Suspicion for being shed: the server is full, and other entries use it too.
    double shed = 0.25;
};

/// Recent failures of the servers of one pool, at this entry and at others. Unlike an
/// ejection it takes no server out: a suspected one only compares as busier than it is,
/// so the capacity of a pool never falls and a wrong suspicion costs little. It therefore
/// acts on the first failure.
class suspicion
{
public:
    explicit suspicion(suspicion_options options = {}) : options_(options) {}

    void count_failure(absl::Time now, const core::server_id& server);
    void count_success(const core::server_id& server);
    void count_shed(absl::Time now, const core::server_id& server);

    /// 0 for a server without recent failures; 1 for one failure just now.
    double level(absl::Time now, const core::server_id& server) const;

    /// Whether any server is suspected noticeably.
    bool is_any(absl::Time now) const;

    /// Drops servers whose suspicion has faded.
    void forget_faded(absl::Time now);

private:
    struct record
    {
        double level = 0;
        absl::Time at;
    };

    double faded(absl::Time now, const record& it) const;
    void raise(absl::Time now, const core::server_id& server, double by);

    suspicion_options options_;
    absl::btree_map<core::server_id, record> records_;
};

} // namespace cuminpitch::health
