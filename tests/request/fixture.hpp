#pragma once

#include "cuminpitch/request/dispatcher.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace cuminpitch::request {

inline const core::pool_id pool_p{core::team_id("a"), "p"};
inline const core::pool_id pool_q{core::team_id("b"), "q"};
/// Not declared by two_teams().
inline const core::pool_id pool_n{core::team_id("a"), "n"};

/// Two teams: routes /read (idempotent) and /order of a/p, /other of b/q.
inline std::shared_ptr<config::declarations> two_teams()
{
    auto out = std::make_shared<config::declarations>();
    const auto add =
        [&](const core::pool_id& pool, const std::string& name, bool idempotent) {
            config::route_settings it;
            it.id = {pool.team, name};
            it.host = "h";
            it.path_prefix = "/" + name;
            it.pool = pool;
            it.idempotent = idempotent;
            out->pools[pool].id = pool;
            out->routes[it.id] = it;
        };
    add(pool_p, "read", true);
    add(pool_p, "order", false);
    add(pool_q, "other", true);
    return out;
}

inline http::client_result complete(int status = 200, http::headers fields = {})
{
    http::client_result out;
    out.verdict = core::verdict::ran;
    out.response.status = status;
    out.response.headers = std::move(fields);
    out.response.body = "body";
    out.elapsed = absl::Milliseconds(10);
    return out;
}

inline http::client_result failed_result(http::failure why, core::verdict verdict)
{
    http::client_result out;
    out.verdict = verdict;
    out.failure = why;
    out.elapsed = absl::Milliseconds(10);
    return out;
}

inline http::client_result not_connected()
{
    return failed_result(http::failure::connect, core::verdict::not_run);
}

inline http::client_result reset_after_send()
{
    return failed_result(http::failure::reset, core::verdict::may_have_run);
}

inline http::headers
make_headers(const std::vector<std::pair<std::string, std::string>>& fields)
{
    http::headers out;
    for (const auto& [name, value] : fields) {
        out.add(name, value);
    }
    return out;
}

/// An entry that serves a/p with two servers of one slot each.
class dispatcher_test : public testing::Test
{
protected:
    dispatcher_test() { restart({}); }

    void restart(const dispatcher_options& options)
    {
        entry = std::make_unique<dispatcher>(options, core::random_source(7), counters);
        entry->set_routes(std::make_shared<route_table>(declared));
        serve(pool_p, 2);
    }

    std::vector<action> serve(const core::pool_id& pool, int servers, unsigned slots = 1)
    {
        pool_update it;
        it.pool = pool;
        it.settings = declared->pools.at(pool);
        it.is_assigned = true;
        for (int i = 1; i <= servers; ++i) {
            const core::server_id id("s" + std::to_string(i));
            it.servers.push_back(
                {id, {"127.0.0.1", static_cast<std::uint16_t>(i)}, slots, false, false});
        }
        return count_responses(entry->update_pool(now, it));
    }

    /// Puts changed declarations without the pool `removed` in force. Each pool of its
    /// team has `servers` servers of `slots` slots then. Returns the actions of the
    /// removal.
    std::vector<action> declare(
        const std::function<void(config::declarations&)>& change,
        const core::pool_id& removed = pool_p,
        int servers = 1,
        unsigned slots = 8)
    {
        declared = std::make_shared<config::declarations>(*declared);
        declared->pools.erase(removed);
        change(*declared);
        entry->set_routes(std::make_shared<route_table>(declared));
        for (const auto& [id, settings] : declared->pools) {
            if (id.team == removed.team) {
                serve(id, servers, slots);
            }
        }
        return count_responses(entry->remove_pool(now, removed));
    }
    /// Declares `to`, to which the routes of `from` lead.
    static void redirect(
        config::declarations& all, const core::pool_id& from, const core::pool_id& to)
    {
        all.pools[to].id = to;
        for (auto& [id, route] : all.routes) {
            route.pool = route.pool == from ? to : route.pool;
        }
    }

    /// Assigns a/p to the entries e1 and e2 and no longer to this one.
    std::vector<action> serve_elsewhere()
    {
        pool_update it;
        it.pool = pool_p;
        it.settings = declared->pools.at(pool_p);
        it.entries = {
            {core::instance_id("e1"), {"127.0.0.1", 101}, true},
            {core::instance_id("e2"), {"127.0.0.1", 102}, true}};
        return count_responses(entry->update_pool(now, it));
    }

    std::vector<action>
    arrive(const std::string& path, http::headers fields = {}, std::string body = "")
    {
        auto message = std::make_shared<http::request>();
        message->method = "POST";
        message->target = path;
        message->path = path.substr(0, path.find('?'));
        message->headers = std::move(fields);
        message->headers.add("Host", "h");
        message->body = std::move(body);
        message->peer_address = "127.0.0.9";
        last = last.next();
        return count_responses(entry->handle(now, request_received{last, message}));
    }
    /// Delivers a request of `caller`.
    std::vector<action>
    from(const std::string& caller, const std::string& path = "/order")
    {
        return arrive(path, make_headers({{"Cuminpitch-Caller", caller}}));
    }
    std::vector<action> finish(attempt_id it, http::client_result result)
    {
        return count_responses(
            entry->handle(now, attempt_finished{it, std::move(result)}));
    }
    std::vector<action> disconnect_caller(request_id it)
    {
        return count_responses(entry->handle(now, caller_gone{it}));
    }
    std::vector<action> advance(absl::Duration it)
    {
        now += it;
        return count_responses(entry->handle(now, tick{}));
    }

    template <class T>
    static std::vector<T> all(const std::vector<action>& from)
    {
        std::vector<T> out;
        for (const auto& it : from) {
            if (const T* each = std::get_if<T>(&it)) {
                out.push_back(*each);
            }
        }
        return out;
    }
    /// Expects exactly one action of type T and returns it. Returns a default one if
    /// there is none.
    template <class T>
    static T only(const std::vector<action>& from)
    {
        const auto out = all<T>(from);
        EXPECT_EQ(out.size(), 1U);
        return out.empty() ? T{} : out.front();
    }
    static void expect_refusal(
        const std::vector<action>& from,
        refusal_reason why,
        core::verdict verdict = core::verdict::not_run)
    {
        const auto it = only<refuse>(from);
        EXPECT_STREQ(to_string(it.reason), to_string(why));
        EXPECT_EQ(it.verdict, verdict);
        EXPECT_EQ(it.response.status, status_of(why));
        EXPECT_EQ(
            it.response.headers.get("Cuminpitch-Verdict"), core::to_string(verdict));
        EXPECT_EQ(it.response.headers.get("Cuminpitch-Reason"), to_string(why));
        EXPECT_TRUE(it.response.headers.has("Retry-After"));
    }

    std::shared_ptr<config::declarations> declared = two_teams();
    telemetry::metrics counters;
    std::unique_ptr<dispatcher> entry;
    absl::Time now = absl::FromUnixSeconds(1000);
    request_id last;
    /// Number of responses and refusals for each request. More than one is a fault.
    std::map<request_id, int> response_counts;

private:
    std::vector<action> count_responses(std::vector<action> it)
    {
        for (const auto& each : all<respond>(it)) {
            EXPECT_EQ(++response_counts[each.request], 1);
        }
        for (const auto& each : all<refuse>(it)) {
            EXPECT_EQ(++response_counts[each.request], 1);
        }
        return it;
    }
};

} // namespace cuminpitch::request
