#include "cuminpitch/core/endpoint.hpp"

#include <gtest/gtest.h>

namespace cuminpitch::core {
namespace {

TEST(endpoint, reads_address_and_port)
{
    const auto it = parse_endpoint("127.0.0.1:8080");
    ASSERT_TRUE(it.has_value());
    EXPECT_EQ(it->host, "127.0.0.1");
    EXPECT_EQ(it->port, 8080);
    EXPECT_EQ(it->str(), "127.0.0.1:8080");
}

// Guards against host names and invalid ports that would only fail when connecting.
TEST(endpoint, rejects_names_and_bad_ports)
{
    for (const char* text :
         {"", "localhost:80", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:70000", "1.2.3:4"}) {
        EXPECT_FALSE(parse_endpoint(text).has_value()) << text;
    }
}

// Guards against an address that is parsed only up to a zero byte and therefore compares
// unequal to the same address later.
TEST(endpoint, rejects_zero_bytes)
{
    EXPECT_FALSE(parse_endpoint(std::string("127.0.0.1\0x:80", 14)).has_value());
}

} // namespace
} // namespace cuminpitch::core
