#pragma once

#include <cstdint>
#include <fstream>
#include <map>
#include <sstream>
#include <stdexcept>
#include <string>
#include <vector>

namespace cuminpitch::bench {

struct traced_route
{
    std::string name;
    double rate = 0; ///< Requests per second and server.
    double median_ms = 0;
    double sigma = 0; ///< Standard deviation of the logarithm of the service time.
};

enum class fault_kind
{
    fail,     ///< Requests fail with probability `value`.
    slow,     ///< Service times are `value` times as long.
    shed,     ///< Requests are shed with probability `value`.
    cold,     ///< The server restarts, and is 3 times as slow for `value` seconds.
    endpoint, ///< The health endpoint always reports healthy (1) or sick (0).
};

struct traced_fault
{
    double from = 0; ///< Seconds after the warm-up.
    double to = 0;
    std::uint32_t servers = 0; ///< The fault affects servers 0 to n-1; 0 means all.
    fault_kind kind = fault_kind::fail;
    double value = 0;
    double period = 0; ///< Seconds on, then as many off, alternating; 0: always on.
    std::string route; ///< Empty means all routes.
};

struct expectation
{
    std::string metric;
    bool at_most = true;
    double value = 0;
};

/// One experiment: a pool, its load, its faults and the expected results.
struct trace
{
    std::string name;
    std::string user;
    std::string pool;
    std::uint32_t servers = 0;
    std::uint32_t slots = 0;
    std::uint32_t entries = 3;
    std::uint32_t min_healthy_percent = 70;
    double false_ejections = 1; ///< Declared tolerance per server and month.
    std::uint64_t seed = 0;
    std::uint32_t repeats = 1;
    double seconds = 0;
    double base_failures = 0.001;
    double aggregate = 0; ///< If not 0, evidence is drawn for this many seconds at once.
    bool probes = false;
    std::vector<traced_route> routes;
    std::vector<traced_fault> faults;
    std::vector<expectation> expectations;
};

inline const std::map<std::string, fault_kind>& fault_kinds()
{
    static const std::map<std::string, fault_kind> names = {
        {"fail", fault_kind::fail},
        {"slow", fault_kind::slow},
        {"shed", fault_kind::shed},
        {"cold", fault_kind::cold},
        {"endpoint", fault_kind::endpoint}};
    return names;
}

namespace detail {

inline traced_fault read_fault(std::istringstream& words)
{
    traced_fault it;
    std::string kind;
    std::string route;
    words >> it.from >> it.to >> it.servers >> kind >> it.value >> it.period >> route;
    it.kind = fault_kinds().at(kind);
    it.route = route == "-" ? "" : route;
    return it;
}

inline void read_line(trace& out, const std::string& key, std::istringstream& words)
{
    if (key == "route") {
        traced_route it;
        words >> it.name >> it.rate >> it.median_ms >> it.sigma;
        out.routes.push_back(it);
    } else if (key == "fault") {
        out.faults.push_back(read_fault(words));
    } else if (key == "expect") {
        expectation it;
        std::string relation;
        words >> it.metric >> relation >> it.value;
        it.at_most = relation == "<=";
        out.expectations.push_back(it);
    } else if (key == "name") {
        words >> out.name;
    } else if (key == "user") {
        words >> out.user;
    } else if (key == "pool") {
        words >> out.pool >> out.servers >> out.slots >> out.entries;
    } else if (key == "declared") {
        words >> out.min_healthy_percent >> out.false_ejections;
    } else if (key == "run") {
        words >> out.seed >> out.repeats >> out.seconds >> out.aggregate;
    } else if (key == "base_failures") {
        words >> out.base_failures;
    } else if (key == "probes") {
        out.probes = true;
    } else {
        throw std::runtime_error("unknown key " + key);
    }
}

} // namespace detail

/// Reads a trace file; lines that begin with # are comments. Throws std::runtime_error.
inline trace read_trace(const std::string& path)
{
    trace out;
    std::ifstream file(path);
    for (std::string line; std::getline(file, line);) {
        std::istringstream words(line);
        std::string key;
        if (line.empty() || line[0] == '#' || !(words >> key)) {
            continue;
        }
        detail::read_line(out, key, words);
        if (words.fail()) {
            throw std::runtime_error(path + ": malformed line");
        }
    }
    if (out.servers == 0 || out.routes.empty() || out.seconds <= 0) {
        throw std::runtime_error(path + ": incomplete trace");
    }
    return out;
}

} // namespace cuminpitch::bench
