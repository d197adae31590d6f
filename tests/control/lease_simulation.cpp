#include "lease_simulation.hpp"

#include <algorithm>

namespace cuminpitch::control {
namespace {

constexpr auto pool_lease = absl::Seconds(2);
const auto promise_time = 1.01 * pool_lease;
const std::string leader_name = "leader";
const std::string follower_name = "follower";

} // namespace

lease_simulation::lease_simulation(simulation_options options)
    : options_(options), random_(options.seed)
{
    commit(set_change("c", 0, "teams/t/pools/a/entries", "3"));
    elect();
    for (int i = 0; i < options.entries; ++i) {
        const auto name = "e" + std::to_string(i);
        auto& it = nodes_[name];
        it.name = name;
        it.clock_rate = 0.99 + 0.0001 * static_cast<double>(random_below(201));
        restart(it);
        every(absl::Milliseconds(500), [this, &it] { sync(it); });
        every(absl::Milliseconds(500), [this, &it] {
            if (clock(it) < it.lease_until || chance(20)) {
                ask_for_lease(it);
            }
        });
        every(absl::Seconds(1), [this, &it] {
            fetch(it, nodes_["e" + std::to_string(random_below(nodes_.size()))]);
        });
    }
    every(absl::Milliseconds(250), [this] { tick_leader(); });
    every(absl::Seconds(1), [this] { inject_fault(); });
    every(absl::Milliseconds(50), [this] { check(); });
}

void lease_simulation::run(absl::Duration time)
{
    const auto end = now_ + time;
    while (events_.top().when < end) {
        const auto it = events_.top();
        events_.pop();
        now_ = it.when;
        it.action();
    }
    now_ = end;
}

absl::Time lease_simulation::clock(const node& it) const
{
    return absl::UnixEpoch() + (now_ - absl::UnixEpoch()) * it.clock_rate;
}

void lease_simulation::at(absl::Duration delay, std::function<void()> action)
{
    events_.push({now_ + delay, ++order_, std::move(action)});
}

void lease_simulation::every(absl::Duration mean, const std::function<void()>& action)
{
    at(mean * (0.5 + 0.01 * static_cast<double>(random_below(100))),
       [this, mean, action] {
           action();
           every(mean, action);
       });
}

void lease_simulation::send(
    const std::string& from, const std::string& to, std::function<void()> action)
{
    if (cut_.contains({from, to}) || chance(5)) {
        return;
    }
    const auto slowest = chance(5) ? 3000 : 50;
    at(absl::Milliseconds(1 + random_below(slowest)), std::move(action));
}

void lease_simulation::restart(node& it)
{
    it.up = true;
    it.draining = false;
    it.confirmed = false;
    ++it.incarnation;
    it.view = std::make_unique<view_replica>(compile_sample);
    it.grants_from = clock(it) + promise_time;
    it.lease_until = absl::InfinitePast();
    it.current_promise = {};
    it.current_round.granters.clear();
    ++it.current_round.number;
    at(absl::Seconds(2), [this, &it, incarnation = it.incarnation] {
        if (it.incarnation == incarnation && it.view->revision() == core::revision{}) {
            for (auto& [name, peer] : nodes_) {
                fetch(it, peer);
            }
        }
    });
}

void lease_simulation::sync(node& it)
{
    if (!it.up) {
        return;
    }
    const bool to_leader = chance(70);
    const auto& to = to_leader ? leader_name : follower_name;
    const sync_request request{
        make_entry(it.name, "d" + std::to_string(it.name.back() % 3)),
        it.incarnation,
        it.view->revision(),
        it.draining,
        {}};
    send(it.name, to, [this, &it, to, to_leader, request] {
        const auto& state = to_leader ? state_ : follower_;
        sync_response answer{
            state.update_for(request.in_force),
            state.revision(),
            std::nullopt,
            to_leader};
        leader_->report(request, now_);
        send(to, it.name, [&it, request, answer] {
            if (!it.up || it.incarnation != request.incarnation) {
                return;
            }
            it.view->apply(answer.update);
            it.confirmed |= answer.confirmed && it.view->revision() >= answer.current;
        });
    });
}

void lease_simulation::fetch(node& it, node& peer)
{
    if (!it.up || it.name == peer.name) {
        return;
    }
    send(it.name, peer.name, [this, &it, &peer, incarnation = it.incarnation] {
        if (!peer.up) {
            return;
        }
        const auto copy = std::make_shared<const fleet_contents>(*peer.view->contents());
        send(peer.name, it.name, [&it, incarnation, copy] {
            if (it.up && it.incarnation == incarnation) {
                it.view->apply(copy);
            }
        });
    });
}

void lease_simulation::elect()
{
    controller_options options;
    options.removal_timeout = absl::Seconds(20);
    options.assignment_settle = options_.assignment_settle;
    options.require_settled_majority = options_.require_settled_majority;
    options.single_member_steps = options_.single_member_steps;
    leader_ = std::make_unique<controller>(options, assign::rendezvous{}, now_);
    ++term_;
}

void lease_simulation::tick_leader()
{
    if (chance(1)) {
        elect();
    }
    for (const auto& it : leader_->tick(*state_.view(), now_)) {
        at(absl::Milliseconds(5 + random_below(chance(10) ? 2000 : 100)),
           [this, it, term = term_] {
               if (term == term_ || chance(50)) {
                   commit(it);
               }
           });
    }
}

void lease_simulation::commit(const command& it)
{
    const auto index = rev(++index_);
    state_.apply(index, it);
    const auto list = state_.contents().assignments.find(pool_a);
    if (list != state_.contents().assignments.end() &&
        lists_.try_emplace(list->second.list_revision, list->second).second) {
        ++list_steps;
    }
    // The constant delay keeps the commands in order.
    at(absl::Seconds(5), [this, index, it] { follower_.apply(index, it); });
}

const pool_assignment* lease_simulation::list_of(const node& it) const
{
    const auto& lists = it.view->contents()->assignments;
    const auto known = lists.find(pool_a);
    return known == lists.end() ? nullptr : &known->second;
}

bool lease_simulation::may_grant(const node& it) const
{
    return it.up && clock(it) >= it.grants_from &&
           (it.confirmed || !options_.wait_for_confirmation);
}

void lease_simulation::ask_for_lease(node& it)
{
    const auto* list = list_of(it);
    const core::instance_id self(it.name);
    if (!it.up || list == nullptr || std::ranges::count(list->entries, self) == 0) {
        return;
    }
    it.current_round = {it.current_round.number + 1, clock(it), *list, {}};
    for (const auto& id : list->entries) {
        auto& granter = nodes_[id.str()];
        const auto ask = [this, &it, &granter, current_round = it.current_round] {
            if (!grant(granter, it.name, current_round.list.list_revision)) {
                return;
            }
            const auto answer = [this, &it, &granter, current_round] {
                granted(it, granter.name, current_round.number);
            };
            if (granter.name == it.name) {
                answer();
            } else {
                send(granter.name, it.name, answer);
            }
        };
        if (granter.name == it.name) {
            ask();
        } else {
            send(it.name, granter.name, ask);
        }
    }
}

bool lease_simulation::grant(
    node& granter, const std::string& holder, core::revision list)
{
    const auto* own = list_of(granter);
    const bool promised = clock(granter) < granter.current_promise.until;
    if (!may_grant(granter) || own == nullptr || own->list_revision != list ||
        (promised && granter.current_promise.holder != holder)) {
        return false;
    }
    granter.current_promise = {holder, clock(granter) + promise_time, list};
    return true;
}

void lease_simulation::granted(node& holder, const std::string& granter, int number)
{
    auto& current_round = holder.current_round;
    if (!holder.up || current_round.number != number) {
        return;
    }
    current_round.granters.insert(granter);
    const auto until = current_round.sent + pool_lease;
    if (current_round.granters.size() <= current_round.list.entries.size() / 2 ||
        until <= clock(holder)) {
        return;
    }
    leases += clock(holder) < holder.lease_until ? 0 : 1;
    holder.lease_until = std::max(holder.lease_until, until);
    for (const auto& [name, other] : nodes_) {
        if (name != holder.name && other.up && clock(other) < other.lease_until) {
            ++double_leases;
        }
    }
}

void lease_simulation::inject_fault()
{
    auto& it = nodes_["e" + std::to_string(random_below(nodes_.size()))];
    const auto later =
        absl::Milliseconds(500 + random_below(chance(20) ? 40'000 : 6'000));
    const auto incarnation = it.incarnation;
    const auto come_back = [this, &it, incarnation] {
        if (it.incarnation == incarnation) {
            restart(it);
        }
    };
    switch (random_below(5)) {
    case 0:
        for (const auto& name : all_names()) {
            // The link may be cut in one direction or in both.
            const bool cut = chance(50);
            for (const auto& link :
                 {link_type{it.name, name}, link_type{name, it.name}}) {
                if (cut && chance(70)) {
                    cut_link(link, later);
                }
            }
        }
        break;
    case 1:
        it.draining = true;
        at(later, come_back);
        break;
    case 2:
        if (chance(30)) {
            it.up = false;
            at(later, come_back);
        }
        break;
    case 3:
        if (chance(30)) {
            restart(it);
        }
        break;
    default:
        if (chance(10)) {
            isolate_pair();
        }
    }
}

// Isolates one member of the list and, 12 s later, a second one that restarts and can
// then reach only the first. The list may have changed several times in between.
void lease_simulation::isolate_pair()
{
    if (lists_.empty()) {
        return;
    }
    const auto& members = lists_.rbegin()->second.entries;
    const auto a = members[random_below(members.size())].str();
    const auto b = members[random_below(members.size())].str();
    const auto isolate = [this](const std::string& who, absl::Duration time) {
        for (const auto& name : all_names()) {
            cut_link({who, name}, time);
            cut_link({name, who}, time);
        }
    };
    isolate(a, absl::Seconds(30));
    at(absl::Seconds(12), [this, a, b, isolate] {
        isolate(b, absl::Seconds(18));
        restart(nodes_[b]);
        cut_.erase({a, b});
        cut_.erase({b, a});
    });
}

std::vector<std::string> lease_simulation::all_names() const
{
    std::vector<std::string> result = {leader_name, follower_name};
    for (const auto& [name, it] : nodes_) {
        result.push_back(name);
    }
    return result;
}

void lease_simulation::cut_link(const link_type& it, absl::Duration time)
{
    cut_.insert(it);
    at(time, [this, it] { cut_.erase(it); });
}

// An entry can grant leases under the list that it has in force, and it supports the list
// under which it made a promise that is still valid. Two lists violate the invariant if
// both can have a majority of granters without an entry that counts for both.
void lease_simulation::check()
{
    std::map<core::revision, std::set<std::string>> support;
    for (const auto& [name, it] : nodes_) {
        if (!may_grant(it)) {
            continue;
        }
        if (const auto* list = list_of(it)) {
            support[list->list_revision].insert(name);
        }
        if (clock(it) < it.current_promise.until) {
            support[it.current_promise.list].insert(name);
        }
    }
    const auto members = [&](core::revision list) {
        std::set<std::string> result;
        for (const auto& id : lists_.at(list).entries) {
            if (support[list].contains(id.str())) {
                result.insert(id.str());
            }
        }
        return result;
    };
    const auto majority = [&](core::revision list) {
        return static_cast<int>(lists_.at(list).entries.size() / 2 + 1);
    };
    for (auto a = support.begin(); a != support.end(); ++a) {
        for (auto b = std::next(a); b != support.end(); ++b) {
            const auto in_a = members(a->first);
            const auto in_b = members(b->first);
            const int both = static_cast<int>(std::ranges::count_if(
                in_a, [&](const auto& name) { return in_b.contains(name); }));
            const int lacking_a =
                majority(a->first) - (static_cast<int>(in_a.size()) - both);
            const int lacking_b =
                majority(b->first) - (static_cast<int>(in_b.size()) - both);
            if (std::max(0, lacking_a) + std::max(0, lacking_b) <= both) {
                ++disjoint_majorities;
            }
        }
    }
}

} // namespace cuminpitch::control
