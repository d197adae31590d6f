#pragma once

#include "simulated_fleet.hpp"

namespace cuminpitch::entry {

struct rejecting_shape
{
    fleet_shape fleet;
    /// Requests that a server queues; it rejects more.
    std::size_t queue = 8;
    double requests_per_s = 0;
};

/// A fleet whose servers reject requests when they are full, and reset most of what they
/// get for 2.7 s in 9 s, each at other times. Judges how evenly sound servers are used.
class rejecting_servers : public simulated_fleet
{
public:
    explicit rejecting_servers(const rejecting_shape& shape);

    /// Sends requests to random entries, a fifth of them idempotent.
    void run(absl::Duration time, double requests_per_s);

    struct window
    {
        double unserved = 0; ///< Share of the requests sent in it.
        double idle = 0;     ///< Share of the sound servers that got no request.
        std::size_t sound = 0;
        double busiest = 0; ///< Requests at the busiest sound server, by the mean.
    };
    /// Judges the requests sent in the two seconds before `end`.
    window judge(absl::Time end);

protected:
    http::client_result serve(const core::endpoint& server) override;

private:
    bool is_resetting(std::size_t server, absl::Time at) const;
    /// Whether it has not failed on its own since 2 s before the interval.
    bool is_sound(std::size_t server, absl::Time from, absl::Time until) const;

    rejecting_shape shape_;
    std::map<core::endpoint, std::size_t> index_;
    std::vector<absl::Duration> phases_;
    std::map<core::endpoint, std::vector<absl::Time>> completions_;
    std::vector<absl::Time> sent_;
};

} // namespace cuminpitch::entry
