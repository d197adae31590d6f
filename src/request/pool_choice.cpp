// Choice of a server for a request.

#include "pool_state_priv.hpp"

#include <algorithm>

namespace cuminpitch::request {
namespace {

/// A recent failure counts for more than the penalty of another failure domain: a request
/// to another domain costs bandwidth, a failing server costs the request. An idempotent
/// request that fails only costs a retry, and shows whether the server has recovered.
constexpr double suspicion_weight = 1.4;
constexpr double idempotent_suspicion_weight = 0.35;
/// Lowers the load of a limited server for which there is a permit, as permits expire.
constexpr double permit_bonus = 0.05;
/// Of a pool that every entry serves, the servers that this entry prefers are compared,
/// and of the others of each kind a random sample with this many that have no recent
/// failure. Entries that compare all choose the same few, as each knows the requests of
/// the others from reports that may be older than a request takes.
constexpr std::size_t sampled_without_failure = 2;
/// Limit of the sample, which is reached if most servers have failed lately.
constexpr std::size_t max_sampled = 5;
/// A suspicion below this level changes the choice less than a request in flight.
constexpr double low_suspicion = 0.25;

/// Penalty, as a fraction of its slots, of a server in another failure domain. The load
/// that entries of other domains put on it isn't known, so a server in this domain is
/// preferred until its slots are nearly full. Traffic between domains is expensive, so
/// the penalty grows with the body, up to that of one more request in each slot.
double other_domain_penalty(std::size_t body_bytes)
{
    constexpr double any = 0.9;
    constexpr double max_body_penalty = 1;
    constexpr double max_penalty_body_bytes = 64U << 10U;
    return any +
           max_body_penalty *
               std::min(1.0, static_cast<double>(body_bytes) / max_penalty_body_bytes);
}

bool was_tried(const live_request& it, const core::server_id& server)
{
    return std::find(it.tried.begin(), it.tried.end(), server) != it.tried.end();
}

} // namespace

bool pool_state::allows_request(absl::Time now, const server_view& it)
{
    return !it.limit || (it.limit->permits > 0 && now < it.limit->permits_expire);
}

bool pool_state::is_eligible(
    absl::Time now, const server_slots& it, const live_request& request) const
{
    if (!it.is_open(now) || was_tried(request, it.view.id)) {
        return false;
    }
    return !it.view.probation || request.route->idempotent || !has_idempotent_route_;
}

double pool_state::plain_load(const server_slots& it) const
{
    return (it.in_flight +
            last_update_.remote_in_flight_weight * it.view.remote_in_flight) /
           it.view.slots;
}

double
pool_state::probing_suspicion(const server_slots& it, const live_request& request) const
{
    const bool probes = request.route->idempotent || !has_idempotent_route_;
    return probes ? it.view.probing_suspicion.value_or(it.view.suspicion)
                  : it.view.suspicion;
}

double
pool_state::suspicion_penalty(const server_slots& it, const live_request& request) const
{
    return (request.route->idempotent ? idempotent_suspicion_weight : suspicion_weight) *
           probing_suspicion(it, request);
}

double pool_state::load(
    absl::Time now, const server_slots& it, const live_request& request) const
{
    return plain_load(it) + it.view.penalty + suspicion_penalty(it, request) +
           (it.view.in_other_domain ? other_domain_penalty(request.message->body.size())
                                    : 0) +
           (it.view.is_preferred ? 0 : not_preferred_penalty) -
           (it.view.limit && allows_request(now, it.view) ? permit_bonus : 0);
}

void pool_state::count_choice(
    absl::Time now,
    const live_request& request,
    const std::vector<const server_slots*>& compared,
    const server_slots* chosen)
{
    auto& n = choice_counts_;
    ++n.choices;
    n.without_server += chosen == nullptr ? 1 : 0;
    std::size_t free = 0;
    for (const auto& it : servers_) {
        if (!it.is_listed) {
            continue;
        }
        ++n.servers;
        if (!is_eligible(now, it, request)) {
            ++n.closed;
        } else if (it.in_flight >= it.max_in_flight()) {
            ++n.full;
        } else {
            ++free;
        }
    }
    n.not_compared += free - compared.size();
    const double best = chosen == nullptr ? 0 : load(now, *chosen, request);
    for (const auto* it : compared) {
        if (it == chosen) {
            continue;
        }
        const double own = load(now, *it, request);
        const bool is_only_suspected =
            chosen != nullptr &&
            (it->view.suspected != chosen->view.suspected
                 ? it->view.suspected
                 : own > best && own - suspicion_penalty(*it, request) < best);
        if (!allows_request(now, it->view)) {
            ++n.no_permit;
        } else if (is_only_suspected) {
            ++n.suspected;
        } else if (own > best && plain_load(*it) < best) {
            ++n.penalized;
        } else {
            ++n.busier;
        }
    }
}

std::vector<const pool_state::server_slots*> pool_state::free_servers(
    absl::Time now, const live_request& it, bool in_other_domain) const
{
    std::vector<const server_slots*> out;
    for (const auto& server : servers_) {
        if (server.view.in_other_domain == in_other_domain &&
            is_eligible(now, server, it) && server.in_flight < server.max_in_flight()) {
            out.push_back(&server);
        }
    }
    return out;
}

void pool_state::reduce_to_sample(
    std::vector<const server_slots*>& servers,
    const live_request& it,
    core::random_source& random) const
{
    const auto others =
        std::partition(servers.begin(), servers.end(), [](const server_slots* each) {
            const auto& view = each->view;
            // Permits, not the comparison, bound the requests to a limited server.
            return view.limit.has_value() || (view.is_preferred && !view.in_other_domain);
        });
    auto n = static_cast<std::size_t>(others - servers.begin());
    const auto limit = std::min(servers.size(), n + max_sampled);
    std::size_t without_failure = 0;
    while (n < limit && without_failure < sampled_without_failure) {
        std::swap(servers[n], servers[n + random() % (servers.size() - n)]);
        without_failure += probing_suspicion(*servers[n], it) < low_suspicion ? 1 : 0;
        ++n;
    }
    servers.resize(n);
}

pool_state::choice
pool_state::pick(absl::Time now, const live_request& it, core::random_source& random)
{
    const auto load = [&](const server_slots& server) {
        return this->load(now, server, it);
    };
    const auto is_better = [&](const server_slots& server, const server_slots& than) {
        return than.view.suspected != server.view.suspected ? than.view.suspected
                                                            : load(server) < load(than);
    };
    struct candidate
    {
        const server_slots* server = nullptr;
        std::uint64_t ties = 0;
    };
    const auto consider = [&](candidate& best, const server_slots& server) {
        const bool is_first = best.server == nullptr || is_better(server, *best.server);
        const bool is_tie = !is_first && !is_better(*best.server, server);
        best.ties = is_first ? 1 : best.ties + (is_tie ? 1 : 0);
        if (is_first || (is_tie && random() % best.ties == 0)) {
            best.server = &server;
        }
    };
    candidate best;
    candidate best_withheld;
    choice out;
    for (const auto& server : servers_) {
        if (server.is_listed && now < server.view.closed_until) {
            out.closed = &server.view;
        }
    }
    std::vector<const server_slots*> compared;
    const auto consider_free = [&](bool is_sampled) {
        out.withheld.clear();
        compared.clear();
        best_withheld = {};
        for (const bool in_other_domain : {false, true}) {
            auto servers = free_servers(now, it, in_other_domain);
            if (is_sampled) {
                reduce_to_sample(servers, it, random);
            }
            compared.insert(compared.end(), servers.begin(), servers.end());
            for (const auto* server : servers) {
                if (allows_request(now, server->view)) {
                    consider(best, *server);
                } else {
                    consider(best_withheld, *server);
                    out.withheld.push_back(&server->view);
                }
            }
        }
    };
    const bool is_sampled = last_update_.settings.every_entry;
    consider_free(is_sampled);
    if (is_sampled && best.server == nullptr) {
        consider_free(false);
    }
    if (best.server != nullptr) {
        out.server = &best.server->view;
        out.withheld.clear();
        const auto* withheld = best_withheld.server;
        const auto is_chosen = [&] {
            const bool is_tie = !is_better(*best.server, *withheld);
            return is_better(*withheld, *best.server) ||
                   (is_tie &&
                    random() % (best.ties + best_withheld.ties) < best_withheld.ties);
        };
        if (withheld != nullptr && is_chosen()) {
            out.withheld.push_back(&withheld->view);
        }
    }
    count_choice(now, it, compared, best.server);
    return out;
}

} // namespace cuminpitch::request
