#pragma once

#include "cuminpitch/http/client.hpp"

#include <absl/container/btree_map.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace cuminpitch::testing {

enum class request_kind
{
    safe,
    order,
    upload,
};

/// A request as its caller saw it.
struct request_record
{
    std::string id;
    request_kind kind = request_kind::safe;
    std::string entry; ///< Name of the process that it was sent to.
    absl::Time sent;
    absl::Time ended;
    http::client_result result;
};

/// A request as a backend server saw it.
struct arrival_record
{
    std::string request;
    std::string server;
    absl::Time at;
    bool has_run = false;
};

/// Times at which the soak harmed something: checks with a time bound leave out what was
/// harmed shortly before.
class disturbances
{
public:
    /// `what` names a process, or "servers" for paths to backend servers.
    void add(const std::string& what, absl::Time from, absl::Time to);
    /// Whether a process whose name begins so was undisturbed within the span.
    bool is_calm(const std::string& prefix, absl::Time from, absl::Time to) const;

private:
    struct span
    {
        absl::Time from;
        absl::Time to;
    };
    mutable absl::Mutex mutex_;
    absl::btree_map<std::string, std::vector<span>> spans_;
};

/// Everything that callers, backend servers and the operator saw, and what of it breaks a
/// guarantee. Thread-safe.
class ledger
{
public:
    void add(request_record it);
    void add(arrival_record it);
    /// The server announced that it leaves, and this was acknowledged.
    void add_departure(const std::string& server, absl::Time acknowledged);
    void add_acknowledged(std::uint64_t number, absl::Time at);
    /// A read of the configuration that was sent then returned this number.
    void add_read(std::uint64_t number, absl::Time sent);
    void add_problem(std::string it);

    std::uint64_t newest_acknowledged() const;
    std::size_t requests() const;
    /// Part of the requests sent since then that were answered with a success.
    double served_since(absl::Time it) const;
    /// One line for each broken guarantee.
    std::vector<std::string> problems(const disturbances& harmed) const;

private:
    void check_requests(const disturbances& harmed, std::vector<std::string>& to) const;
    void check_departures(const disturbances& harmed, std::vector<std::string>& to) const;
    void check_reads(std::vector<std::string>& to) const;

    mutable absl::Mutex mutex_;
    std::vector<request_record> requests_;
    std::vector<arrival_record> arrivals_;
    absl::btree_map<std::string, absl::Time> departures_;
    std::vector<std::pair<absl::Time, std::uint64_t>> acknowledged_;
    std::vector<std::pair<absl::Time, std::uint64_t>> reads_;
    std::vector<std::string> problems_;
};

/// The body that a server sends for a request, so that a caller knows its own.
std::string body_for(const std::string& request, const std::string& server);

} // namespace cuminpitch::testing
