#include "sample.hpp"

#include "cuminpitch/control/view_replica.hpp"

#include <gtest/gtest.h>

namespace cuminpitch::control {
namespace {

change make_document(std::uint64_t number, std::uint64_t base, const std::string& value)
{
    auto it = set_change("document-" + std::to_string(number), base, "teams/t/x", value);
    it.document = document{number, "source " + std::to_string(number)};
    return it;
}

// Guards against an older document that arrives late and is applied.
TEST(document, highest_number_wins)
{
    fleet_state state(compile_sample);
    EXPECT_EQ(state.apply(rev(1), make_document(7, 0, "7")), outcome(applied{rev(1)}));
    EXPECT_EQ(state.apply(rev(2), make_document(5, 1, "5")), outcome(ignored{}));
    EXPECT_EQ(state.contents().settings.at("teams/t/x"), "7");
    EXPECT_EQ(state.contents().document.source, "source 7");
}

// Guards against applying different content under the number of the current document.
TEST(document, same_number_changes_nothing)
{
    fleet_state state(compile_sample);
    state.apply(rev(1), make_document(7, 0, "7"));
    auto other = make_document(7, 1, "other");
    other.id = core::change_id("other");
    EXPECT_EQ(state.apply(rev(2), other), outcome(ignored{}));
    EXPECT_EQ(state.contents().settings.at("teams/t/x"), "7");
}

// Guards against an invalid document that is stored, or that blocks a valid one with the
// same number.
TEST(document, invalid_document_changes_nothing)
{
    fleet_state state(compile_sample);
    state.apply(rev(1), make_document(7, 0, "7"));
    auto bad = make_document(8, 1, "bad");
    bad.id = core::change_id("bad");
    EXPECT_TRUE(std::holds_alternative<invalid>(state.apply(rev(2), bad)));
    EXPECT_EQ(state.contents().document.number, 7U);
    EXPECT_EQ(state.apply(rev(3), make_document(8, 1, "8")), outcome(applied{rev(3)}));
    EXPECT_EQ(state.contents().document.number, 8U);
}

// Guards against losing a document that doesn't change any setting.
TEST(document, without_operations_updates_the_number)
{
    fleet_state state(compile_sample);
    state.apply(rev(1), make_document(7, 0, "7"));
    change empty;
    empty.id = core::change_id("empty");
    empty.base_revision = rev(1);
    empty.document = document{9, "source 9"};
    EXPECT_EQ(state.apply(rev(2), empty), outcome(applied{rev(2)}));
    EXPECT_EQ(state.contents().document.number, 9U);
}

// Guards against snapshots without the document or the servers, and against sending the
// source of documents to entries.
TEST(document, is_in_snapshots_and_only_its_number_at_entries)
{
    fleet_state state(compile_sample);
    state.apply(rev(1), make_document(7, 0, "7"));
    server_record server;
    server.pool = pool_a;
    server.announcement.server = core::server_id("s");
    server.announcement.address = {"10.0.0.1", 80};
    state.apply(rev(2), server_announced{server});

    fleet_state other(compile_sample);
    ASSERT_TRUE(other.restore(state.snapshot()).has_value());
    EXPECT_EQ(other.contents(), state.contents());

    view_replica by_delta(compile_sample);
    ASSERT_TRUE(by_delta.apply(state.update_for(rev(0))));
    view_replica by_contents(compile_sample);
    ASSERT_TRUE(by_contents.apply(other.update_for(rev(0))));
    for (const auto* it : {&by_delta, &by_contents}) {
        EXPECT_EQ(it->view()->document_number, 7U);
        EXPECT_EQ(it->contents()->document.source, "");
        ASSERT_EQ(it->view()->servers->at(pool_a).size(), 1U);
    }
}

// Guards against rebuilding the servers of the view for each change of settings.
TEST(document, settings_change_reuses_the_servers_of_the_view)
{
    fleet_state state(compile_sample);
    view_replica replica(compile_sample);
    server_record server;
    server.pool = pool_a;
    server.announcement.server = core::server_id("s");
    state.apply(rev(1), server_announced{server});
    replica.apply(state.update_for(rev(0)));
    const auto before = replica.view()->servers;
    state.apply(rev(2), make_document(7, 1, "7"));
    replica.apply(state.update_for(rev(1)));
    EXPECT_EQ(replica.view()->servers, before);
    server.announcement.state = upstream::availability::gone;
    state.apply(rev(3), server_announced{server});
    replica.apply(state.update_for(rev(2)));
    EXPECT_FALSE(replica.view()->servers->contains(pool_a));
}

} // namespace
} // namespace cuminpitch::control
