#include "entry/failure_relay_priv.hpp"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

#include <map>

namespace cuminpitch::entry {
namespace {

const core::pool_id pool{core::team_id("t"), "p"};
const core::failure_domain_id own("a");
const core::failure_domain_id other("b");

control::entry_record
make_entry(const std::string& id, const core::failure_domain_id& domain)
{
    return {core::instance_id(id), {"10.0.0.1", 80}, {"10.0.0.1", 7000}, domain};
}

control::pool_evidence failures_of(const std::string& server, std::uint32_t count)
{
    control::pool_evidence it;
    it.pool = pool;
    it.failures.push_back({core::server_id(server), count});
    return it;
}

class failure_relay_test : public testing::Test
{
protected:
    failure_relay relay{make_entry("self", own)};
    absl::Time now = absl::FromUnixSeconds(1000);
};

// Guards against a number of messages that grows with the square of the number of
// entries, and against a single entry that relays all failures for its domain.
TEST_F(failure_relay_test, chooses_one_entry_in_each_other_domain)
{
    absl::btree_map<core::instance_id, control::entry_record> entries;
    for (const auto* domain : {"a", "b", "c"}) {
        for (int n = 0; n < 20; ++n) {
            const auto it =
                make_entry(absl::StrCat(domain, "-", n), core::failure_domain_id(domain));
            entries[it.id] = it;
        }
    }
    std::map<core::instance_id, int> chosen;
    for (const auto& [id, record] : entries) {
        const auto relay_targets = failure_relay(record).relay_targets(entries);
        EXPECT_EQ(relay_targets.size(), 2U);
        for (const auto& it : relay_targets) {
            EXPECT_NE(entries.at(it).failure_domain, record.failure_domain);
            ++chosen[it];
        }
    }
    for (const auto& [id, count] : chosen) {
        // 40 entries of other domains, spread over a few relays.
        EXPECT_LT(count, 20) << id.str();
    }
}

// Guards against requests to servers in another domain that entries of a third domain
// have just found failing.
TEST_F(failure_relay_test, relays_failures_from_another_domain)
{
    relay.collect(other, failures_of("s1", 2), {});
    const auto relayed = relay.take_due(now);
    ASSERT_EQ(relayed.size(), 1U);
    EXPECT_EQ(relayed[0], failures_of("s1", 2));
    EXPECT_TRUE(relay.take_due(now + absl::Seconds(1)).empty());
}

// Guards against entries of a third domain that avoid a server which has recovered.
TEST_F(failure_relay_test, relays_successes_from_another_domain)
{
    control::pool_evidence it;
    it.pool = pool;
    it.successes.push_back({core::server_id("s1"), 1});
    relay.collect(other, it, {});
    const auto relayed = relay.take_due(now);
    ASSERT_EQ(relayed.size(), 1U);
    EXPECT_EQ(relayed[0], it);
}

// Guards against failures that are counted twice, as each one raises the suspicion.
TEST_F(failure_relay_test, omits_failures_that_all_entries_receive_directly)
{
    const auto it = failures_of("s1", 1);
    relay.collect(other, it, it);
    EXPECT_TRUE(relay.take_due(now).empty());
}

// Guards against failures that circulate between the entries of a domain.
TEST_F(failure_relay_test, relays_no_failures_from_its_own_domain)
{
    relay.collect(own, failures_of("s1", 1), {});
    EXPECT_TRUE(relay.take_due(now).empty());
}

// Guards against a separate message for each failure in a large fleet.
TEST_F(failure_relay_test, combines_failures_within_an_interval)
{
    relay.collect(other, failures_of("s1", 1), {});
    EXPECT_EQ(relay.take_due(now).size(), 1U);
    relay.collect(other, failures_of("s1", 1), {});
    relay.collect(other, failures_of("s1", 1), {});
    EXPECT_TRUE(relay.take_due(now + absl::Milliseconds(50)).empty());
    const auto relayed = relay.take_due(now + absl::Milliseconds(100));
    ASSERT_EQ(relayed.size(), 1U);
    EXPECT_EQ(relayed[0], failures_of("s1", 2));
}

} // namespace
} // namespace cuminpitch::entry
