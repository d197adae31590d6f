#include "request/fixture.hpp"

namespace cuminpitch::request {
namespace {

/// Requests for /read have a higher priority than those for /order.
class ranked_refusal : public dispatcher_test
{
protected:
    void start(bool is_ranked)
    {
        declared->routes.at({pool_p.team, "order"}).priority = 9;
        declared->pools.at(pool_p).queue_limit = 8;
        restart({.is_ranked = is_ranked});
        serve(pool_p, 2, 4);
        for (int i = 0; i < 8; ++i) {
            now += absl::Milliseconds(100);
            const auto it = only<start_attempt>(arrive("/order"));
            auto result = complete();
            result.elapsed = absl::Milliseconds(100);
            finish(it.send.attempt, result);
        }
    }
    std::vector<action> with_deadline(const std::string& path, int ms)
    {
        return arrive(
            path, make_headers({{"Cuminpitch-Deadline-Ms", std::to_string(ms)}}));
    }
    /// Fills all slots, and then the queue with requests that have 1 s.
    void fill()
    {
        for (int i = 0; i < 16; ++i) {
            EXPECT_TRUE(all<refuse>(with_deadline("/order", 1000)).empty());
        }
    }
    /// Time until `n` requests are refused after most of the servers are gone.
    absl::Duration time_to_refuse(std::size_t n)
    {
        fill();
        const auto begin = now;
        auto refused = all<refuse>(serve(pool_p, 1, 1));
        while (refused.size() < n && now - begin < absl::Seconds(2)) {
            for (const auto& it : all<refuse>(advance(absl::Milliseconds(20)))) {
                refused.push_back(it);
            }
        }
        for (const auto& it : refused) {
            EXPECT_EQ(it.verdict, core::verdict::not_run);
            EXPECT_TRUE(it.response.headers.has("Retry-After"));
        }
        return now - begin;
    }
};

// Guards against requests that wait for a capacity that is gone. With one slot of 100 ms
// and 1 s, of which the last 200 ms are needed, 8 requests are too many.
TEST_F(ranked_refusal, waits_are_predicted_again)
{
    start(true);
    EXPECT_LE(time_to_refuse(1), absl::Milliseconds(50));
    EXPECT_EQ(
        counters.counter(
            "cuminpitch_admission_refusals_total",
            {{"pool", "a/p"}, {"priority", "7"}, {"reason", "expected-wait"}}),
        1U);
    start(false);
    EXPECT_GE(time_to_refuse(1), absl::Milliseconds(900));
}

// Guards against a full queue of low priority that keeps out requests of a higher one.
TEST_F(ranked_refusal, full_queue_refuses_its_newest_of_the_lowest_priority)
{
    start(true);
    fill();
    const auto newest = last;
    const auto out = only<refuse>(with_deadline("/read", 1000));
    EXPECT_EQ(out.request, newest);
    EXPECT_EQ(out.reason, refusal_reason::queue_full);
    EXPECT_EQ(out.verdict, core::verdict::not_run);
    EXPECT_EQ(only<refuse>(with_deadline("/order", 1000)).request, last);
}

} // namespace
} // namespace cuminpitch::request
