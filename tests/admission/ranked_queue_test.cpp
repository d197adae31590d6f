#include "admission/ranked_queue_priv.hpp"

#include <gtest/gtest.h>

#include <map>

namespace cuminpitch::admission {
namespace {

const core::caller_id a("a");
const core::caller_id b("b");

class ranked_queue_test : public testing::Test
{
protected:
    void push(std::uint32_t rank, const core::caller_id& caller, int n)
    {
        for (int i = 0; i < n; ++i) {
            last = last.next();
            queue.push_back(rank, caller, last);
        }
    }
    std::uint32_t take()
    {
        const auto any = [](const auto&, auto) { return true; };
        const auto out = queue.take(any, any);
        return out ? out->rank : 99;
    }

    ranked_queue queue;
    core::request_id last;
};

// Guards against low priorities that are served before higher ones, and against starving
// them.
TEST_F(ranked_queue_test, takes_by_rank_with_a_floor_for_each)
{
    push(0, a, 60);
    push(3, a, 20);
    push(9, b, 20);
    queue.set_share(3, 0.25);
    std::map<std::uint32_t, int> taken;
    int since_lowest = 0;
    for (int i = 0; i < 48; ++i) {
        const auto rank = take();
        ++taken[rank];
        since_lowest = rank == 9 ? 0 : since_lowest + 1;
        EXPECT_LT(since_lowest, 8);
    }
    // Floors: 1/8 for the lowest rank, 0.3 of its share of the requests for the other.
    EXPECT_EQ(taken[9], 6);
    EXPECT_EQ(taken[3], 3);
    EXPECT_EQ(taken[0], 39);
}

// Guards against floors that take the turns of the highest priority, and against a floor
// that is too low for a priority with most of the requests.
TEST_F(ranked_queue_test, floors_follow_the_share_of_requests)
{
    for (std::uint32_t rank = 0; rank < 10; ++rank) {
        push(rank, a, 100);
        queue.set_share(rank, rank == 9 ? 0.8 : 0.02);
    }
    std::map<std::uint32_t, int> taken;
    for (int i = 0; i < 100; ++i) {
        ++taken[take()];
    }
    EXPECT_GE(taken[0], 70);
    EXPECT_GE(taken[9], 20); // A quarter of its share.
}

// Guards against a wait that counts requests of a lower priority, or that leaves out the
// turns which these get.
TEST_F(ranked_queue_test, place_counts_what_leaves_before)
{
    push(0, a, 14);
    push(5, b, 100);
    EXPECT_DOUBLE_EQ(queue.place(0, 1), 1 + 1 / 7.0);
    EXPECT_DOUBLE_EQ(queue.place(0, 15), 15 + 15 / 7.0);
    EXPECT_EQ(queue.place(5, 1), 8);
    EXPECT_EQ(queue.place(5, 10), 24);
    EXPECT_EQ(queue.place(5, 10, 14), 10);
    push(0, a, 1);
    for (int i = 0; i < 8; ++i) {
        take();
    }
    EXPECT_EQ(queue.size(5), 99U);
}

// Guards against an order of in_order() that differs from that of take().
TEST_F(ranked_queue_test, order_is_that_of_take)
{
    push(1, a, 3);
    push(1, b, 1);
    const auto order = queue.in_order(1);
    const auto drained = queue.drain();
    EXPECT_TRUE(std::equal(order.begin(), order.end(), drained.begin(), drained.end()));
    EXPECT_EQ(order[1], last); // The only one of the other caller.
    EXPECT_EQ(queue.size(), 0U);
}

} // namespace
} // namespace cuminpitch::admission
