#include "soak/ledger.hpp"

#include <absl/container/btree_set.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

namespace cuminpitch::testing {
namespace {

/// Bounds that follow from the settings of the fleet under test (docs/platform.md).
constexpr absl::Duration departure_bound = absl::Seconds(2);
constexpr absl::Duration configuration_bound = absl::Seconds(2);
constexpr absl::Duration rate_window = absl::Seconds(5);
/// A window may exceed the rate and the burst of a customer by a tenth and 20 requests.
constexpr double rate_tolerance = 1.1;
constexpr double rate_slack = 20;
/// The bound for departures is not checked if a fault affected the fleet this shortly
/// before.
constexpr absl::Duration settle_time = absl::Seconds(3);
/// A killed process resets its connections, and its callers notice that with a delay.
constexpr absl::Duration reset_slack = absl::Milliseconds(500);

constexpr int first_success = 200;
constexpr int first_redirect = 300;
constexpr int first_client_error = 400;
constexpr int unauthorized = 401;
constexpr int request_timeout = 408;
constexpr int misdirected = 421;
constexpr int too_many_requests = 429;
constexpr int first_server_error = 500;
constexpr int unavailable = 503;

bool is_success(int status)
{
    return status >= first_success && status < first_redirect;
}

bool says_not_run(int status)
{
    return status == request_timeout || status == misdirected ||
           status == too_many_requests || status == unavailable;
}

/// Whether faults can't have kept a change of more than configuration_bound ago from the
/// entry: neither it nor control was disturbed for that long and settle_time before.
bool has_each_change(
    const disturbances& disturbed, const std::string& entry, absl::Time at)
{
    const auto from = at - configuration_bound - settle_time;
    return disturbed.is_undisturbed(entry, from, at) &&
           disturbed.is_undisturbed("control", from, at) &&
           disturbed.is_undisturbed("planned stop of control", from, at);
}

} // namespace

std::string body_for(const std::string& request, const std::string& signature)
{
    constexpr std::size_t body_bytes = 600;
    std::string out = absl::StrCat(request, " from ", signature, " ");
    out.append(body_bytes, 'b');
    return out;
}

void disturbances::add(const std::string& what, absl::Time from, absl::Time to)
{
    const absl::MutexLock lock(&mutex_);
    spans_[what].push_back({from, to});
}

bool disturbances::is_undisturbed(
    const std::string& prefix, absl::Time from, absl::Time to) const
{
    const absl::MutexLock lock(&mutex_);
    for (const auto& [name, spans] : spans_) {
        if (!absl::StartsWith(name, prefix)) {
            continue;
        }
        for (const auto& it : spans) {
            if (it.from <= to && it.to >= from) {
                return false;
            }
        }
    }
    return true;
}

void ledger::add(request_record it)
{
    const absl::MutexLock lock(&mutex_);
    requests_.push_back(std::move(it));
}

void ledger::add(arrival_record it)
{
    const absl::MutexLock lock(&mutex_);
    arrivals_.push_back(std::move(it));
}

void ledger::add(answer_record it)
{
    const absl::MutexLock lock(&mutex_);
    answers_.push_back(std::move(it));
}

void ledger::add_departure(const std::string& server, absl::Time acknowledged)
{
    const absl::MutexLock lock(&mutex_);
    departures_.emplace(server, acknowledged);
}

void ledger::add_acknowledged(std::uint64_t number, absl::Time at)
{
    const absl::MutexLock lock(&mutex_);
    acknowledged_.emplace_back(at, number);
}

void ledger::add_read(std::uint64_t number, absl::Time sent)
{
    const absl::MutexLock lock(&mutex_);
    reads_.emplace_back(sent, number);
}

void ledger::add_problem(std::string it)
{
    const absl::MutexLock lock(&mutex_);
    problems_.push_back(std::move(it));
}

void ledger::add(customer_record it)
{
    const absl::MutexLock lock(&mutex_);
    customers_[it.name] = it;
}

void ledger::add_key(const std::string& key, key_record it)
{
    const absl::MutexLock lock(&mutex_);
    keys_[key] = std::move(it);
}

std::uint64_t ledger::newest_acknowledged() const
{
    const absl::MutexLock lock(&mutex_);
    std::uint64_t out = 0;
    for (const auto& [at, number] : acknowledged_) {
        out = std::max(out, number);
    }
    return out;
}

std::size_t ledger::requests() const
{
    const absl::MutexLock lock(&mutex_);
    return requests_.size();
}

std::size_t ledger::answered_with(int status) const
{
    const absl::MutexLock lock(&mutex_);
    return static_cast<std::size_t>(
        std::count_if(requests_.begin(), requests_.end(), [&](const auto& it) {
            return it.result.failure == http::failure::none &&
                   it.result.response.status == status;
        }));
}

const key_record* ledger::key_of(const request_record& it) const
{
    const auto found = keys_.find(it.key);
    return found == keys_.end() ? nullptr : &found->second;
}

bool ledger::has_valid_key(const request_record& it) const
{
    const auto* key = key_of(it);
    return key != nullptr && key->added + configuration_bound < it.sent &&
           it.ended < key->revoke_sent;
}

double ledger::served_since(absl::Time it) const
{
    const absl::MutexLock lock(&mutex_);
    double asked = 0;
    double served = 0;
    for (const auto& each : requests_) {
        bool is_refused_rightly = false;
        if (!customers_.empty()) {
            is_refused_rightly = !has_valid_key(each) ||
                                 (each.result.response.status == too_many_requests &&
                                  customers_.at(key_of(each)->customer).rate_per_s > 0);
        }
        if (each.sent >= it && !is_refused_rightly) {
            asked += 1;
            const bool ok = each.result.failure == http::failure::none &&
                            is_success(each.result.response.status);
            served += ok ? 1 : 0;
        }
    }
    return asked == 0 ? 0 : served / asked;
}

std::vector<std::string> ledger::problems(const disturbances& disturbed) const
{
    const absl::MutexLock lock(&mutex_);
    auto out = problems_;
    check_requests(disturbed, out);
    check_answers(out);
    check_departures(disturbed, out);
    check_reads(out);
    if (!customers_.empty()) {
        check_customers(disturbed, out);
        check_rates(out);
    }
    return out;
}

void ledger::check_requests(
    const disturbances& disturbed, std::vector<std::string>& to) const
{
    absl::btree_map<std::string, unsigned> runs;
    for (const auto& it : arrivals_) {
        runs[it.request] += it.has_run ? 1 : 0;
    }
    for (const auto& it : requests_) {
        const auto& answer = it.result.response;
        const unsigned ran = runs[it.id];
        const auto report = [&](const char* what) {
            to.push_back(absl::StrCat(
                what,
                ": request ",
                it.id,
                " at ",
                it.entry,
                ", status ",
                answer.status,
                ", executions ",
                ran,
                ", sent ",
                absl::FormatTime(it.sent)));
        };
        if (it.kind != request_kind::safe && ran > 1) {
            report("executed more than once");
        }
        if (it.result.failure != http::failure::none) {
            // Only a fault at the entry may end a connection without a response; a
            // planned stop may not.
            const bool was_undisturbed = disturbed.is_undisturbed(
                it.entry, it.sent - reset_slack, it.ended + reset_slack);
            const bool is_cut = it.result.failure == http::failure::reset ||
                                it.result.failure == http::failure::short_response;
            if (is_cut && was_undisturbed &&
                it.result.verdict != core::verdict::not_run) {
                report("connection cut without a fault at the entry");
            }
            continue;
        }
        if (says_not_run(answer.status) && it.kind != request_kind::safe && ran > 0) {
            report("refused as not executed, but executed");
        }
        const bool is_client_error = answer.status >= first_client_error &&
                                     answer.status < first_server_error &&
                                     !says_not_run(answer.status);
        if (is_client_error && (customers_.empty() || answer.status != unauthorized)) {
            report("rejected with a client error");
        }
        const bool is_bound = key_of(it) == nullptr ||
                              key_of(it)->added == absl::InfinitePast() ||
                              has_each_change(disturbed, it.entry, it.ended);
        if (!customers_.empty() && answer.status == unauthorized && has_valid_key(it) &&
            is_bound) {
            report("valid key refused");
        }
    }
}

void ledger::check_answers(std::vector<std::string>& to) const
{
    absl::btree_map<std::string, const answer_record*> given;
    for (const auto& it : answers_) {
        given[it.response.headers.get("X-Upstream-Signature")] = &it;
    }
    for (const auto& it : requests_) {
        const auto& got = it.result.response;
        const std::string signature = got.headers.get("X-Upstream-Signature");
        if (it.result.failure != http::failure::none ||
            (signature.empty() && !is_success(got.status))) {
            continue;
        }
        const auto found = given.find(signature);
        const bool is_own = found != given.end() && found->second->request == it.id;
        std::string problem;
        if (signature.empty()) {
            problem = "success without the signature of a server";
        } else if (!is_own) {
            problem = "signature of another run";
        } else if (const auto& sent = found->second->response;
                   got.status != sent.status) {
            problem = absl::StrCat("server answered with status ", sent.status);
        } else if (
            got.headers.get("X-Attempt-Id") != sent.headers.get("X-Attempt-Id") ||
            got.headers.get("X-Attempt-Id") != it.id) {
            problem = "id differs from the server's answer or the request";
        } else if (got.body != sent.body) {
            problem = "response incomplete or for another request";
        }
        if (!problem.empty()) {
            to.push_back(absl::StrCat(
                problem,
                ": request ",
                it.id,
                " at ",
                it.entry,
                ", status ",
                got.status,
                ", signature ",
                signature,
                ", sent ",
                absl::FormatTime(it.sent)));
        }
    }
}

void ledger::check_departures(
    const disturbances& disturbed, std::vector<std::string>& to) const
{
    for (const auto& it : arrivals_) {
        const auto left = departures_.find(it.server);
        if (left == departures_.end() || it.at <= left->second + departure_bound) {
            continue;
        }
        if (disturbed.is_undisturbed("", left->second - settle_time, it.at)) {
            to.push_back(absl::StrCat(
                "request sent to a server after its departure: request ",
                it.request,
                " at ",
                it.server,
                " ",
                absl::FormatDuration(it.at - left->second),
                " after the acknowledgement"));
        }
    }
}

void ledger::check_customers(
    const disturbances& disturbed, std::vector<std::string>& to) const
{
    absl::btree_map<std::string, const request_record*> sent;
    for (const auto& it : requests_) {
        sent[it.id] = &it;
    }
    for (const auto& it : arrivals_) {
        const auto report = [&](const std::string& what) {
            to.push_back(absl::StrCat(
                what,
                ": request ",
                it.request,
                " at ",
                it.server,
                ", arrived ",
                absl::FormatTime(it.at)));
        };
        if (it.shows_key) {
            report("a server got a key");
        }
        const auto found = sent.find(it.request);
        if (found == sent.end()) {
            continue;
        }
        const request_record& request = *found->second;
        const key_record* key = key_of(request);
        if (key == nullptr || it.at < key->add_sent) {
            if (it.has_run) {
                report("executed without a known key");
            }
            continue;
        }
        if (it.has_run && key->revoked + configuration_bound < request.sent &&
            has_each_change(disturbed, request.entry, request.sent)) {
            report(absl::StrCat(
                "executed under a key revoked ",
                absl::FormatDuration(request.sent - key->revoked),
                " before it was sent"));
        }
        if (it.customer != key->customer) {
            report(absl::StrCat(
                "a server got the name '",
                it.customer,
                "' for a key of '",
                key->customer,
                "'"));
        }
    }
}

void ledger::check_rates(std::vector<std::string>& to) const
{
    absl::btree_map<std::string, std::string> customer_of;
    for (const auto& it : requests_) {
        if (const auto* key = key_of(it)) {
            customer_of[it.id] = key->customer;
        }
    }
    absl::btree_map<std::string, std::vector<std::pair<absl::Time, std::string>>> runs;
    for (const auto& it : arrivals_) {
        const auto found = customer_of.find(it.request);
        if (it.has_run && found != customer_of.end()) {
            runs[found->second].emplace_back(it.at, it.request);
        }
    }
    for (auto& [name, times] : runs) {
        const auto& customer = customers_.at(name);
        if (customer.rate_per_s == 0) {
            continue;
        }
        const double limit =
            (customer.rate_per_s * absl::ToDoubleSeconds(rate_window) + customer.burst) *
                rate_tolerance +
            rate_slack;
        std::sort(times.begin(), times.end());
        std::size_t most = 0;
        std::size_t begin = 0;
        for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
            while (times[last].first - times[first].first >= rate_window) {
                ++first;
            }
            if (last - first + 1 > most) {
                most = last - first + 1;
                begin = first;
            }
        }
        if (static_cast<double>(most) > limit) {
            absl::btree_set<std::string> requests;
            for (std::size_t n = begin; n < begin + most; ++n) {
                requests.insert(times[n].second);
            }
            to.push_back(absl::StrCat(
                "rate exceeded: ",
                most,
                " runs of ",
                name,
                " within 5 s, at most ",
                limit,
                " allowed, for ",
                requests.size(),
                " requests, from ",
                absl::FormatTime(times[begin].first)));
        }
    }
}

/// Applies to every instance, also while faults affect it.
void ledger::check_reads(std::vector<std::string>& to) const
{
    for (const auto& [sent, number] : reads_) {
        for (const auto& [at, acknowledged] : acknowledged_) {
            if (at + configuration_bound < sent && acknowledged > number) {
                to.push_back(absl::StrCat(
                    "stale configuration read: ",
                    number,
                    ", but ",
                    acknowledged,
                    " was acknowledged ",
                    absl::FormatDuration(sent - at),
                    " earlier"));
                break;
            }
        }
    }
}

} // namespace cuminpitch::testing
