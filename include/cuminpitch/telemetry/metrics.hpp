#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace cuminpitch::telemetry {

/// Label names and values of one time series.
using labels = std::vector<std::pair<std::string, std::string>>;

/// The counters, gauges and latency histograms of a process. Thread-safe.
class metrics
{
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    void add(const std::string& counter, const labels& at = {}, std::uint64_t n = 1);
    void set(const std::string& gauge, double value, const labels& at = {});
    /// Adds a duration to a histogram with logarithmic bins from 10 us to 100 s.
    void
    record(const std::string& histogram, absl::Duration value, const labels& at = {});

    /// Returns the value of a counter; 0 if it does not exist.
    std::uint64_t counter(const std::string& name, const labels& at = {}) const;

    /// Returns all series in the Prometheus text exposition format 0.0.4, sorted by name.
    std::string exposition() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace cuminpitch::telemetry
