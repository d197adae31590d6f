#pragma once

#include "cuminpitch/health/evidence.hpp"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <array>
#include <cstddef>
#include <utility>
#include <vector>

namespace cuminpitch::health {

struct detector_options
{
    /// Accepted number of false ejections per server in 30 days.
    double false_ejections_per_server_month = 1.0;
    /// Score (test statistic divided by its threshold) from which a server is suspected.
    double suspected_score = 0.4;
};

namespace detail {

inline constexpr std::size_t kind_count = 2; // Failures and slow responses.
inline constexpr std::size_t max_alternatives = 3;

/// Exponentially weighted moving average of the rate of bad requests.
struct decayed_rate
{
    double bad = 0;
    double weight = 0; ///< Sum of the weights of all requests; approaches 1.

    /// `decay_requests`: number of requests after which a request's weight has fallen to
    /// 1/e.
    void add(double decay_requests, double n, double bad_requests);
};

/// A CUSUM statistic, with the requests and the bad requests since it was last 0.
struct excursion
{
    double statistic = 0;
    double requests = 0;
    double bad = 0;
};

/// Tests of one server on one kind of evidence.
struct test_series
{
    decayed_rate fast;
    decayed_rate steady;
    double baseline = 0; ///< Rate of bad requests at the other servers.
    std::array<excursion, max_alternatives> tests;
};

/// Tests of one server on all kinds of evidence.
struct server_tests
{
    std::array<test_series, kind_count> series;
    bool idle = false; ///< No requests since the last halve_idle().
};

/// Tests of all servers of the pool, on one route or on all routes together.
struct test_scope
{
    absl::btree_map<core::server_id, server_tests> servers;
    std::uint64_t since_baseline_update =
        0; ///< Requests since the baselines were last computed.
};

} // namespace detail

/// Result of the tests for one suspected server.
struct finding
{
    core::server_id server;
    /// Highest ratio of a test statistic to its threshold. From 1 on the server counts as
    /// unhealthy.
    double score = 0;
    /// Failure or slow rate of the alternative hypothesis with the highest score; failure
    /// rates are doubled.
    double severity = 0;
};

/// Identifies a test: the kind of evidence, the index of the alternative hypothesis, and
/// whether it covers one route or all routes together.
struct test_id
{
    std::size_t kind = 0;
    std::size_t alternative = 0;
    bool one_route = false;
};

/// Outlier detection by Page's CUSUM test on failures and on slow responses, per server
/// and per server and route, with several alternative hypotheses in parallel (Page 1954;
/// Lorden 1971 for the detection delay). A test's statistic S becomes max(0, S +
/// ln(p1/p0)) after a bad request and max(0, S + ln((1-p1)/(1-p0))) after a good one. p1
/// is the rate of the alternative. p0 is the current rate of the pool's other servers
/// without suspected ones (a third at most), so that no server stands out when the whole
/// pool fails or slows down. p0 lags briefly behind such a change, so a score is also
/// bounded by the same evidence evaluated with the newest p0.
class detector
{
public:
    explicit detector(const detector_options& options);

    void set_options(const detector_options& options);

    /// Adds counts of requests that finished at one server and route.
    void
    add(absl::Time now,
        const core::server_id& server,
        const core::route_id& route,
        const evidence& counts);

    /// Discards all evidence on the server, so that its tests start over.
    void reset(const core::server_id& server);

    /// Findings with a score of at least `suspected_score`, the most severe first. While
    /// more than half of the servers with evidence (three or more) are suspected, scores
    /// are kept below 1, so none counts as unhealthy.
    std::vector<finding> findings() const;

    /// Score of the server; 0 if there is no evidence against it.
    double score(const core::server_id& server) const;

    /// Threshold of a test in nats at the current request rate.
    double threshold(const test_id& it) const
    {
        return thresholds_[it.one_route ? 1 : 0][it.kind][it.alternative];
    }

    /// Requests of one server per accepted false ejection.
    double requests_per_false_ejection() const { return requests_per_false_ejection_; }

    /// Halves the statistics of servers without requests since the last call, so that a
    /// server that gets no requests because it is suspected doesn't stay suspected.
    void halve_idle();

private:
    using scope = detail::test_scope;

    void add_to(
        scope& target,
        bool one_route,
        const core::server_id& server,
        const evidence& counts);
    void update_baselines(scope& target, bool one_route) const;
    /// Score of the test, or of the same evidence with the newest baseline if that is
    /// lower.
    double score(const detail::test_series& series, const test_id& it) const;
    void update_threshold(absl::Time now);
    double compute_threshold(const test_id& it) const;
    /// Highest score of all tests of the server, and the severity of that test.
    std::pair<double, double> score_and_severity(const core::server_id& server) const;

    detector_options options_;
    scope all_;
    absl::btree_map<core::route_id, scope> routes_;
    double requests_per_false_ejection_ = 0;
    std::array<
        std::array<std::array<double, detail::max_alternatives>, detail::kind_count>,
        2>
        thresholds_{};
    double rate_ = 0; ///< Requests per second and server, smoothed; 0 until measured.
    std::uint64_t interval_requests_ = 0;
    absl::Time interval_start_ = absl::InfinitePast();
};

} // namespace cuminpitch::health
