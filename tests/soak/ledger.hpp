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
    std::string key; ///< Key of a customer that was sent; may be empty.
};

/// The arrival of a request as recorded by a backend server.
struct arrival_record
{
    std::string request;
    std::string server;
    absl::Time at;
    bool has_run = false;
    std::string customer;   ///< Name of the customer that the server got.
    bool shows_key = false; ///< A key was in the request.
};

/// The answer to a run as recorded by a backend server.
struct answer_record
{
    std::string request;
    http::response response;
};

/// A customer that the configurations declare.
struct customer_record
{
    std::string name;
    double rate_per_s = 0; ///< 0: no limit.
    double burst = 0;
};

/// When a key was declared. A change is in force at a time between the first attempt to
/// send it and its acknowledgement.
struct key_record
{
    std::string customer;
    absl::Time add_sent = absl::InfinitePast();
    absl::Time added = absl::InfinitePast();
    absl::Time revoke_sent = absl::InfiniteFuture();
    absl::Time revoked = absl::InfiniteFuture();
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
    /// Without customers, nothing is checked about keys and rates.
    void add(customer_record it);
    /// Adds or replaces what is known of a key.
    void add_key(const std::string& key, key_record it);

    std::uint64_t newest_acknowledged() const;
    std::size_t requests() const;
    /// Number of requests that were answered with this status.
    std::size_t answered_with(int status) const;
    /// Fraction of the requests sent since `it` that were answered with a success status.
    /// Leaves out requests that are refused rightly for their key or a rate.
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
    /// Keys and names of the requests that servers got.
    void
    check_customers(const disturbances& disturbed, std::vector<std::string>& to) const;
    /// Runs of each customer in each window of its rate.
    void check_rates(std::vector<std::string>& to) const;
    const key_record* key_of(const request_record& it) const;
    /// Whether the key was valid during the whole request, at each entry that isn't
    /// disturbed.
    bool has_valid_key(const request_record& it) const;

    mutable absl::Mutex mutex_;
    std::vector<request_record> requests_;
    std::vector<arrival_record> arrivals_;
    std::vector<answer_record> answers_;
    absl::btree_map<std::string, absl::Time> departures_;
    std::vector<std::pair<absl::Time, std::uint64_t>> acknowledged_;
    std::vector<std::pair<absl::Time, std::uint64_t>> reads_;
    std::vector<std::string> problems_;
    absl::btree_map<std::string, customer_record> customers_;
    absl::btree_map<std::string, key_record> keys_;
};

/// The body of the answer to `request` with `signature`. It names both, so that a caller
/// can verify that it got the response to its own request.
std::string body_for(const std::string& request, const std::string& signature);

} // namespace cuminpitch::testing
