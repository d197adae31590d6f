#pragma once

#include "cuminpitch/core/random.hpp"
#include "cuminpitch/http/client.hpp"
#include "cuminpitch/http/server.hpp"
#include "soak/ledger.hpp"
#include "soak/loopback_proxy.hpp"

#include <absl/synchronization/mutex.h>

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace cuminpitch::testing {

/// Kinds of failure of a backend server. While one is set, `sheds` affects all requests
/// and the others a part of them.
enum class server_fault
{
    none,
    errors,   ///< Answers 500 after the request was executed.
    resets,   ///< Closes the connection instead of answering.
    hangs,    ///< Never answers.
    sheds,    ///< Refuses requests as not executed.
    cuts,     ///< Closes the connection in the middle of the response.
    wrong_id, ///< Answers with the id of another request.
    // Answers 500 after the request was executed, and gives most answers, whichever their
    // status, a second time on the same connection: whole, cut, or in two pieces.
    answers_twice,
    answers_twice_cut,
    answers_twice_in_pieces,
};

/// A simulated backend server that announces itself to control under the address of a
/// proxy. Records the requests that arrive in the ledger.
class soak_server
{
public:
    struct description
    {
        std::string id;
        std::string service;
        std::string failure_domain;
        std::int64_t started_ms = 0; ///< Unix time; identifies the incarnation.
    };

    soak_server(
        description self,
        proxy_loop& loop,
        http::client& client,
        ledger& records,
        std::vector<core::endpoint> control,
        std::uint64_t seed);
    ~soak_server();

    void set_fault(server_fault it);
    /// Announces the departure; the server stops a few seconds after the acknowledgement.
    void leave() { leaving_ = true; }
    /// Stops at once, without announcing a departure.
    void crash();
    bool is_gone() const { return gone_; }
    proxy_loop::proxy_id proxy() const { return proxy_; }
    const std::string& id() const { return self_.id; }

private:
    void serve(const http::request& it, const std::shared_ptr<http::exchange>& to);
    void finish(
        const std::string& request,
        const std::string& signature,
        const std::shared_ptr<http::exchange>& to,
        bool fails);
    void announce();
    bool send_to_control(const std::string& method, const std::string& body);
    std::string announcement_body(bool is_leaving);

    const description self_;
    proxy_loop& loop_;
    http::client& client_;
    ledger& records_;
    const std::vector<core::endpoint> control_;
    std::unique_ptr<http::server> server_;
    proxy_loop::proxy_id proxy_ = 0;
    std::atomic<server_fault> fault_{server_fault::none};
    std::atomic<bool> leaving_{false};
    std::atomic<bool> gone_{false};
    std::atomic<bool> crashed_{false};
    std::atomic<int> in_flight_{0};
    std::uint64_t sequence_ = 0;
    std::atomic<std::uint64_t> last_run_{0};
    absl::Mutex mutex_;
    core::random_source random_ ABSL_GUARDED_BY(mutex_);
    std::thread announcer_;
};

/// Makes an HTTP call and waits for its result. A failed call has status 0.
http::client_result
call(http::client& client, http::client_request it, absl::Duration timeout);

/// Configuration `number`, with routes for /read/ (safe), /order/ (unsafe), /upload/ and
/// one whose name holds the number, and with customers if the fleet has some.
std::string configuration(std::uint64_t number, bool has_customers);

} // namespace cuminpitch::testing
