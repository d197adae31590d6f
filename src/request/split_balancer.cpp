#include "split_balancer_priv.hpp"

#include <algorithm>
#include <numeric>

namespace cuminpitch::request {
namespace {

std::vector<double> normalized(const std::vector<route_part>& parts)
{
    std::vector<double> out;
    out.reserve(parts.size());
    for (const auto& it : parts) {
        out.push_back(it.weight);
    }
    const double sum = std::accumulate(out.begin(), out.end(), 0.0);
    for (auto& it : out) {
        it = sum > 0 ? it / sum : 1.0 / static_cast<double>(out.size());
    }
    return out;
}

} // namespace

std::size_t
split_balancer::choose(const core::route_id& route, const std::vector<route_part>& parts)
{
    auto weights = normalized(parts);
    shares& it = routes_[route];
    if (it.weights != weights) {
        it.deficit.clear();
        for (std::size_t i = 0; i < weights.size(); ++i) {
            constexpr std::uint64_t steps = 1U << 20U;
            const double initial = static_cast<double>(random_() % steps) / steps;
            it.deficit.push_back(weights[i] > 0 ? initial : 0);
        }
        it.weights = std::move(weights);
    }
    std::size_t best = 0;
    for (std::size_t i = 0; i < it.weights.size(); ++i) {
        it.deficit[i] += it.weights[i];
        const bool has_weight = it.weights[i] > 0;
        if (has_weight && (it.weights[best] <= 0 || it.deficit[i] > it.deficit[best])) {
            best = i;
        }
    }
    it.deficit[best] -= 1;
    return best;
}

} // namespace cuminpitch::request
