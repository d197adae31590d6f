#include "cuminpitch/control/declared_settings.hpp"
#include "cuminpitch/entry/node.hpp"
#include "cuminpitch/wire/control_codec.hpp"

#include <gtest/gtest.h>

namespace cuminpitch::entry {
namespace {

const core::pool_id pool{core::team_id("t"), "p"};
const core::endpoint well{"10.0.0.1", 80};
const core::endpoint failing{"10.0.0.2", 80};
const net::peer other{core::instance_id("other"), {"10.0.0.9", 7000}};

control::server_record make_server(const std::string& id, const core::endpoint& at)
{
    control::server_record it;
    it.pool = pool;
    it.announcement.server = core::server_id(id);
    it.announcement.address = at;
    it.announcement.failure_domain = core::failure_domain_id("d");
    it.announcement.slots = 4;
    return it;
}

/// An entry that serves t/p with two servers.
class told_failures_test : public testing::TestWithParam<std::uint64_t>
{
protected:
    told_failures_test()
    {
        node_options options;
        options.self = {
            core::instance_id("self"),
            {"10.0.0.8", 80},
            {"10.0.0.8", 7000},
            core::failure_domain_id("d")};
        options.seed = GetParam();
        entry =
            std::make_unique<node>(options, control::make_compile_function(), metrics);
        auto contents = std::make_shared<control::fleet_contents>();
        contents->revision = core::revision(1);
        contents->settings = {
            {"teams/t/pools/p/every_entry", "true"},
            {"teams/t/routes/r/host", "\"h\""},
            {"teams/t/routes/r/path_prefix", "\"/\""},
            {"teams/t/routes/r/pool", "\"p\""},
            {"teams/t/routes/r/idempotent", "false"}};
        for (const auto& it :
             {make_server("well", well), make_server("failing", failing)}) {
            contents->servers[it.announcement.server] = it;
        }
        const std::shared_ptr<const control::fleet_contents> shared = contents;
        receive(control::sync_response{shared, core::revision(1), {}, true});
        entry->handle(now, event::tick{});
    }

    void receive(const control::message& it)
    {
        entry->handle(
            now,
            event::frame_received{
                other, net::frame{net::channel::control, wire::encode(it)}});
    }

    std::optional<core::endpoint> target_of_an_order()
    {
        auto message = std::make_shared<http::request>();
        message->method = "POST";
        message->target = "/x";
        message->path = "/x";
        message->headers.add("Host", "h");
        const auto actions =
            entry->handle(now, event::http_request{core::request_id(1), message});
        for (const auto& it : actions) {
            if (const auto* call = std::get_if<action::start_call>(&it)) {
                return call->request.to;
            }
        }
        return std::nullopt;
    }

    telemetry::metrics metrics;
    std::unique_ptr<node> entry;
    absl::Time now = absl::FromUnixSeconds(1000);
};

// Guards against an order that goes to a server of which another entry has just said that
// it fails, and against work for each such word: at 105 entries they came 120 times a
// second.
TEST_P(told_failures_test, count_from_the_next_tick_on)
{
    control::pool_evidence it;
    it.pool = pool;
    it.failures.push_back({core::server_id("failing"), 1});
    receive(it);
    now += absl::Milliseconds(20);
    entry->handle(now, event::tick{});
    EXPECT_EQ(target_of_an_order(), well);
}

INSTANTIATE_TEST_SUITE_P(seeds, told_failures_test, testing::Range<std::uint64_t>(1, 9));

} // namespace
} // namespace cuminpitch::entry
