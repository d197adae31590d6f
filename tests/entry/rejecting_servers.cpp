#include "rejecting_servers.hpp"

#include <algorithm>
#include <random>

namespace cuminpitch::entry {
namespace {

constexpr absl::Duration reset_period = absl::Seconds(9);
constexpr absl::Duration reset_time = absl::Milliseconds(2700);
constexpr double reset_share = 0.85;
constexpr absl::Duration judged = absl::Seconds(2);
constexpr absl::Duration sound_again_after = absl::Seconds(2);
/// Of a lognormal distribution with mean 1.
constexpr double work_sigma = 0.8;
constexpr int ok = 200;
constexpr int unavailable = 503;

double ratio(std::size_t a, std::size_t b)
{
    return b == 0 ? 0 : static_cast<double>(a) / static_cast<double>(b);
}

} // namespace

rejecting_servers::rejecting_servers(const rejecting_shape& shape)
    : simulated_fleet(shape.fleet), shape_(shape)
{
    for (std::size_t n = 0; n < shape_.fleet.servers; ++n) {
        index_[server_at(n)] = n;
        phases_.push_back(
            reset_period * std::uniform_real_distribution(0.0, 1.0)(random_));
    }
}

void rejecting_servers::run(absl::Duration time, double requests_per_s)
{
    const auto until = now() + time;
    std::exponential_distribution gap(requests_per_s);
    for (auto next = now() + absl::Seconds(gap(random_)); next < until;
         next += absl::Seconds(gap(random_))) {
        advance(next);
        sent_.push_back(now());
        send(random_() % shape_.fleet.entries, random_() % 5 == 0);
    }
    advance(until);
}

bool rejecting_servers::is_resetting(std::size_t server, absl::Time at) const
{
    const auto since = at - absl::UnixEpoch() + phases_[server];
    absl::Duration in_period;
    absl::IDivDuration(since, reset_period, &in_period);
    return in_period < reset_time;
}

bool rejecting_servers::is_sound(
    std::size_t server, absl::Time from, absl::Time until) const
{
    constexpr absl::Duration step = absl::Milliseconds(50);
    for (auto at = from - sound_again_after; at <= until; at += step) {
        if (is_resetting(server, at)) {
            return false;
        }
    }
    return true;
}

http::client_result rejecting_servers::serve(const core::endpoint& server)
{
    const auto index = index_.at(server);
    http::client_result out;
    out.elapsed = 2 * network_delay;
    std::uniform_real_distribution any(0.0, 1.0);
    if (is_resetting(index, now()) && any(random_) < reset_share) {
        out.failure = http::failure::reset;
        out.verdict = core::verdict::may_have_run;
        return out;
    }
    auto& completions = completions_[server];
    std::erase_if(completions, [&](absl::Time it) { return it <= now(); });
    const std::size_t slots = shape_.fleet.slots;
    if (completions.size() >= slots + shape_.queue) {
        out.verdict = core::verdict::not_run;
        out.response.status = unavailable;
        out.response.headers.add("Cuminpitch-Run", "not-run");
        return out;
    }
    auto start = now();
    if (completions.size() >= slots) {
        std::sort(completions.begin(), completions.end());
        start = completions[completions.size() - slots];
    }
    const auto work =
        shape_.fleet.mean_service_time *
        std::lognormal_distribution(-work_sigma * work_sigma / 2, work_sigma)(random_);
    completions.push_back(start + work);
    out.verdict = core::verdict::ran;
    out.response.status = ok;
    out.elapsed += completions.back() - now();
    return out;
}

rejecting_servers::window rejecting_servers::judge(absl::Time end)
{
    const auto begin = end - judged;
    window out;
    std::size_t sent = 0;
    std::size_t served = 0;
    for (const auto at : sent_) {
        sent += at > begin && at <= end ? 1 : 0;
    }
    for (const auto& it : responses()) {
        served += it.sent > begin && it.sent <= end && it.status == ok ? 1 : 0;
    }
    out.unserved = sent == 0 ? 0 : 1 - ratio(served, sent);
    std::size_t idle = 0;
    std::size_t most = 0;
    std::size_t total = 0;
    for (const auto& [server, index] : index_) {
        if (!is_sound(index, begin, end)) {
            continue;
        }
        ++out.sound;
        const auto& arrivals = arrivals_at(server);
        const auto n = static_cast<std::size_t>(
            std::count_if(arrivals.begin(), arrivals.end(), [&](const auto& it) {
                return it.at > begin && it.at <= end;
            }));
        idle += n == 0 ? 1 : 0;
        most = std::max(most, n);
        total += n;
    }
    out.idle = ratio(idle, out.sound);
    out.busiest = ratio(most * out.sound, total);
    return out;
}

} // namespace cuminpitch::entry
