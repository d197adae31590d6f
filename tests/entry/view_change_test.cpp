// After each change of the fleet state, requests must be routed by the new state,
// although an entry updates only the pools that a change affects.

#include "cuminpitch/control/declared_settings.hpp"
#include "cuminpitch/entry/node.hpp"
#include "cuminpitch/wire/control_codec.hpp"
#include "cuminpitch/wire/pool_codec.hpp"

#include <absl/strings/str_format.h>
#include <gtest/gtest.h>

namespace cuminpitch::entry {
namespace {

control::entry_record entry_at(const std::string& id, std::uint16_t port)
{
    return {
        core::instance_id(id),
        {"127.0.0.1", port},
        {"127.0.0.1", static_cast<std::uint16_t>(port + 1000)},
        core::failure_domain_id("d")};
}

const core::pool_id pool{core::team_id("t"), "p"};

/// Entry "self" does not serve pool t/p, which is assigned to entry "a". There is also an
/// entry "b".
class view_change_test : public testing::Test
{
protected:
    view_change_test()
    {
        node_options options;
        options.self = entry_at("self", 100);
        options.incarnation = incarnation;
        node_ =
            std::make_unique<node>(options, control::make_compile_function(), metrics_);
        auto contents = std::make_shared<control::fleet_contents>();
        contents->revision = core::revision(1);
        contents->settings = {
            {"teams/t/pools/p/entries", "1"},
            {"teams/t/routes/r/host", "\"h\""},
            {"teams/t/routes/r/path_prefix", "\"/\""},
            {"teams/t/routes/r/pool", "\"p\""},
            {"teams/t/routes/r/idempotent", "true"}};
        for (const auto& it :
             {entry_at("self", 100), entry_at("a", 101), entry_at("b", 102)}) {
            contents->entries[it.id] = {it, 1};
        }
        contents->assignments[pool] = {core::revision(1), {core::instance_id("a")}};
        receive_update(std::shared_ptr<const control::fleet_contents>(contents));
    }

    void receive_update(const control::update& update)
    {
        const auto revision = core::revision(++revision_);
        receive(control::sync_response{update, revision, {}, true});
    }
    void change(const control::command& command)
    {
        const core::revision base(revision_);
        receive_update(control::delta{base, base.next(), {{base.next(), command}}});
    }

    /// Sends a tick, which refreshes the state that depends on time. Other events refresh
    /// it only if the last refresh is more than 40 ms ago.
    void tick() { node_->handle(now_, event::tick{}); }
    void advance(absl::Duration time) { now_ += time; }

    void announce(const std::string& server, std::uint16_t port)
    {
        auto message = std::make_shared<http::request>();
        message->method = "POST";
        message->target = message->path = "/.cuminpitch/v1/announce";
        message->body = absl::StrFormat(
            R"({"team":"t","pool":"p","server":"%s","incarnation":1,"sequence":1,)"
            R"("state":"active","address":"127.0.0.1:%d","slots":4,"echo":%d})",
            server,
            port,
            absl::ToUnixMicros(now_));
        node_->handle(now_, event::http_request{core::request_id(++id_), message});
    }

    /// Delivers a heartbeat of entry "a" that relays the announcement of a server.
    void receive_relayed(const std::string& server, std::uint16_t port)
    {
        health::pool_heartbeat it;
        it.pool = pool;
        it.incarnation = 1;
        it.clock = now_;
        it.echo = now_;
        it.echo_incarnation = incarnation;
        upstream::relayed_announcement relayed;
        relayed.it.server = core::server_id(server);
        relayed.it.incarnation = 1;
        relayed.it.sequence = 1;
        relayed.it.address = {"127.0.0.1", port};
        relayed.it.slots = 4;
        it.announcements.push_back(relayed);
        node_->handle(
            now_,
            event::frame_received{
                {core::instance_id("a"), entry_at("a", 101).internal},
                {net::channel::pool, wire::encode(it)}});
    }

    /// Port to which the entry sends a request, or 0 if it sends none.
    std::uint16_t port_of_request()
    {
        auto message = std::make_shared<http::request>();
        message->method = "GET";
        message->target = message->path = "/x";
        message->headers.add("Host", "h");
        for (const auto& it :
             node_->handle(now_, event::http_request{core::request_id(++id_), message})) {
            if (const auto* call = std::get_if<action::start_call>(&it)) {
                return call->request.to.port;
            }
        }
        return 0;
    }

private:
    static constexpr std::uint64_t incarnation = 7;

    void receive(const control::message& message)
    {
        node_->handle(
            now_,
            event::frame_received{
                {core::instance_id("control"), {"127.0.0.1", 1}},
                {net::channel::control, wire::encode(message)}});
    }

    telemetry::metrics metrics_;
    std::unique_ptr<node> node_;
    absl::Time now_ = absl::FromUnixSeconds(1000);
    std::uint64_t revision_ = 0;
    std::uint64_t id_ = 0;
};

TEST_F(view_change_test, forwards_to_the_new_assignment)
{
    EXPECT_EQ(port_of_request(), 101);
    change(control::set_assignment{pool, {core::instance_id("b")}, {}, true});
    EXPECT_EQ(port_of_request(), 102);
}

TEST_F(view_change_test, forwards_to_the_new_address_of_an_entry)
{
    change(control::entry_joined{entry_at("a", 111), 2});
    EXPECT_EQ(port_of_request(), 111);
}

TEST_F(view_change_test, stops_forwarding_when_it_serves_the_pool_itself)
{
    change(control::set_assignment{pool, {core::instance_id("self")}, {}, true});
    EXPECT_EQ(port_of_request(), 0);
    change(control::set_assignment{pool, {core::instance_id("b")}, {}, true});
    EXPECT_EQ(port_of_request(), 102);
}

// Guards against a request that is refused although a server has announced itself since
// the last tick.
TEST_F(view_change_test, first_server_is_used_immediately)
{
    change(control::set_assignment{pool, {core::instance_id("self")}, {}, true});
    tick();
    EXPECT_EQ(port_of_request(), 0);
    advance(absl::Milliseconds(10));
    announce("s1", 201);
    EXPECT_EQ(port_of_request(), 201);
}

TEST_F(view_change_test, first_relayed_server_is_used_immediately)
{
    change(control::set_assignment{
        pool, {core::instance_id("a"), core::instance_id("self")}, {}, true});
    tick();
    EXPECT_EQ(port_of_request(), 0);
    advance(absl::Milliseconds(10));
    receive_relayed("s1", 201);
    EXPECT_EQ(port_of_request(), 201);
}

TEST_F(view_change_test, refuses_requests_of_a_deleted_pool)
{
    change(control::change{
        core::change_id("c"),
        core::revision(1),
        {{"teams/t/routes", std::nullopt}, {"teams/t/pools/p", std::nullopt}},
        1});
    EXPECT_EQ(port_of_request(), 0);
}

} // namespace
} // namespace cuminpitch::entry
