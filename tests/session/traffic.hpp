#pragma once

#include "support/memory_fleet.hpp"

#include <absl/container/btree_map.h>

#include <filesystem>
#include <string>
#include <vector>

namespace cuminpitch::testing {

struct test_route
{
    std::string method;
    std::string path; ///< Path prefix that the route matches.
    bool idempotent = false;
};

/// The parts of an example's settings that tests use.
struct example
{
    std::string name;
    std::string host;
    /// Names of pools and numbers of servers to start in each.
    std::vector<std::pair<std::string, std::size_t>> pools;
    std::vector<test_route> routes;
};

inline example cooperative(std::size_t lookup, std::size_t archive)
{
    return {
        "cooperative",
        "survey.cooperative.example",
        {{"lookup", lookup}, {"archive", archive}},
        {{"GET", "/plots", true},
         {"POST", "/corrections", false},
         {"GET", "/archive", true},
         {"POST", "/scans", false}}};
}

inline example guarda_chuva(std::size_t lending, std::size_t intake)
{
    return {
        "guarda-chuva",
        "lending.guarda-chuva.example",
        {{"lending", lending}, {"intake", intake}},
        {{"GET", "/stock", true},
         {"POST", "/loans", false},
         {"POST", "/returns", false},
         {"POST", "/repairs/photos", false}}};
}

/// A request and the result that its caller received.
struct sent_request
{
    std::string id;
    bool idempotent = false;
    absl::Time at;
    std::string to;
    int results = 0;
    http::client_result result;

    std::string verdict() const
    {
        return result.failure == http::failure::none
                   ? result.response.headers.get("Cuminpitch-Verdict")
                   : std::string(core::to_string(result.verdict));
    }
};

/// Simulated callers. They query the entries of a route, cache the answer for 5 s and
/// send their requests to these entries.
class traffic
{
public:
    traffic(memory_fleet& fleet, example what) : fleet_(fleet), example_(std::move(what))
    {
    }

    const example& what() const { return example_; }
    const std::deque<sent_request>& sent() const { return sent_; }

    /// Forms the control group, applies the example's settings and starts entries and
    /// servers.
    void start_fleet();
    /// Body of the change that declares the settings of the example's folder.
    std::string declaration_body() const;
    /// Queries a random entry for the entries of a route and passes their addresses to
    /// `done`; none on failure.
    void query_entries(
        const test_route& route, std::function<void(std::vector<std::string>)> done);
    /// Sends a request to `to` or, if that is empty, to a cached entry of the route. Any
    /// entry may be chosen if none is cached.
    const sent_request& send(const test_route& route, const std::string& to = {});
    /// Sends one request to a random route every `interval` for `length`. With the
    /// probability `stale_chance`, a request goes to any entry instead of a cached one.
    void run(absl::Duration interval, absl::Duration length, double stale_chance = 0);

    /// Called for each request that has finished.
    std::function<void(const sent_request&)> on_result;

private:
    struct cached_answer
    {
        absl::Time until;
        std::vector<std::string> entries;
    };

    memory_fleet& fleet_;
    example example_;
    std::deque<sent_request> sent_;
    absl::btree_map<std::string, cached_answer> cached_answers_;
};

} // namespace cuminpitch::testing
