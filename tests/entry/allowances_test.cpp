#include "entry/allowances_priv.hpp"

#include "cuminpitch/wire/control_codec.hpp"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <set>

namespace cuminpitch::entry {
namespace {

using outcome = request::allowance_decided::outcome;

const core::customer_id shop{core::team_id("t"), "shop"};
constexpr absl::Duration step = absl::Milliseconds(1);
constexpr absl::Duration tick_interval = absl::Milliseconds(20);
constexpr absl::Duration window = absl::Seconds(5);

/// Entries that exchange the messages of allowances, and a customer that sends requests
/// to some of them.
class allowance_fleet
{
public:
    allowance_fleet(std::size_t size, double rate, double burst, std::uint64_t seed)
        : rate_(rate), burst_(burst), random_(seed)
    {
        for (std::size_t n = 0; n < size; ++n) {
            records_.push_back(
                {core::instance_id(absl::StrCat("e", n)),
                 {"10.0.0.1", static_cast<std::uint16_t>(n + 1)},
                 {"10.0.0.2", static_cast<std::uint16_t>(n + 1)},
                 core::failure_domain_id("d")});
        }
        declare(rate);
        entries_.resize(size);
        for (std::size_t n = 0; n < size; ++n) {
            restart(n);
        }
    }

    void declare(double rate)
    {
        auto out = std::make_shared<config::declarations>();
        auto& it = out->customers[shop];
        it.id = shop;
        it.rate = core::request_rate(rate);
        it.burst = burst_;
        declared_ = out;
        for (auto& each : entries_) {
            if (each.rules) {
                each.rules->set_declared(declared_);
            }
        }
    }

    void restart(std::size_t n)
    {
        auto& it = entries_[n];
        it.rules = std::make_unique<allowances>(
            records_[n], core::random_source(random_()), metrics_);
        it.rules->set_declared(declared_);
        it.rules->set_entries(now_, records_);
        it.is_suspended = false;
    }
    void set_suspended(std::size_t n, bool it) { entries_[n].is_suspended = it; }
    /// Entries of different groups can't reach each other. Group 0 reaches control.
    void set_group(std::size_t n, int group) { entries_[n].group = group; }
    /// Drops all messages between two entries.
    void cut(std::size_t a, std::size_t b) { cut_ = {{a, b}, {b, a}}; }
    std::vector<std::size_t> owners() const
    {
        std::vector<std::size_t> out;
        for (const auto& it : permit_owners(shop.str(), records_)) {
            out.push_back(it.http.port - 1U);
        }
        return out;
    }

    /// Sends `per_s` requests a second to random entries out of `to` for a time.
    void run(absl::Duration time, double per_s, const std::vector<std::size_t>& to)
    {
        const auto end = now_ + time;
        while (now_ < end) {
            now_ += step;
            due_ += per_s * absl::ToDoubleSeconds(step);
            for (; due_ >= 1; due_ -= 1) {
                send(to[random_() % to.size()]);
            }
            deliver();
            if ((now_ - absl::UnixEpoch()) % tick_interval < step) {
                tick();
            }
        }
    }

    std::size_t granted() const { return granted_at_.size(); }
    std::size_t count(outcome what) const
    {
        const auto it = outcomes_.find(what);
        return it == outcomes_.end() ? 0 : it->second;
    }
    absl::Duration longest_wait() const { return longest_wait_; }
    absl::Time now() const { return now_; }
    std::size_t messages() const { return messages_; }

    /// The largest number of requests that were granted in a window of 5 s.
    std::size_t most_in_window(absl::Time since = absl::InfinitePast()) const
    {
        std::size_t most = 0;
        auto first = std::lower_bound(granted_at_.begin(), granted_at_.end(), since);
        for (auto it = first; it != granted_at_.end(); ++it) {
            while (*it - *first >= window) {
                ++first;
            }
            most = std::max<std::size_t>(most, it - first + 1);
        }
        return most;
    }
    /// The limit of a window, with the tolerance of the requirement.
    double limit() const
    {
        return (rate_ * absl::ToDoubleSeconds(window) + burst_) * 1.1 + 20;
    }

private:
    struct simulated_entry
    {
        std::unique_ptr<allowances> rules;
        bool is_suspended = false;
        int group = 0;
        std::map<core::request_id, absl::Time> open;
    };
    struct message_on_its_way
    {
        std::size_t from = 0;
        std::size_t to = 0;
        control::message message;
    };

    void send(std::size_t to)
    {
        auto& it = entries_[to];
        last_id_ = last_id_.next();
        if (it.is_suspended) {
            return;
        }
        it.open[last_id_] = now_;
        it.rules->request(now_, last_id_, shop);
        collect(to);
    }

    void tick()
    {
        for (std::size_t n = 0; n < entries_.size(); ++n) {
            auto& it = entries_[n];
            if (!it.is_suspended) {
                if (it.group == 0) {
                    it.rules->set_confirmed(now_);
                }
                it.rules->tick(now_);
                collect(n);
            }
        }
    }

    void collect(std::size_t n)
    {
        auto& it = entries_[n];
        for (auto& each : it.rules->take_messages()) {
            ++messages_;
            const auto to = each.to.port - 1U;
            auto message = wire::decode_control_message(wire::encode(each.message));
            ASSERT_TRUE(message.has_value());
            if (entries_[to].group == it.group && !cut_.contains({n, to})) {
                const auto delay = absl::Milliseconds(1 + random_() % 3);
                on_their_way_.emplace(
                    now_ + delay, message_on_its_way{n, to, std::move(message).value()});
            }
        }
        for (const auto& each : it.rules->take_decisions()) {
            const auto since = it.open.at(each.id);
            it.open.erase(each.id);
            longest_wait_ = std::max(longest_wait_, now_ - since);
            ++outcomes_[each.what];
            if (each.what == outcome::granted) {
                granted_at_.push_back(now_);
            } else if (each.what == outcome::over_allowance) {
                EXPECT_GT(each.retry_after, absl::ZeroDuration());
            }
        }
    }

    void deliver()
    {
        while (!on_their_way_.empty() && on_their_way_.begin()->first <= now_) {
            const auto it = std::move(on_their_way_.begin()->second);
            on_their_way_.erase(on_their_way_.begin());
            auto& to = entries_[it.to];
            if (to.is_suspended) {
                // A suspended process reads its messages when it resumes.
                on_their_way_.emplace(now_ + absl::Milliseconds(50), it);
                continue;
            }
            const net::peer from{records_[it.from].id, records_[it.from].internal};
            if (const auto* each = std::get_if<control::permit_request>(&it.message)) {
                to.rules->receive(now_, from, *each);
            } else {
                to.rules->receive(
                    now_, from, std::get<control::permit_response>(it.message));
            }
            collect(it.to);
        }
    }

    const double rate_;
    const double burst_;
    core::random_source random_;
    telemetry::metrics metrics_;
    std::vector<control::entry_record> records_;
    std::shared_ptr<const config::declarations> declared_;
    std::vector<simulated_entry> entries_;
    std::multimap<absl::Time, message_on_its_way> on_their_way_;
    std::set<std::pair<std::size_t, std::size_t>> cut_;
    /// The clock of the processes counts nanoseconds, and messages carry microseconds.
    absl::Time now_ = absl::UnixEpoch() + absl::Seconds(1000) + absl::Nanoseconds(123);
    double due_ = 0;
    core::request_id last_id_;
    std::map<outcome, std::size_t> outcomes_;
    std::vector<absl::Time> granted_at_;
    absl::Duration longest_wait_;
    std::size_t messages_ = 0;
};

std::vector<std::size_t> first_entries(std::size_t count)
{
    std::vector<std::size_t> out(count);
    for (std::size_t n = 0; n < count; ++n) {
        out[n] = n;
    }
    return out;
}

// Guards against a customer below its rate that is refused, or waits long, because its
// requests come to other entries than the permits.
TEST(allowances, steady_load_below_the_rate_is_granted)
{
    for (const std::size_t spread : {1U, 6U, 94U}) {
        allowance_fleet fleet(94, 362, 362, spread);
        fleet.run(absl::Seconds(2), 0, {0});
        fleet.run(absl::Seconds(10), 226, first_entries(spread));
        EXPECT_EQ(fleet.count(outcome::over_allowance), 0U) << spread;
        EXPECT_EQ(fleet.count(outcome::unknown), 0U) << spread;
        EXPECT_LE(fleet.longest_wait(), absl::Milliseconds(10)) << spread;
    }
    allowance_fleet small(94, 2, 2, 1);
    small.run(absl::Seconds(10), 0, {0});
    small.run(absl::Seconds(60), 1.2, first_entries(94));
    EXPECT_EQ(small.count(outcome::over_allowance), 0U);
}

// Guards against a burst of 7.5 times the usual load that exceeds the limit of a window,
// leaves a part of the allowance unused, or keeps the owner busy with messages.
TEST(allowances, burst_uses_the_allowance_and_no_more)
{
    constexpr double rate = 362;
    constexpr double usual = rate / 1.6;
    for (const std::size_t spread : {1U, 6U, 94U}) {
        allowance_fleet fleet(94, rate, rate, spread + 1);
        fleet.run(absl::Seconds(5), usual, first_entries(spread));
        const auto before = fleet.granted();
        const auto messages = fleet.messages();
        fleet.run(absl::Seconds(10), 7.5 * usual, first_entries(spread));
        const auto allowed = rate * 10;
        EXPECT_GE(static_cast<double>(fleet.granted() - before), 0.95 * allowed)
            << spread;
        EXPECT_LE(static_cast<double>(fleet.most_in_window()), fleet.limit()) << spread;
        // Each entry is refused four times a second at most, and else gets a permit.
        constexpr std::size_t refusals = std::size_t{94} * 4 * 10;
        const auto asked = refusals + fleet.granted() - before;
        EXPECT_LE(fleet.messages() - messages, 2 * asked) << spread;
    }
    allowance_fleet small(94, 2, 2, 9);
    small.run(absl::Seconds(10), 0, {0});
    small.run(absl::Seconds(20), 9.4, first_entries(94));
    EXPECT_GE(static_cast<double>(small.granted()), 0.95 * 2 * 20);
    EXPECT_LE(static_cast<double>(small.most_in_window()), small.limit());
}

// Guards against owners that grant the rate several times over while instances fail:
// random suspensions, restarts of one and of all, and partitions, with 4.7 times the rate
// sent to all entries all the time.
TEST(allowances, window_limit_holds_under_failures)
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        core::random_source random(seed);
        const double rate = seed % 3 == 0 ? 20 : 200;
        const std::size_t size = seed % 2 == 0 ? 6 : 30;
        allowance_fleet fleet(size, rate, rate, seed);
        const auto everywhere = first_entries(size);
        for (int phase = 0; phase < 6; ++phase) {
            fleet.run(absl::Seconds(2 + random() % 4), rate * 4.7, everywhere);
            const auto owners = fleet.owners();
            const auto victim = owners[random() % owners.size()];
            switch (random() % 5) {
            case 0: // An owner is suspended.
                fleet.set_suspended(victim, true);
                fleet.run(
                    absl::Milliseconds(200 + random() % 3500), rate * 4.7, everywhere);
                fleet.set_suspended(victim, false);
                break;
            case 1: // An owner restarts after a while.
                fleet.set_suspended(victim, true);
                fleet.run(absl::Milliseconds(random() % 3500), rate * 4.7, everywhere);
                fleet.restart(victim);
                break;
            case 2: // All entries restart at once.
                for (const auto n : everywhere) {
                    fleet.restart(n);
                }
                break;
            case 3: // One owner is partitioned from all others and from control.
                fleet.set_group(victim, 1);
                fleet.run(absl::Seconds(1 + random() % 6), rate * 4.7, everywhere);
                fleet.set_group(victim, 0);
                break;
            default: // Some entries are, together with an owner.
                for (std::size_t n = 0; n < size / 3; ++n) {
                    fleet.set_group(n, 1);
                }
                fleet.set_group(victim, 1);
                fleet.run(absl::Seconds(1 + random() % 6), rate * 4.7, everywhere);
                for (const auto n : everywhere) {
                    fleet.set_group(n, 0);
                }
                break;
            }
        }
        EXPECT_LE(static_cast<double>(fleet.most_in_window()), fleet.limit())
            << "seed " << seed;
    }
}

// Guards against two owners that both grant the rate since they can't reach each other,
// while control and the third owner reach both.
TEST(allowances, window_limit_holds_if_two_owners_cannot_reach_each_other)
{
    for (const std::size_t size : {4U, 30U}) {
        allowance_fleet fleet(size, 100, 100, 1);
        const auto owners = fleet.owners();
        fleet.run(absl::Seconds(6), 470, first_entries(size));
        fleet.cut(owners[0], owners[1]);
        fleet.run(absl::Seconds(20), 470, first_entries(size));
        EXPECT_LE(static_cast<double>(fleet.most_in_window()), fleet.limit()) << size;
    }
}

// Guards against a customer that is refused for long because the owner of its permits is
// lost. Its successor grants 0.3 of the rate for 1.5 s.
TEST(allowances, other_owners_replace_a_lost_one)
{
    allowance_fleet fleet(94, 362, 362, 3);
    fleet.run(absl::Seconds(5), 226, first_entries(94));
    fleet.set_suspended(fleet.owners()[0], true);
    const auto before = fleet.granted();
    fleet.run(absl::Seconds(10), 226, first_entries(94));
    EXPECT_GE(static_cast<double>(fleet.granted() - before), 0.8 * 226 * 10);
    EXPECT_LE(fleet.longest_wait(), absl::Milliseconds(1030));
}

// Guards against a lower rate that takes effect late.
TEST(allowances, lower_rate_holds_one_window_later)
{
    allowance_fleet fleet(30, 200, 0, 5);
    fleet.run(absl::Seconds(6), 400, first_entries(30));
    fleet.declare(20);
    const auto changed = fleet.now();
    fleet.run(absl::Seconds(20), 400, first_entries(30));
    const auto most = fleet.most_in_window(changed + window);
    EXPECT_LE(static_cast<double>(most), 20 * 5 * 1.1 + 20);
    EXPECT_GE(static_cast<double>(most), 20 * 5 * 0.95);
}

/// One entry of a fleet, and the messages that it sends.
class one_entry : public ::testing::Test
{
protected:
    one_entry()
    {
        records.reserve(8);
        for (int n = 0; n < 8; ++n) {
            records.push_back(
                {core::instance_id(absl::StrCat("e", n)),
                 {"10.0.0.1", static_cast<std::uint16_t>(n + 1)},
                 {"10.0.0.2", static_cast<std::uint16_t>(n + 1)},
                 core::failure_domain_id("d")});
        }
        declare(100);
        self = std::make_unique<allowances>(records[0], core::random_source(1), metrics);
        self->set_declared(declared);
        self->set_entries(now, records);
    }

    void declare(std::optional<double> rate)
    {
        declared = std::make_shared<config::declarations>();
        for (int n = 0; n < 100; ++n) {
            const core::customer_id id{core::team_id("t"), absl::StrCat("c", n)};
            declared->customers[id].id = id;
            if (rate) {
                declared->customers[id].rate = core::request_rate(*rate);
            }
        }
    }
    std::vector<control::entry_record> owners(const core::customer_id& it) const
    {
        return permit_owners(it.str(), records);
    }
    bool owns(const core::customer_id& it) const
    {
        const auto all = owners(it);
        return std::find(all.begin(), all.end(), records[0]) != all.end();
    }
    /// Customers whose permits others grant, and that have the same first owner.
    std::vector<core::customer_id> customers_of_one_owner() const
    {
        std::vector<core::customer_id> out;
        for (const auto& [id, it] : declared->customers) {
            if (!owns(id) && (out.empty() || owners(id)[0] == owners(out[0])[0])) {
                out.push_back(id);
            }
        }
        return out;
    }
    void request(const core::customer_id& customer)
    {
        last_id = last_id.next();
        self->request(now, last_id, customer);
    }
    net::peer peer(std::size_t n) const { return {records[n].id, records[n].internal}; }

    std::vector<control::entry_record> records;
    std::shared_ptr<config::declarations> declared;
    telemetry::metrics metrics;
    std::unique_ptr<allowances> self;
    absl::Time now = absl::UnixEpoch() + absl::Seconds(1000);
    core::request_id last_id;
};

// Guards against an account without waiting requests that tick() reads the first waiting
// request of: the rate is removed while a request waits for an owner that is lost.
TEST_F(one_entry, rate_removed_while_a_request_waits)
{
    request(customers_of_one_owner()[0]);
    declare(std::nullopt);
    self->set_declared(declared);
    now += absl::Milliseconds(420);
    self->tick(now);
    const auto decided = self->take_decisions();
    ASSERT_EQ(decided.size(), 1U);
    EXPECT_EQ(decided[0].what, outcome::granted);
    EXPECT_TRUE(self->is_idle());
}

// Guards against customers of one lost owner of which only the first asks its next owner,
// as the requests of the others count as lost by owners that they weren't sent to.
TEST_F(one_entry, lost_owner_is_replaced_for_each_of_its_customers)
{
    const auto customers = customers_of_one_owner();
    ASSERT_GE(customers.size(), 5U);
    for (const auto& it : customers) {
        request(it);
    }
    self->take_messages();
    now += absl::Milliseconds(420);
    self->tick(now);
    std::size_t asked = 0;
    for (const auto& it : self->take_messages()) {
        const auto* message = std::get_if<control::permit_request>(&it.message);
        ASSERT_NE(message, nullptr);
        EXPECT_EQ(it.to, owners(*message->customer)[1].internal);
        ++asked;
    }
    EXPECT_EQ(asked, customers.size());
}

// Guards against the refusal of a new customer's requests as over its rate because the
// owner of its permits doesn't have the declarations yet.
TEST_F(one_entry, owner_without_the_declaration_does_not_refuse)
{
    control::permit_request it;
    it.customer = core::customer_id{core::team_id("t"), "new"};
    it.wanted = 1;
    it.sent = now;
    self->receive(now, peer(1), it);
    const auto sent = self->take_messages();
    ASSERT_EQ(sent.size(), 1U);
    const auto* response = std::get_if<control::permit_response>(&sent[0].message);
    ASSERT_NE(response, nullptr);
    EXPECT_TRUE(response->is_redirect);
}

// Guards against a customer below its rate that is refused because the owner has fewer
// permits than the entry wants in advance.
TEST(allowances, permits_in_advance_are_no_reason_to_refuse)
{
    for (const double burst : {0.0, 2.0}) {
        allowance_fleet fleet(6, 10, burst, 1);
        fleet.run(absl::Seconds(10), 8, {0});
        EXPECT_EQ(fleet.count(outcome::over_allowance), 0U) << burst;
        EXPECT_GE(fleet.granted(), 79U);
    }
}

} // namespace
} // namespace cuminpitch::entry
