#include "cuminpitch/consensus/memory_storage.hpp"
#include "cuminpitch/consensus/replica.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace cuminpitch::consensus {
namespace {

/// Tests voter "a" of the group a, b, c. The test sends the messages of the other voters.
class follower : public testing::Test
{
protected:
    void start(std::vector<entry> log = {})
    {
        members = member_set({{member_id("a")}, {member_id("b")}, {member_id("c")}});
        ASSERT_TRUE(form_group(storage, members));
        ASSERT_TRUE(storage.write(write_entries{std::move(log)}));
        ASSERT_TRUE(storage.sync());
        restart();
    }
    void restart()
    {
        voter = replica::make(
            {}, member_id("a"), storage.load().value(), core::random_source(1), now);
        ASSERT_TRUE(voter);
        execute_all();
    }
    std::vector<message> execute_all()
    {
        std::vector<message> sent;
        for (const auto& what : voter->take_actions()) {
            EXPECT_TRUE(execute(storage, what));
            if (const auto* out = std::get_if<send_message>(&what)) {
                sent.push_back(out->message.message);
            }
        }
        return sent;
    }
    std::vector<message> receive(const char* from, message what)
    {
        const envelope wrapped{
            group_of(members), member_id(from), member_id("a"), std::move(what)};
        voter->receive(now, {"127.0.0.1", 1}, wrapped);
        return execute_all();
    }
    bool votes_for(const char* candidate)
    {
        const auto sent = receive(
            candidate, vote_request{core::term(5), core::log_index(9), core::term(4)});
        return std::get<vote_response>(sent.at(0)).granted;
    }

    member_set members;
    memory_storage storage;
    std::unique_ptr<replica> voter;
    absl::Time now = absl::UnixEpoch();
};

// Guards against a replica that votes for two candidates in one term, also if it restarts
// in between.
TEST_F(follower, votes_once_a_term)
{
    start();
    EXPECT_TRUE(votes_for("b"));
    EXPECT_FALSE(votes_for("c"));
    restart();
    EXPECT_FALSE(votes_for("c"));
    EXPECT_TRUE(votes_for("b")); // The first response may have been lost.
}

// Guards against entries that stay in the log although a received snapshot conflicts with
// them.
TEST_F(follower, snapshot_drops_a_conflicting_log)
{
    const core::term old(1);
    start(
        {{core::log_index(2), old, command{"x"}},
         {core::log_index(3), old, command{"x"}},
         {core::log_index(4), old, command{"x"}}});
    snapshot_request part;
    part.term = core::term(2);
    part.info = {core::log_index(3), core::term(2), members};
    part.total = 1;
    part.bytes = "s";
    const auto sent = receive("b", part);
    EXPECT_EQ(std::get<append_response>(sent.at(0)).match, core::log_index(3));
    EXPECT_EQ(voter->last_index(), core::log_index(3));
    EXPECT_TRUE(storage.load().value().entries.empty());
}

// Guards against a member set that stays in effect after its entry was replaced in the
// log.
TEST_F(follower, replaced_member_change_is_undone)
{
    const member_set smaller({{member_id("a")}, {member_id("b")}});
    start({{core::log_index(2), core::term(1), smaller}});
    EXPECT_EQ(voter->members(), smaller);
    append_request request;
    request.term = core::term(2);
    request.previous_index = core::log_index(1);
    request.previous_term = core::term(1);
    request.entries = {{core::log_index(2), core::term(2), command{"x"}}};
    receive("b", request);
    EXPECT_EQ(voter->members(), members);
}

// Guards against handling a message of another group, or one for the identity that a
// replaced disk had.
TEST_F(follower, drops_messages_for_others)
{
    start();
    const message ask = vote_request{core::term(5), core::log_index(9), core::term(4)};
    voter->receive(now, {}, {group_id(1), member_id("b"), member_id("a"), ask});
    voter->receive(now, {}, {group_of(members), member_id("b"), member_id("old"), ask});
    EXPECT_THAT(voter->take_actions(), testing::IsEmpty());
}

} // namespace
} // namespace cuminpitch::consensus
