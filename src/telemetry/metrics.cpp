#include "cuminpitch/telemetry/metrics.hpp"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <absl/synchronization/mutex.h>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <iterator>

namespace cuminpitch::telemetry {
namespace {

constexpr double shortest_seconds = 10e-6;
constexpr double longest_seconds = 100.0;
constexpr unsigned bins = 35; // Five bins per decade.

using log_axis =
    boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

class latency_histogram
{
public:
    void record(double seconds)
    {
        bins_(seconds);
        sum_ += seconds;
    }

    /// Appends the lines `name_bucket{..,le=".."}`, `name_sum` and `name_count`.
    void write(std::string& out, const std::string& name, const std::string& at) const;

private:
    boost::histogram::histogram<std::tuple<log_axis>> bins_ =
        boost::histogram::make_histogram(
            log_axis(bins, shortest_seconds, longest_seconds));
    double sum_ = 0;
};

std::string braced(const std::string& at, const std::string& extra = "")
{
    const char* comma = at.empty() || extra.empty() ? "" : ",";
    return at.empty() && extra.empty() ? "" : absl::StrCat("{", at, comma, extra, "}");
}

void latency_histogram::write(
    std::string& out, const std::string& name, const std::string& at) const
{
    const auto& axis = bins_.axis();
    double total = bins_.at(-1);
    for (int i = 0; i < axis.size(); ++i) {
        total += bins_.at(i);
        const auto bound = absl::StrCat("le=\"", axis.value(i + 1), "\"");
        absl::StrAppend(
            &out, name, "_bucket", braced(at, bound), " ", std::uint64_t(total), "\n");
    }
    total += bins_.at(axis.size());
    const auto count = std::uint64_t(total);
    absl::StrAppend(&out, name, "_bucket", braced(at, "le=\"+Inf\""), " ", count, "\n");
    absl::StrAppend(&out, name, "_sum", braced(at), " ", sum_, "\n");
    absl::StrAppend(&out, name, "_count", braced(at), " ", count, "\n");
}

std::string format_labels(const labels& at)
{
    std::string out;
    for (const auto& [name, value] : at) {
        const auto escaped =
            absl::StrReplaceAll(value, {{"\\", "\\\\"}, {"\"", "\\\""}, {"\n", "\\n"}});
        absl::StrAppend(&out, out.empty() ? "" : ",", name, "=\"", escaped, "\"");
    }
    return out;
}

/// Maps the name of a metric and its formatted labels to a value.
template <class T>
using series = absl::btree_map<std::string, absl::btree_map<std::string, T>>;

} // namespace

struct metrics::impl
{
    mutable absl::Mutex mutex;
    series<std::uint64_t> counters;
    series<double> gauges;
    series<latency_histogram> histograms;
};

metrics::metrics() : impl_(std::make_unique<impl>()) {}

metrics::~metrics() = default;

void metrics::add(const std::string& counter, const labels& at, std::uint64_t n)
{
    const std::string text = format_labels(at);
    const absl::MutexLock lock(&impl_->mutex);
    impl_->counters[counter][text] += n;
}

void metrics::set(const std::string& gauge, double value, const labels& at)
{
    const std::string text = format_labels(at);
    const absl::MutexLock lock(&impl_->mutex);
    impl_->gauges[gauge][text] = value;
}

void metrics::record(const std::string& histogram, absl::Duration value, const labels& at)
{
    const std::string text = format_labels(at);
    const absl::MutexLock lock(&impl_->mutex);
    impl_->histograms[histogram][text].record(absl::ToDoubleSeconds(value));
}

std::uint64_t metrics::counter(const std::string& name, const labels& at) const
{
    const std::string text = format_labels(at);
    const absl::MutexLock lock(&impl_->mutex);
    const auto found = impl_->counters.find(name);
    if (found == impl_->counters.end()) {
        return 0;
    }
    const auto value = found->second.find(text);
    return value == found->second.end() ? 0 : value->second;
}

std::string metrics::exposition() const
{
    absl::btree_map<std::string, std::string> blocks;
    const auto header = [](const std::string& name, const char* kind) {
        return absl::StrCat("# TYPE ", name, " ", kind, "\n");
    };
    const absl::MutexLock lock(&impl_->mutex);
    for (const auto& [name, by_labels] : impl_->counters) {
        std::string& out = blocks[name] = header(name, "counter");
        for (const auto& [at, value] : by_labels) {
            absl::StrAppend(&out, name, braced(at), " ", value, "\n");
        }
    }
    for (const auto& [name, by_labels] : impl_->gauges) {
        std::string& out = blocks[name] = header(name, "gauge");
        for (const auto& [at, value] : by_labels) {
            absl::StrAppend(&out, name, braced(at), " ", value, "\n");
        }
    }
    for (const auto& [name, by_labels] : impl_->histograms) {
        std::string& out = blocks[name] = header(name, "histogram");
        for (const auto& [at, value] : by_labels) {
            value.write(out, name, at);
        }
    }
    std::string out;
    for (const auto& [name, block] : blocks) {
        out += block;
    }
    return out;
}

} // namespace cuminpitch::telemetry
