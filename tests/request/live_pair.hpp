#pragma once

#include "live_entry.hpp"

#include "http/raw_socket.hpp"

#include <absl/strings/escaping.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>

#include <algorithm>
#include <array>
#include <ostream>

namespace cuminpitch::request {

using http::raw_caller;
using http::raw_server;

/// A response of a server. $i stands for the id of the request and $p for the proof,
/// which names server, id and status and is the body too.
struct response_kind
{
    const char* name;
    int status;
    bool has_run;
    const char* text;

    friend std::ostream& operator<<(std::ostream& to, const response_kind& it)
    {
        return to << it.name;
    }
};

inline const response_kind ok_kind{
    "ok", 200, true, "HTTP/1.1 200 OK\r\nC: $i\r\nP: $p\r\nContent-Length: 13\r\n\r\n$p"};
inline const response_kind failure_kind{
    "failure",
    500,
    true,
    "HTTP/1.1 500 Failed\r\nC: $i\r\nP: $p\r\nContent-Length: 13\r\n\r\n$p"};
inline const response_kind refusal_kind{
    "refusal",
    503,
    false,
    "HTTP/1.1 503 Busy\r\nC: $i\r\nN: 1\r\nContent-Length: 0\r\n\r\n"};
inline const response_kind chunked_kind{
    "chunked",
    200,
    true,
    "HTTP/1.1 200 OK\r\nC: $i\r\nP: $p\r\nTransfer-Encoding: chunked\r\n\r\n"
    "d\r\n$p\r\n0\r\n\r\n"};

inline const std::array real_kinds = {ok_kind, failure_kind, refusal_kind, chunked_kind};

inline std::string proof_of(const std::string& server, const std::string& id, int status)
{
    return absl::StrCat(server, ".", id, ".", status);
}

inline std::string
make_bytes(const response_kind& it, const std::string& server, const std::string& id)
{
    return absl::StrReplaceAll(
        it.text, {{"$i", id}, {"$p", proof_of(server, id, it.status)}});
}

/// When the late part arrives.
enum class arrival
{
    with_response,
    in_own_piece,
    before_request
};

struct scenario
{
    response_kind late = ok_kind;
    std::size_t cut = 0; ///< Length of the late part.
    arrival when = arrival::with_response;
    response_kind real = ok_kind;
};

struct answer
{
    int status = 0;
    http::headers fields;
    std::string body;
};

/// Takes an answer off the front of `text`. Returns false if it isn't a whole one.
inline bool take_answer(std::string& text, answer& out)
{
    const auto end = text.find("\r\n\r\n");
    if (!text.starts_with("HTTP/1.1 ") || end == std::string::npos) {
        return false;
    }
    const auto head = text.substr(0, end + 2);
    out = {};
    out.status = std::atoi(head.c_str() + 9);
    for (auto at = head.find("\r\n") + 2; at < head.size();) {
        const auto line_end = head.find("\r\n", at);
        const auto line = head.substr(at, line_end - at);
        const auto colon = line.find(": ");
        if (colon == std::string::npos) {
            return false;
        }
        out.fields.add(line.substr(0, colon), line.substr(colon + 2));
        at = line_end + 2;
    }
    std::size_t length = 0;
    if (!absl::SimpleAtoi(out.fields.get("Content-Length"), &length) ||
        text.size() < end + 4 + length) {
        return false;
    }
    out.body = text.substr(end + 4, length);
    text.erase(0, end + 4 + length);
    return true;
}

inline std::string request_id_in(const std::string& request)
{
    const auto at = request.find("\r\nC: ");
    return at == std::string::npos ? "" : request.substr(at + 5, 6);
}

/// The requests that servers ran, and the proofs of their responses.
class run_record
{
public:
    void add(const std::string& id, const std::string& proof)
    {
        const absl::MutexLock lock(&mutex_);
        runs_[id].push_back(proof);
    }
    std::vector<std::string> of(const std::string& id)
    {
        const absl::MutexLock lock(&mutex_);
        return runs_[id];
    }

    /// Why `it` can't be the answer to the request `id`, or nothing.
    std::string fault_in(const answer& it, const std::string& id)
    {
        const auto runs = of(id);
        if (!it.fields.has("P")) {
            const bool is_failure =
                it.status == 502 || it.status == 503 || it.status == 504;
            if (!is_failure || !it.fields.has("Cuminpitch-Reason")) {
                return "neither of a server nor a failure of the entry";
            }
            return it.status == 503 && !runs.empty() ? "promises that it wasn't run" : "";
        }
        const auto proof = it.fields.get("P");
        if (std::find(runs.begin(), runs.end(), proof) == runs.end()) {
            return "proof of another request";
        }
        if (!proof.ends_with(absl::StrCat(".", it.status))) {
            return "status of another response";
        }
        const auto& fields = it.fields.fields();
        const auto ids =
            std::count_if(fields.begin(), fields.end(), [](const auto& field) {
                return absl::EqualsIgnoreCase(field.first, "C");
            });
        if (ids != 1 || it.fields.get("C") != id) {
            return "id of another request";
        }
        return it.body == proof ? "" : "body of another response";
    }

private:
    absl::Mutex mutex_;
    std::map<std::string, std::vector<std::string>> runs_;
};

/// A server whose response to the first request of a pair comes a second time, in part.
class stuttering_server
{
public:
    explicit stuttering_server(run_record& record) : record_(record) {}

    core::endpoint at() const { return server_.at(); }
    unsigned connections() const { return server_.connections(); }
    /// Requests in front of whose response the late part stood.
    unsigned joined() const { return joined_; }
    void play(const scenario& it)
    {
        const absl::MutexLock lock(&mutex_);
        scenario_ = it;
        primer_.clear();
    }

private:
    raw_server::reply reply_to(const std::string& request)
    {
        const absl::MutexLock lock(&mutex_);
        const auto id = request_id_in(request);
        const bool is_primer = request.find("/prime ") != std::string::npos;
        const auto& real = is_primer ? ok_kind : scenario_.real;
        if (real.has_run) {
            record_.add(id, proof_of("s1", id, real.status));
        }
        const auto bytes = make_bytes(real, "s1", id);
        if (is_primer) {
            primer_ = id;
            primed_connections_ = server_.connections();
        }
        const auto late =
            make_bytes(scenario_.late, "s1", primer_).substr(0, scenario_.cut);
        if (is_primer) {
            const bool is_early = scenario_.when == arrival::before_request;
            return {bytes, false, false, "", is_early ? late : ""};
        }
        const bool is_kept =
            !primer_.empty() && server_.connections() == primed_connections_;
        if (!is_kept || scenario_.when == arrival::before_request) {
            return {bytes};
        }
        ++joined_;
        if (scenario_.when == arrival::in_own_piece && !late.empty()) {
            return {late, false, false, "", bytes};
        }
        return {late + bytes};
    }

    run_record& record_;
    absl::Mutex mutex_;
    scenario scenario_;
    std::string primer_;
    unsigned primed_connections_ = 0;
    std::atomic<unsigned> joined_{0};
    raw_server server_{
        [this](unsigned, const std::string& request) { return reply_to(request); }};
};

inline std::shared_ptr<config::declarations> shared_declarations()
{
    auto out = two_teams();
    auto& pool = out->pools[pool_p];
    pool.every_entry = true;
    pool.retry_percent = 100;
    for (auto& [id, route] : out->routes) {
        route.max_attempts = 2;
    }
    return out;
}

inline pool_update shared_pool(const config::declarations& declared)
{
    pool_update out;
    out.pool = pool_p;
    out.settings = declared.pools.at(pool_p);
    out.is_assigned = true;
    return out;
}

inline server_view server_at(const std::string& id, const core::endpoint& at)
{
    return {core::server_id(id), at, 4, false, false};
}

/// Counts the pairs of requests that failed by reason, with the bytes of the first ones.
class tally
{
public:
    void add(const scenario& it, const std::string& why, const std::string& bytes)
    {
        ++cases_;
        if (why.empty()) {
            return;
        }
        constexpr unsigned most = 2;
        if (++wrong_[why] <= most) {
            const auto late = make_bytes(it.late, "s1", "______").substr(0, it.cut);
            const auto real = make_bytes(it.real, "s1", "______");
            constexpr std::array arrivals = {"at once", "in two", "before"};
            absl::StrAppend(
                &text_,
                "\n  ",
                why,
                ", cut ",
                it.cut,
                " ",
                arrivals.at(static_cast<std::size_t>(it.when)),
                "\n    server: ",
                absl::CEscape(late),
                " | ",
                absl::CEscape(real),
                "\n    caller: ",
                absl::CEscape(bytes));
        }
    }
    bool any_wrong() const { return !wrong_.empty(); }
    unsigned cases() const { return cases_; }
    std::string text() const
    {
        std::string out = absl::StrCat(" of ", cases_, " pairs:");
        for (const auto& [why, count] : wrong_) {
            absl::StrAppend(&out, "\n  ", count, " ", why);
        }
        return out + text_;
    }

private:
    unsigned cases_ = 0;
    std::map<std::string, unsigned> wrong_;
    std::string text_;
};

/// Requests in pairs on one connection of a caller.
class live_pair : public testing::Test
{
protected:
    std::string next_id() { return std::to_string(++last_id_); }

    static std::string message(
        const std::string& method,
        const std::string& path,
        const std::string& id,
        const std::string& fields = "",
        int deadline_ms = 2000)
    {
        return absl::StrCat(
            method,
            " ",
            path,
            " HTTP/1.1\r\nHost: h\r\nC: ",
            id,
            "\r\nCuminpitch-Deadline-Ms: ",
            deadline_ms,
            "\r\n",
            fields,
            "Content-Length: 0\r\n\r\n");
    }

    /// Sends two requests on one connection: one that leaves a kept connection to the
    /// first server, and `method` `path`. Adds what is wrong with their answers.
    void send_pair(
        const live_entry& entry,
        const scenario& it,
        const std::string& method = "GET",
        const std::string& path = "/read/case")
    {
        first.play(it);
        const auto primer = next_id();
        const auto id = next_id();
        const raw_caller caller(entry.at().port);
        caller.send(message("GET", "/read/prime", primer));
        auto text = caller.read_to("\r\n\r\n");
        if (it.when == arrival::before_request) {
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
        }
        caller.send(message(method, path, id, "Connection: close\r\n"));
        text += caller.read_all();
        seen.add(it, fault_in_pair(text, primer, id), text);
    }

    std::string
    fault_in_pair(std::string text, const std::string& primer, const std::string& id)
    {
        answer first_answer;
        if (!take_answer(text, first_answer)) {
            return "no whole answer to the first request";
        }
        const auto in_first = record.fault_in(first_answer, primer);
        if (!in_first.empty()) {
            return "answer to the first request: " + in_first;
        }
        if (is_second_used && first_answer.status != 200) {
            return absl::StrCat("first request not served: ", first_answer.status);
        }
        if (!take_answer(text, last_answer)) {
            return "no whole answer";
        }
        if (!text.empty()) {
            return "bytes beyond the answers";
        }
        constexpr std::size_t max_attempts = 2;
        if (record.of(id).size() > max_attempts) {
            return "too many attempts";
        }
        auto fault = record.fault_in(last_answer, id);
        if (fault.empty() && is_second_used && last_answer.status != 200) {
            return absl::StrCat("not served by the other server: ", last_answer.status);
        }
        return fault;
    }

    void expect_none_wrong() const { EXPECT_FALSE(seen.any_wrong()) << seen.text(); }

    pool_update pool_of_two() const
    {
        auto out = shared_pool(*declared);
        out.servers = {server_at("s1", first.at()), server_at("s2", second.at())};
        out.servers.back().penalty = 1; // The first server is chosen first.
        return out;
    }

    run_record record;
    tally seen;
    answer last_answer;
    bool is_second_used = true;
    std::shared_ptr<config::declarations> declared = shared_declarations();
    stuttering_server first{record};
    raw_server second{[this](unsigned, const std::string& request) {
        const auto id = request_id_in(request);
        record.add(id, proof_of("s2", id, 200));
        return raw_server::reply{make_bytes(ok_kind, "s2", id)};
    }};

private:
    unsigned last_id_ = 100'000;
};

} // namespace cuminpitch::request
