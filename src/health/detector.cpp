#include "cuminpitch/health/detector.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

namespace cuminpitch::health {
namespace {

using detail::kind_count;

constexpr std::size_t failures = 0;

struct alternative
{
    double rate;
    /// Share of the accepted false ejections. With more than one route, half of them go
    /// to the tests on all routes together and the other half to the tests on single
    /// routes.
    double share;
    /// ln(ARL) - threshold: a CUSUM's average run length (ARL) to a false alarm exceeds
    /// exp(threshold) by a factor that hardly depends on the threshold. Computed from the
    /// Markov chain of Brook and Evans (1972) at the lowest baseline, as the minimum over
    /// thresholds from 8 to 20 nats, rounded down.
    double run_length_gain;
};

struct test_kind
{
    double min_baseline;
    std::size_t alternatives;
    std::array<alternative, detail::max_alternatives> tests;
};

// By kind: failures, then slow responses.
constexpr std::array<test_kind, kind_count> test_kinds = {{
    {0.005, 3, {{{0.05, 0.15, 4.1}, {0.30, 0.35, 2.3}, {0.90, 0.15, 1.1}}}},
    {0.10, 3, {{{0.40, 0.12, 2.1}, {0.60, 0.12, 1.5}, {0.80, 0.11, 1.0}}}},
}};

// In nats. Below this a handful of bad requests would make a server unhealthy.
constexpr double min_threshold = 4;

// Decay constants, in requests, of the rates that the baseline is computed from. With
// the fast one the baseline follows a change of the whole pool within a few requests of
// each server, before tests reach their thresholds. The steady one resolves low rates,
// which are mostly 0 over a few requests.
constexpr double fast_decay_requests = 4;
constexpr double steady_decay_requests = 40;

// Largest fraction of the servers that the baseline leaves out as suspected. It is more
// than may be ejected at the default minimum capacity of 70%.
constexpr double max_excluded_fraction = 1.0 / 3;

// Ratio of an alternative's rate to the baseline below which the alternative isn't
// tested.
constexpr double min_rate_ratio = 2;

// Cap of a statistic as a multiple of its threshold, so that a server that recovered is
// cleared by about as many good requests as it took bad ones to find it unhealthy.
constexpr double statistic_cap = 1.5;

// Weight from which on a rate counts towards the baseline.
constexpr double min_weight = 0.2;

constexpr absl::Duration rate_interval = absl::Seconds(10);
constexpr double assumed_rate = 10; // Requests per second and server, until measured.
constexpr double month_seconds = 30 * 86400.0;

double log_ratio(double n, double bad, double p0, double p1)
{
    return bad * std::log(p1 / p0) + (n - bad) * std::log((1 - p1) / (1 - p0));
}

} // namespace

void detail::decayed_rate::add(double decay_requests, double n, double bad_requests)
{
    const double keep = std::exp(-n / decay_requests);
    bad = keep * bad + (1 - keep) * bad_requests / n;
    weight = keep * weight + (1 - keep);
}

detector::detector(const detector_options& options) : options_(options)
{
    update_threshold(absl::InfinitePast());
}

void detector::set_options(const detector_options& options)
{
    options_ = options;
    update_threshold(absl::InfinitePast());
}

void detector::update_threshold(absl::Time now)
{
    if (now - interval_start_ >= rate_interval) {
        if (interval_start_ != absl::InfinitePast() && !all_.servers.empty()) {
            const double measured = static_cast<double>(interval_requests_) /
                                    absl::ToDoubleSeconds(now - interval_start_) /
                                    static_cast<double>(all_.servers.size());
            rate_ = rate_ == 0 ? measured : 0.8 * rate_ + 0.2 * measured;
        }
        interval_start_ = now;
        interval_requests_ = 0;
    }
    const double rate = std::max(0.1, rate_ == 0 ? assumed_rate : rate_);
    requests_per_false_ejection_ =
        rate * month_seconds / std::max(0.001, options_.false_ejections_per_server_month);
    for (std::size_t kind = 0; kind < kind_count; ++kind) {
        for (std::size_t it = 0; it < test_kinds[kind].alternatives; ++it) {
            thresholds_[0][kind][it] = compute_threshold({kind, it, false});
            thresholds_[1][kind][it] = compute_threshold({kind, it, true});
        }
    }
}

double detector::compute_threshold(const test_id& it) const
{
    const auto& test = test_kinds[it.kind].tests[it.alternative];
    const auto routes = static_cast<double>(routes_.size());
    double share = test.share;
    if (routes > 1) {
        share *= it.one_route ? 0.5 / routes : 0.5;
    }
    const double h =
        std::log(requests_per_false_ejection_ / share) - test.run_length_gain;
    return std::max(min_threshold, h);
}

void detector::add(
    absl::Time now,
    const core::server_id& server,
    const core::route_id& route,
    const evidence& counts)
{
    if (counts.requests == 0) {
        return;
    }
    interval_requests_ += counts.requests;
    const bool new_route = !routes_.contains(route);
    add_to(all_, false, server, counts);
    add_to(routes_[route], true, server, counts);
    if (new_route || now - interval_start_ >= rate_interval) {
        update_threshold(now);
    }
}

void detector::add_to(
    scope& target, bool one_route, const core::server_id& server, const evidence& counts)
{
    auto& at = target.servers[server];
    at.idle = false;
    target.since_baseline_update += counts.requests;
    const auto n = static_cast<double>(counts.requests);
    for (std::size_t kind = 0; kind < kind_count; ++kind) {
        auto& series = at.series[kind];
        const auto bad =
            static_cast<double>(kind == failures ? counts.failures : counts.slow);
        series.fast.add(fast_decay_requests, n, bad);
        series.steady.add(steady_decay_requests, n, bad);
        const double p0 = std::max(test_kinds[kind].min_baseline, series.baseline);
        for (std::size_t it = 0; it < test_kinds[kind].alternatives; ++it) {
            auto& test = series.tests[it];
            const double p1 = test_kinds[kind].tests[it].rate;
            const double cap = statistic_cap * threshold({kind, it, one_route});
            if (p1 < min_rate_ratio * p0) {
                // The baseline is too high to test this alternative now. A random rise of
                // the baseline is short and must not undo the test; a lasting one ends
                // it.
                const double keep = std::exp(-n / steady_decay_requests);
                test = {keep * test.statistic, keep * test.requests, keep * test.bad};
                continue;
            }
            test.statistic += log_ratio(n, bad, p0, p1);
            if (test.statistic <= 0) {
                test = {};
                continue;
            }
            test.statistic = std::min(test.statistic, cap);
            test.requests += n;
            test.bad += bad;
        }
    }
    if (target.since_baseline_update >= target.servers.size()) {
        update_baselines(target, one_route);
    }
}

double detector::score(const detail::test_series& series, const test_id& it) const
{
    const auto& test = series.tests[it.alternative];
    const double p0 = std::max(test_kinds[it.kind].min_baseline, series.baseline);
    const double p1 = test_kinds[it.kind].tests[it.alternative].rate;
    if (test.statistic <= 0 || p1 < min_rate_ratio * p0) {
        return 0;
    }
    const double recomputed = log_ratio(test.requests, test.bad, p0, p1);
    return std::max(0.0, std::min(test.statistic, recomputed)) / threshold(it);
}

void detector::update_baselines(scope& target, bool one_route) const
{
    target.since_baseline_update = 0;
    std::vector<double> scores;
    for (std::size_t kind = 0; kind < kind_count; ++kind) {
        const auto score_of = [&](const detail::server_tests& all_tests) {
            double highest = 0;
            for (std::size_t it = 0; it < test_kinds[kind].alternatives; ++it) {
                highest = std::max(
                    highest, score(all_tests.series[kind], {kind, it, one_route}));
            }
            return highest;
        };
        scores.clear();
        for (const auto& [server, it] : target.servers) {
            scores.push_back(score_of(it));
        }
        // Servers with this score or more are left out of the baseline.
        auto ordered = scores;
        const auto max_excluded = static_cast<std::size_t>(
            std::floor(max_excluded_fraction * static_cast<double>(ordered.size())));
        std::sort(ordered.begin(), ordered.end(), std::greater<>());
        const double limit = std::max(
            options_.suspected_score,
            max_excluded < ordered.size() ? ordered[max_excluded] + 1e-9 : 0);

        double fast = 0;
        double steady = 0;
        double count = 0;
        const auto rate = [](const detail::decayed_rate& it) {
            return it.bad / it.weight;
        };
        const auto counts = [&](const detail::test_series& it, double score) {
            return score < limit && it.steady.weight >= min_weight;
        };
        std::size_t i = 0;
        for (const auto& [server, it] : target.servers) {
            if (counts(it.series[kind], scores[i++])) {
                fast += rate(it.series[kind].fast);
                steady += rate(it.series[kind].steady);
                count += 1;
            }
        }
        i = 0;
        for (auto& [server, it] : target.servers) {
            auto& series = it.series[kind];
            const bool included = counts(series, scores[i++]);
            const double others = count - (included ? 1 : 0);
            const double others_fast = fast - (included ? rate(series.fast) : 0);
            const double others_steady = steady - (included ? rate(series.steady) : 0);
            series.baseline =
                others > 0 ? std::max({0.0, others_fast, others_steady}) / others : 1;
        }
    }
}

void detector::reset(const core::server_id& server)
{
    all_.servers.erase(server);
    for (auto& [route, target] : routes_) {
        target.servers.erase(server);
    }
}

void detector::halve_idle()
{
    const auto halve_in = [](scope& target) {
        for (auto& [server, at] : target.servers) {
            if (std::exchange(at.idle, true)) {
                for (auto& series : at.series) {
                    for (auto& it : series.tests) {
                        it = {it.statistic / 2, it.requests / 2, it.bad / 2};
                    }
                }
            }
        }
    };
    halve_in(all_);
    for (auto& [route, target] : routes_) {
        halve_in(target);
    }
}

std::pair<double, double>
detector::score_and_severity(const core::server_id& server) const
{
    double highest = 0;
    double severity = 0;
    const auto evaluate = [&](const scope& target, bool one_route) {
        const auto at = target.servers.find(server);
        if (at == target.servers.end()) {
            return;
        }
        for (std::size_t kind = 0; kind < kind_count; ++kind) {
            for (std::size_t it = 0; it < test_kinds[kind].alternatives; ++it) {
                const double score =
                    this->score(at->second.series[kind], {kind, it, one_route});
                const double rate = test_kinds[kind].tests[it].rate;
                if (score > highest) {
                    highest = score;
                    severity = kind == failures ? 2 * rate : rate;
                }
            }
        }
    };
    evaluate(all_, false);
    if (routes_.size() > 1) {
        for (const auto& [route, target] : routes_) {
            evaluate(target, true);
        }
    }
    return {highest, severity};
}

std::vector<finding> detector::findings() const
{
    std::vector<finding> result;
    for (const auto& [server, it] : all_.servers) {
        const auto [score, severity] = score_and_severity(server);
        if (score >= options_.suspected_score) {
            result.push_back({server, score, severity});
        }
    }
    std::sort(result.begin(), result.end(), [](const auto& a, const auto& b) {
        return a.severity != b.severity ? a.severity > b.severity : a.score > b.score;
    });
    if (all_.servers.size() > 2 && result.size() * 2 > all_.servers.size()) {
        for (auto& it : result) {
            it.score = std::min(it.score, 0.99);
        }
    }
    return result;
}

double detector::score(const core::server_id& server) const
{
    return score_and_severity(server).first;
}

} // namespace cuminpitch::health
