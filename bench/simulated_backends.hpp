#pragma once

#include "trace.hpp"

#include <algorithm>
#include <cmath>
#include <random>

namespace cuminpitch::bench {

enum class outcome
{
    success,
    failure,
    shed,
};

struct response
{
    outcome how = outcome::success;
    double seconds = 0;
};

/// Simulates the backend servers of a trace. Times are in seconds after the warm-up.
class simulated_backends
{
public:
    simulated_backends(const trace& it, std::mt19937_64& random)
        : trace_(it), random_(random)
    {
    }

    static bool is_active(const traced_fault& it, double at)
    {
        if (at < it.from || at >= it.to) {
            return false;
        }
        return it.period == 0 || std::fmod(at - it.from, 2 * it.period) < it.period;
    }

    static bool affects(const traced_fault& it, std::size_t server)
    {
        return it.servers == 0 || server < it.servers;
    }

    /// Whether the server has a fault that does not affect the whole pool.
    bool is_sick(std::size_t server, double at) const
    {
        return std::any_of(
            trace_.faults.begin(), trace_.faults.end(), [&](const auto& it) {
                const bool kind =
                    it.kind == fault_kind::fail || it.kind == fault_kind::slow;
                return kind && it.servers != 0 && server < it.servers && at >= it.from &&
                       at < it.to;
            });
    }

    response answer(std::size_t server, std::size_t route, double at)
    {
        double fail = trace_.base_failures;
        double factor = 1;
        double shed = 0;
        for (const auto& it : trace_.faults) {
            const bool applies =
                affects(it, server) && is_active(it, at) &&
                (it.route.empty() || it.route == trace_.routes[route].name);
            if (!applies) {
                continue;
            }
            switch (it.kind) {
            case fault_kind::fail:
                fail = std::max(fail, it.value);
                break;
            case fault_kind::slow:
                factor = std::max(factor, it.value);
                break;
            case fault_kind::shed:
                shed = std::max(shed, it.value);
                break;
            case fault_kind::cold:
                factor = std::max(factor, at < it.from + it.value ? 3.0 : 1.0);
                break;
            case fault_kind::endpoint:
                break;
            }
        }
        if (chance() < shed) {
            return {outcome::shed, 0.001};
        }
        if (chance() < fail) {
            return {outcome::failure, 0.005};
        }
        const auto& load = trace_.routes[route];
        const double x = std::normal_distribution<double>(0, load.sigma)(random_);
        return {outcome::success, factor * load.median_ms / 1000 * std::exp(x)};
    }

    bool endpoint_reports_healthy(std::size_t server, double at) const
    {
        for (const auto& it : trace_.faults) {
            if (it.kind == fault_kind::endpoint && affects(it, server) &&
                is_active(it, at)) {
                return it.value != 0;
            }
        }
        return !is_sick(server, at);
    }

    double chance() { return std::uniform_real_distribution<double>(0, 1)(random_); }

private:
    const trace& trace_;
    std::mt19937_64& random_;
};

/// Lower bound of the detection time in seconds. Any detector with the tolerated rate of
/// false alarms needs, on average in the worst case, at least ln(requests between
/// tolerated false ejections) / KL(p1, p0) requests (Lorden 1971). For slowness, one
/// median service time is added, since a request gives no evidence before it ends.
inline double bound_seconds(const trace& it, const traced_fault& fault, double margin)
{
    double rate = 0;
    double rate_hit = 0;
    double slow = 0;
    double service = 0;
    for (const auto& route : it.routes) {
        rate += route.rate;
        if (fault.route.empty() || fault.route == route.name) {
            rate_hit += route.rate;
            const double z =
                1.2816 + (std::log(margin) - std::log(fault.value)) / route.sigma;
            service += route.rate * fault.value * route.median_ms / 1000;
            slow += route.rate * 0.5 * std::erfc(z / std::sqrt(2.0));
        }
    }
    const bool fails = fault.kind == fault_kind::fail;
    const double p0 = fails ? 0.005 : 0.1;
    const double p1 = std::min(fails ? fault.value : slow / rate_hit, 0.999999);
    const double kl = p1 * std::log(p1 / p0) + (1 - p1) * std::log((1 - p1) / (1 - p0));
    const double between = rate * 30 * 86400 / it.false_ejections;
    return std::log(between) / kl / rate_hit + (fails ? 0 : service / rate_hit);
}

} // namespace cuminpitch::bench
