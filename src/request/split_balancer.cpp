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
        it.behind.clear();
        for (std::size_t i = 0; i < weights.size(); ++i) {
            constexpr std::uint64_t steps = 1U << 20U;
            const double part = static_cast<double>(random_() % steps) / steps;
            it.behind.push_back(weights[i] > 0 ? part : 0);
        }
        it.weights = std::move(weights);
    }
    std::size_t best = 0;
    for (std::size_t i = 0; i < it.weights.size(); ++i) {
        it.behind[i] += it.weights[i];
        const bool takes_part = it.weights[i] > 0;
        if (takes_part && (it.weights[best] <= 0 || it.behind[i] > it.behind[best])) {
            best = i;
        }
    }
    it.behind[best] -= 1;
    return best;
}

} // namespace cuminpitch::request
