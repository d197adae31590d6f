#include "load_fixture.hpp"

#include <absl/strings/str_format.h>

#include <iostream>

namespace cuminpitch::request {
namespace {

/// 4 servers of 2 slots and 100 ms serve 80 requests/s.
constexpr double capacity = 80;
constexpr std::uint64_t seeds = 5;

/// The counts of each source, summed over all seeds.
std::vector<load_counts>
play(load_options options, const std::vector<load_source>& sources)
{
    std::vector<load_counts> out(sources.size());
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        options.seed = seed;
        const auto counts = load_run(options, sources).play();
        for (std::size_t i = 0; i < out.size(); ++i) {
            out[i].sent += counts[i].sent;
            out[i].served += counts[i].served;
            out[i].refused += counts[i].refused;
            out[i].unfinished += counts[i].unfinished;
            out[i].refused_at_deadline += counts[i].refused_at_deadline;
            out[i].longest_refusal =
                std::max(out[i].longest_refusal, counts[i].longest_refusal);
        }
    }
    for (std::size_t i = 0; i < out.size(); ++i) {
        std::cout << absl::StrFormat(
            "%-14s %-7s %-6s sent %5d served %.3f refused %5d unfinished %4d at deadline "
            "%4d longest refusal %d ms\n",
            options.is_ranked ? "ranked" : "arrival-order",
            sources[i].path,
            sources[i].caller,
            out[i].sent,
            out[i].share(),
            out[i].refused,
            out[i].unfinished,
            out[i].refused_at_deadline,
            absl::ToInt64Milliseconds(out[i].longest_refusal));
    }
    return out;
}

double share_of(const std::vector<load_counts>& counts)
{
    int sent = 0;
    int served = 0;
    for (const auto& it : counts) {
        sent += it.sent;
        served += it.served;
    }
    return static_cast<double>(served) / sent;
}

std::vector<load_source> two_priorities(double load)
{
    return {{"/read", "a", load * capacity / 2}, {"/order", "b", load * capacity / 2}};
}

load_options entry_queues(bool is_ranked)
{
    return {.is_ranked = is_ranked};
}

/// The entry may send more than the servers take, as with many entries.
load_options servers_reject(bool is_ranked)
{
    return {.is_ranked = is_ranked, .entry_slots = 100};
}

std::vector<load_source> ten_customers(double load_of_first)
{
    std::vector<load_source> out;
    for (int i = 0; i < 10; ++i) {
        const std::string path = i % 2 == 0 ? "/order" : "/read";
        out.push_back({path, "c" + std::to_string(i), 0.9 * capacity / 10});
    }
    out.front().per_second *= load_of_first;
    return out;
}

/// By how much a customer with 7.5 times its usual load lowers the share of the requests
/// of the others that are served.
double loss_of_others(const load_options& options)
{
    auto usual = play(options, ten_customers(1));
    auto heavy = play(options, ten_customers(7.5));
    usual.erase(usual.begin());
    heavy.erase(heavy.begin());
    return share_of(usual) - share_of(heavy);
}

// Guards against serving low priorities at the cost of high ones, and against starving
// them, when requests queue at the entry.
TEST(load_test, priority_at_1_6_times_the_slots_with_a_queue)
{
    const auto before = play(entry_queues(false), two_priorities(1.6));
    const auto after = play(entry_queues(true), two_priorities(1.6));
    EXPECT_GT(after[0].share(), 0.95);
    EXPECT_GT(after[0].share(), before[0].share() + 0.3);
    EXPECT_GE(after[1].share(), share_of(after) / 4);
    EXPECT_GT(share_of(after), share_of(before) - 0.02);
}

// The same when the servers reject what is too much.
TEST(load_test, priority_at_1_6_times_the_slots_with_rejections)
{
    const auto before = play(servers_reject(false), two_priorities(1.6));
    const auto after = play(servers_reject(true), two_priorities(1.6));
    EXPECT_GT(after[0].share(), before[0].share() + 0.2);
    EXPECT_GE(after[1].share(), share_of(after) / 4);
    EXPECT_GT(share_of(after), share_of(before) - 0.02);
}

// Guards against a floor that doesn't follow the load.
TEST(load_test, no_priority_is_starved_at_5_times_the_slots)
{
    for (const bool has_queue : {false, true}) {
        const auto options = has_queue ? entry_queues(true) : servers_reject(true);
        for (const double low : {0.5, 0.9}) {
            const auto out = play(
                options,
                {{"/read", "a", (1 - low) * 5 * capacity},
                 {"/order", "b", low * 5 * capacity}});
            EXPECT_GT(out[0].share(), out[1].share() - 0.05);
            EXPECT_GE(out[1].share(), share_of(out) / 4);
        }
    }
}

// Guards against refusals without an overload, and in a pool with a single priority.
TEST(load_test, changes_nothing_without_overload_or_priorities)
{
    EXPECT_EQ(share_of(play(entry_queues(true), two_priorities(0.8))), 1);
    const std::vector<load_source> single = {
        {"/order", "a", capacity}, {"/order", "b", 0.6 * capacity}};
    const auto before = play(servers_reject(false), single);
    const auto after = play(servers_reject(true), single);
    EXPECT_EQ(after[0].served, before[0].served);
    EXPECT_EQ(after[1].served, before[1].served);
}

// Guards against a customer that takes the servers from the others. Where the servers
// reject, the rejections that remain hit all customers, so the loss is smaller than
// without priorities but not gone.
TEST(load_test, customer_at_7_5_times_its_usual_load)
{
    EXPECT_LT(loss_of_others(entry_queues(true)), 0.02);
    EXPECT_LT(loss_of_others(servers_reject(true)), 0.08);
    EXPECT_GT(loss_of_others(servers_reject(false)), 0.25);
}

// Guards against requests that wait for their whole deadline while the servers hang.
TEST(load_test, nothing_waits_until_its_deadline_while_servers_hang)
{
    auto options = entry_queues(true);
    options.hang_after = absl::Seconds(15);
    for (const auto& it : play(options, two_priorities(0.9))) {
        EXPECT_EQ(it.refused_at_deadline, 0);
    }
}

} // namespace
} // namespace cuminpitch::request
