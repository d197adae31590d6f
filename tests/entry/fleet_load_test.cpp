// Simulates the load of a large fleet whose entries were all started at the same time.
// The requests run at most once, so a request to a failing server is lost. The tests
// check how often entries detect the same failing server and how evenly the other servers
// are used.

#include "fixture.hpp"

#include "cuminpitch/control/declared_settings.hpp"
#include "cuminpitch/core/random.hpp"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace cuminpitch::entry {
namespace {

/// The entries and servers are split evenly between two failure domains.
constexpr std::size_t entries = 52;
constexpr std::uint32_t servers = 170;
constexpr std::uint32_t slots = 6;
constexpr std::uint16_t failing_port_divisor = 5;
constexpr absl::Duration network_delay = absl::Milliseconds(2);
constexpr absl::Duration mean_service_time = absl::Milliseconds(700);
constexpr absl::Duration tick_interval = absl::Milliseconds(20);

std::string domain_of(std::size_t index)
{
    return index % 2 == 0 ? "a" : "b";
}

control::entry_record record_of(std::size_t index)
{
    const auto at = absl::StrCat("10.0.1.", index);
    return {
        core::instance_id(absl::StrCat("entry-", index)),
        {at, 80},
        {at, 7000},
        core::failure_domain_id(domain_of(index))};
}

std::shared_ptr<const control::fleet_contents> make_fleet()
{
    const auto out = make_contents();
    for (std::size_t n = 0; n < entries; ++n) {
        out->entries[record_of(n).id] = {record_of(n), 1};
    }
    for (std::uint32_t n = 0; n < servers; ++n) {
        const core::endpoint at{
            n % 2 == 0 ? "10.0.2.1" : "10.0.2.2",
            static_cast<std::uint16_t>(1000 + n / 2)};
        add_server(*out, absl::StrCat("server-", n), at, domain_of(n), slots);
    }
    return out;
}

class fleet_load_test : public testing::Test
{
protected:
    fleet_load_test()
    {
        constexpr std::uint64_t started_us = 1'700'000'000'000'000;
        const auto contents = make_fleet();
        for (std::size_t n = 0; n < entries; ++n) {
            node_options options;
            options.self = record_of(n);
            options.incarnation = started_us;
            options.seed = start_seed(options.self.id, started_us);
            auto& it = fleet_.emplace_back(std::make_unique<node>(
                options, control::make_compile_function(), metrics_));
            it->handle(now_, full_state(contents));
            it->handle(now_, event::tick{});
        }
    }

    /// Sends `requests` requests in `time`, evenly spaced and to each entry in turn.
    void run_load(std::size_t requests, absl::Duration time)
    {
        const auto start = now_;
        for (std::size_t n = 0; n < requests; ++n) {
            advance(start + time * n / requests);
            send(n % entries);
        }
        advance(start + time);
    }

    void send(std::size_t entry) { handle(entry, make_request(++last_request_)); }

    bool servers_fail_ = false;
    std::map<core::endpoint, std::vector<absl::Time>> failures_by_server_;
    std::map<core::endpoint, std::uint32_t> requests_by_server_;
    std::size_t sent_to_full_ = 0;

private:
    struct arrival
    {
        std::size_t entry = 0;
        node_event what;
    };

    void advance(absl::Time until)
    {
        while (std::min(next_tick_, next_arrival()) <= until) {
            if (next_tick_ <= next_arrival()) {
                now_ = next_tick_;
                next_tick_ += tick_interval;
                for (std::size_t n = 0; n < entries; ++n) {
                    handle(n, event::tick{});
                }
            } else {
                auto first = arrivals_.extract(arrivals_.begin());
                now_ = first.key();
                handle(first.mapped().entry, std::move(first.mapped().what));
            }
        }
        now_ = until;
    }

    absl::Time next_arrival() const
    {
        return arrivals_.empty() ? absl::InfiniteFuture() : arrivals_.begin()->first;
    }

    void handle(std::size_t entry, node_event what)
    {
        for (auto& it : fleet_[entry]->handle(now_, std::move(what))) {
            if (auto* call = std::get_if<action::start_call>(&it)) {
                run(entry, *call);
            } else if (auto* sent = std::get_if<action::send_frame>(&it)) {
                deliver(entry, *sent);
            }
        }
    }

    void run(std::size_t entry, const action::start_call& call)
    {
        const auto& to = call.request.to;
        ++requests_by_server_[to];
        http::client_result result;
        if (servers_fail_ && to.port % failing_port_divisor == 0) {
            failures_by_server_[to].push_back(now_);
            result.verdict = core::verdict::may_have_run;
            result.failure = http::failure::reset;
            result.elapsed = 2 * network_delay;
        } else {
            result.verdict = core::verdict::ran;
            result.response.status = 200;
            result.elapsed = response_time(to);
        }
        const auto at = now_ + result.elapsed;
        arrivals_.emplace(
            at, arrival{entry, event::call_finished{call.call, std::move(result)}});
    }

    /// A server processes up to `slots` requests at a time and queues others in FIFO
    /// order.
    absl::Duration response_time(const core::endpoint& server)
    {
        auto& completions = completions_[server];
        std::erase_if(completions, [&](absl::Time it) { return it <= now_; });
        auto start = now_;
        if (completions.size() >= slots) {
            ++sent_to_full_;
            std::sort(completions.begin(), completions.end());
            start = completions[completions.size() - slots];
        }
        // The duration of a request is uniform between 0.5 and 1.5 times the mean.
        const double factor = 0.5 + static_cast<double>(random_() % 1000) / 1000;
        completions.push_back(start + factor * mean_service_time);
        return completions.back() - now_;
    }

    void deliver(std::size_t from, action::send_frame& sent)
    {
        for (std::size_t n = 0; n < entries; ++n) {
            const auto to = record_of(n);
            if (to.internal == sent.to) {
                const net::peer sender{record_of(from).id, record_of(from).internal};
                arrivals_.emplace(
                    now_ + network_delay,
                    arrival{n, event::frame_received{sender, std::move(sent.message)}});
                return;
            }
        }
    }

    telemetry::metrics metrics_;
    std::vector<std::unique_ptr<node>> fleet_;
    std::multimap<absl::Time, arrival> arrivals_;
    std::map<core::endpoint, std::vector<absl::Time>> completions_;
    core::random_source random_{1};
    absl::Time now_ = absl::FromUnixSeconds(1000);
    absl::Time next_tick_ = now_ + tick_interval;
    std::uint64_t last_request_ = 0;
};

// Guards against entries that each lose a request to the same failing server while they
// have handled only few requests.
TEST_F(fleet_load_test, failing_server_is_detected_once)
{
    servers_fail_ = true;
    run_load(620, absl::Seconds(1));
    ASSERT_FALSE(failures_by_server_.empty());
    // Time for the response to the failed request, the tick that sends the failure
    // report, the delivery of the report, and the tick that applies it.
    const auto report_delay = 3 * network_delay + 2 * tick_interval;
    std::size_t total = 0;
    for (const auto& [server, times] : failures_by_server_) {
        EXPECT_LE(times.back() - times.front(), report_delay) << server.str();
        total += times.size();
    }
    // During that time, 29 requests are sent to the 170 servers.
    EXPECT_LE(total, 2 * failures_by_server_.size());
}

// Guards against entries that choose the same servers in the same order because they were
// started at the same time, for example after a power failure.
TEST_F(fleet_load_test, entries_started_together_choose_differently)
{
    for (std::size_t n = 0; n < entries; ++n) {
        send(n);
    }
    // 26 entries choose among the 85 servers of their domain. The probability that five
    // of them choose the same server is 1 in 500.
    for (const auto& [server, count] : requests_by_server_) {
        EXPECT_LE(count, 4U) << server.str();
    }
}

// Guards against equal random choices in a small fleet, where all entries prefer the same
// servers.
TEST(start_seed, differs_between_entries_started_together)
{
    EXPECT_NE(
        start_seed(core::instance_id("entry-1"), 7),
        start_seed(core::instance_id("entry-2"), 7));
}

// Guards against entries that all send requests to the servers with the lowest reported
// occupancy until the next report, which would fill more servers than a random choice.
TEST_F(fleet_load_test, rarely_sends_to_a_full_server)
{
    constexpr std::size_t requests = 6200;
    run_load(requests, absl::Seconds(10));
    // With 2.6 of 6 slots in use, a randomly chosen server is full in 6 of 100 cases
    // (Erlang C).
    constexpr double random_choice_rate = 0.06;
    EXPECT_LT(static_cast<double>(sent_to_full_) / requests, random_choice_rate);
}

} // namespace
} // namespace cuminpitch::entry
