#include "daemon/body_limits_priv.hpp"

#include <gtest/gtest.h>

namespace cuminpitch::daemon {
namespace {

constexpr std::uint64_t mb = 1U << 20U;

// Guards against a process that is killed because buffered bodies use up its memory: a
// body takes up to twice its size while its buffer grows, and a request body is copied
// once more.
TEST(body_limits, leave_memory_for_the_process)
{
    for (const std::uint32_t memory_mb : {160U, 256U, 260U, 4096U}) {
        const auto it = body_limits_for(memory_mb);
        EXPECT_LE(3 * it.requests + 2 * it.responses, memory_mb * mb * 4 / 5);
        EXPECT_GE(it.requests, memory_mb * mb / 10);
        EXPECT_GE(it.responses, memory_mb * mb / 20);
    }
}

// Guards against a process that buffers nothing because it has no memory setting.
TEST(body_limits, have_defaults)
{
    EXPECT_EQ(body_limits_for(0).requests, http::server_options().max_held_bytes);
    EXPECT_EQ(
        body_limits_for(0).responses, http::client_options().max_held_response_bytes);
}

} // namespace
} // namespace cuminpitch::daemon
