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

/// A request as recorded by its caller.
struct request_record
{
    std::string id;
    request_kind kind = request_kind::safe;
    std::string entry; ///< Name of the process it was sent to.
    absl::Time sent;
    absl::Time ended;
    http::client_result result;
};

/// The arrival of a request as recorded by a backend server.
struct arrival_record
{
    std::string request;
    std::string server;
    absl::Time at;
    bool has_run = false;
};

/// The answer to a run as recorded by a backend server.
struct answer_record
{
    std::string request;
    http::response response;
};

/// Time spans in which injected faults affected a process. Checks with a time bound skip
/// what was affected shortly before.
class disturbances
{
public:
    /// `what` is the name of a process, or "planned stop of NAME" for a planned stop.
    void add(const std::string& what, absl::Time from, absl::Time to);
    /// Whether no added span whose `what` begins with `prefix` overlaps `from` to `to`.
    /// An empty prefix covers all spans.
    bool is_undisturbed(const std::string& prefix, absl::Time from, absl::Time to) const;

private:
    struct span
    {
        absl::Time from;
        absl::Time to;
    };
    mutable absl::Mutex mutex_;
    absl::btree_map<std::string, std::vector<span>> spans_;
};

/// Records what callers, backend servers and the operator observed, and finds violations
/// of the guarantees of the platform. Thread-safe.
class ledger
{
public:
    void add(request_record it);
    void add(arrival_record it);
    void add(answer_record it);
    /// Records that control acknowledged the departure that `server` announced.
    void add_departure(const std::string& server, absl::Time acknowledged);
    void add_acknowledged(std::uint64_t number, absl::Time at);
    /// Records that a configuration read sent at `sent` returned configuration `number`.
    void add_read(std::uint64_t number, absl::Time sent);
    void add_problem(std::string it);

    std::uint64_t newest_acknowledged() const;
    std::size_t requests() const;
    /// Fraction of the requests sent since `it` that were answered with a success status.
    double served_since(absl::Time it) const;
    /// Returns one line for each violation of a guarantee.
    std::vector<std::string> problems(const disturbances& disturbed) const;

private:
    void
    check_requests(const disturbances& disturbed, std::vector<std::string>& to) const;
    /// Each success, and each failure with the signature of a server, must be the answer
    /// that this server gave to this request.
    void check_answers(std::vector<std::string>& to) const;
    void
    check_departures(const disturbances& disturbed, std::vector<std::string>& to) const;
    void check_reads(std::vector<std::string>& to) const;

    mutable absl::Mutex mutex_;
    std::vector<request_record> requests_;
    std::vector<arrival_record> arrivals_;
    std::vector<answer_record> answers_;
    absl::btree_map<std::string, absl::Time> departures_;
    std::vector<std::pair<absl::Time, std::uint64_t>> acknowledged_;
    std::vector<std::pair<absl::Time, std::uint64_t>> reads_;
    std::vector<std::string> problems_;
};

/// The body of the answer to `request` with `signature`. It names both, so that a caller
/// can verify that it got the response to its own request.
std::string body_for(const std::string& request, const std::string& signature);

} // namespace cuminpitch::testing
