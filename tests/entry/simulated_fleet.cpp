#include "simulated_fleet.hpp"

#include "cuminpitch/control/declared_settings.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cstdlib>

namespace cuminpitch::entry {
namespace {

std::string host_of(std::size_t index)
{
    return absl::StrCat("10.1.", index / 256, ".", index % 256);
}

/// Header of each request, by which executions are counted.
constexpr const char* key_header = "Key";
/// A server that accepts no connections refuses one after this time.
constexpr absl::Duration refusal_time = absl::Milliseconds(1);

http::client_result failed(http::failure why, core::verdict verdict)
{
    http::client_result out;
    out.failure = why;
    out.verdict = verdict;
    return out;
}

} // namespace

std::uint64_t from_environment(const char* name, std::uint64_t usual)
{
    const char* text = std::getenv(name);
    std::uint64_t out = 0;
    return text != nullptr && absl::SimpleAtoi(text, &out) ? out : usual;
}

std::uint64_t seeds(std::uint64_t usual)
{
    return from_environment("CUMINPITCH_SEEDS", usual);
}

simulated_fleet::simulated_fleet(const fleet_shape& shape)
    : random_(shape.seed + 1), shape_(shape)
{
    const auto contents = make_contents();
    contents->settings["teams/t/routes/read/host"] = "\"h\"";
    contents->settings["teams/t/routes/read/path_prefix"] = "\"/read\"";
    contents->settings["teams/t/routes/read/pool"] = "\"p\"";
    contents->settings["teams/t/routes/read/idempotent"] = "true";
    for (std::size_t n = 0; n < shape_.entries; ++n) {
        contents->entries[record_of(n).id] = {record_of(n), 1};
        by_host_[host_of(n)] = n;
    }
    for (std::uint32_t n = 0; n < shape_.servers; ++n) {
        add_server(
            *contents,
            absl::StrCat("server-", n),
            server_at(n),
            domain_of(n),
            slots_of(n));
    }
    contents_ = contents;
    fleet_.resize(shape_.entries);
    processes_.resize(shape_.entries);
    for (std::size_t n = 0; n < shape_.entries; ++n) {
        start(n);
    }
}

std::string simulated_fleet::domain_of(std::size_t index) const
{
    return std::string(1, static_cast<char>('a' + index % shape_.domains));
}

control::entry_record simulated_fleet::record_of(std::size_t index) const
{
    const auto at = host_of(index);
    return {
        core::instance_id(absl::StrCat("entry-", index)),
        {at, 80},
        {at, 7000},
        core::failure_domain_id(domain_of(index))};
}

core::endpoint simulated_fleet::server_at(std::size_t index)
{
    return {
        index % 2 == 0 ? "10.0.2.1" : "10.0.2.2",
        static_cast<std::uint16_t>(1000 + index / 2)};
}

std::uint32_t simulated_fleet::slots_of(std::size_t server) const
{
    const bool differs = server == 0 && shape_.first_server_slots != 0;
    return differs ? shape_.first_server_slots : shape_.slots;
}

void simulated_fleet::start(std::size_t entry)
{
    node_options options;
    options.self = record_of(entry);
    options.incarnation = last_process_;
    options.seed = start_seed(options.self.id, options.incarnation + shape_.seed);
    // There is no control instance that the entries could hear from.
    options.isolation_timeout = absl::InfiniteDuration();
    drop_calls(entry);
    processes_[entry] = last_process_;
    fleet_[entry] =
        std::make_unique<node>(options, control::make_compile_function(), metrics_);
    handle(entry, full_state(contents_));
    handle(entry, event::tick{});
}

void simulated_fleet::restart(std::size_t entry)
{
    frozen_.erase(entry);
    ++last_process_;
    start(entry);
}

/// Ends the calls from and to a process that has ended.
void simulated_fleet::drop_calls(std::size_t entry)
{
    std::erase_if(calls_, [&](const auto& it) {
        const bool is_own = it.first.first == entry;
        if (is_own) {
            inputs_.erase(it.second.result);
        }
        return is_own;
    });
    end_hops([&](const call_key& it) { return it.first == entry; });
    for (auto& [id, request] : open_) {
        if (request.entry == entry && request.hop && calls_.contains(*request.hop)) {
            inputs_.erase(calls_.at(*request.hop).result);
            schedule(
                request.hop->first,
                request.hop->second,
                network_delay,
                failed(http::failure::reset, core::verdict::may_have_run));
        }
    }
    std::erase_if(open_, [&](const auto& it) {
        const bool is_lost = it.second.entry == entry;
        lost_requests_ += is_lost && !it.second.hop ? 1 : 0;
        return is_lost;
    });
}

void simulated_fleet::freeze(std::size_t entry)
{
    frozen_[entry];
}

void simulated_fleet::resume(std::size_t entry)
{
    const auto found = frozen_.find(entry);
    if (found == frozen_.end()) {
        return;
    }
    auto held = std::move(found->second);
    frozen_.erase(found);
    for (auto& it : held) {
        handle(entry, std::move(it));
    }
}

void simulated_fleet::run_load(
    std::size_t requests, absl::Duration time, std::size_t active)
{
    const auto n_active = active == 0 ? shape_.entries : active;
    const auto begin = now_;
    for (std::size_t n = 0; n < requests; ++n) {
        advance(begin + time * n / requests);
        send(n % n_active);
    }
    advance(begin + time);
}

std::size_t simulated_fleet::run_random_load(double utilization, absl::Duration time)
{
    const auto requests = static_cast<std::size_t>(
        utilization * shape_.slots * shape_.servers *
        absl::FDivDuration(time, shape_.mean_service_time));
    const auto begin = now_;
    for (std::size_t n = 0; n < requests; ++n) {
        advance(begin + time * n / requests);
        send(random_() % shape_.entries, n % 3 == 0);
    }
    advance(begin + time);
    return requests;
}

void simulated_fleet::send(std::size_t entry, bool is_idempotent)
{
    const core::request_id id(++last_request_);
    auto message = std::make_shared<http::request>();
    message->method = is_idempotent ? "GET" : "POST";
    message->target = message->path = is_idempotent ? "/read" : "/x";
    message->headers.add("Host", "h");
    message->headers.add(key_header, absl::StrCat(last_request_));
    if (shape_.deadline > absl::ZeroDuration()) {
        message->headers.add(
            "Cuminpitch-Deadline-Ms",
            absl::StrCat(absl::ToInt64Milliseconds(shape_.deadline)));
    }
    open_[id] = {now_, entry, is_idempotent, absl::StrCat(last_request_), std::nullopt};
    handle(entry, event::http_request{id, std::move(message)});
}

std::optional<link_fault>
simulated_fleet::fault_between(std::size_t entry, const core::endpoint& server) const
{
    const auto found = link_faults_.find(entry);
    const bool is_cut =
        found != link_faults_.end() &&
        (found->second.servers.empty() || found->second.servers.contains(server));
    return is_cut ? std::optional(found->second.fault) : std::nullopt;
}

void simulated_fleet::cut_links(
    std::size_t entry, link_fault fault, const std::set<core::endpoint>& servers)
{
    link_faults_[entry] = {fault, servers};
    for (auto& [key, it] : calls_) {
        if (key.first != entry || by_host_.contains(it.to.host) ||
            !fault_between(entry, it.to)) {
            continue;
        }
        if (fault == link_fault::reset) {
            inputs_.erase(it.result);
            schedule(
                entry,
                key.second,
                refusal_time,
                failed(http::failure::reset, core::verdict::may_have_run));
        } else if (fault == link_fault::dropped) {
            it.held_up = std::get<event::call_finished>(it.result->second.what).result;
            inputs_.erase(it.result);
            schedule(
                entry,
                key.second,
                it.began + it.timeout - now_,
                failed(http::failure::timeout, core::verdict::may_have_run));
        }
    }
}

void simulated_fleet::restore_links(std::size_t entry)
{
    link_faults_.erase(entry);
    std::erase_if(idle_connections_, [&](const auto& it) { return it.first == entry; });
    constexpr absl::Duration retransmission_time = absl::Milliseconds(200);
    for (auto& [key, it] : calls_) {
        if (key.first == entry && it.held_up) {
            inputs_.erase(it.result);
            auto result = *std::exchange(it.held_up, std::nullopt);
            schedule(entry, key.second, retransmission_time, std::move(result));
        }
    }
}

void simulated_fleet::schedule(
    std::size_t entry, call_id call, absl::Duration after, http::client_result result)
{
    auto& it = calls_.at({entry, call});
    const auto at = now_ + std::max(after, absl::ZeroDuration());
    result.elapsed = at - it.began;
    it.result = inputs_.emplace(
        at,
        input{entry, processes_[entry], event::call_finished{call, std::move(result)}});
}

void simulated_fleet::advance(absl::Time until)
{
    while (std::min(next_tick_, next_input()) <= until) {
        if (next_tick_ <= next_input()) {
            now_ = next_tick_;
            next_tick_ += tick_interval;
            for (std::size_t n = 0; n < shape_.entries; ++n) {
                if (!frozen_.contains(n)) {
                    handle(n, event::tick{});
                }
            }
        } else {
            auto first = inputs_.extract(inputs_.begin());
            now_ = first.key();
            if (const auto* done =
                    std::get_if<event::call_finished>(&first.mapped().what)) {
                calls_.erase({first.mapped().entry, done->call});
            }
            if (first.mapped().process == processes_[first.mapped().entry]) {
                handle(first.mapped().entry, std::move(first.mapped().what));
            }
        }
    }
    now_ = until;
}

absl::Time simulated_fleet::next_input() const
{
    return inputs_.empty() ? absl::InfiniteFuture() : inputs_.begin()->first;
}

void simulated_fleet::handle(std::size_t entry, node_event what)
{
    if (const auto held = frozen_.find(entry); held != frozen_.end()) {
        held->second.push_back(std::move(what));
        return;
    }
    for (auto& it : fleet_[entry]->handle(now_, std::move(what))) {
        if (auto* call = std::get_if<action::start_call>(&it)) {
            run(entry, *call);
        } else if (auto* sent = std::get_if<action::send_frame>(&it)) {
            deliver(entry, *sent);
        } else if (auto* cancelled = std::get_if<action::cancel_call>(&it)) {
            cancel(entry, cancelled->call);
        } else if (auto* responded = std::get_if<action::http_respond>(&it)) {
            respond(*responded);
        }
    }
}

void simulated_fleet::respond(const action::http_respond& responded)
{
    const auto found = open_.find(responded.id);
    if (found == open_.end()) {
        return;
    }
    const auto request = found->second;
    open_.erase(found);
    if (!request.hop) {
        const auto& fields = responded.response.headers;
        responses_.push_back(
            {responded.response.status,
             now_ - request.sent,
             fields.get("Cuminpitch-Reason"),
             fields.get("Retry-After"),
             request.entry,
             request.is_idempotent,
             fields.get("Cuminpitch-Verdict"),
             request.key,
             request.sent});
    } else if (const auto call = calls_.find(*request.hop); call != calls_.end()) {
        inputs_.erase(call->second.result);
        http::client_result result;
        result.verdict = core::verdict::ran;
        result.response = responded.response;
        schedule(call->first.first, call->first.second, network_delay, std::move(result));
    }
}

void simulated_fleet::run(std::size_t entry, const action::start_call& call)
{
    const auto& request = call.request;
    calls_[{entry, call.call}] = {
        request.to, now_, request.timeout, true, inputs_.end(), {}};
    if (const auto to = by_host_.find(request.to.host); to != by_host_.end()) {
        run_hop(entry, to->second, call);
        return;
    }
    const bool is_reused =
        !request.fresh_connection && idle_connections_.contains({entry, request.to});
    if (const auto fault = fault_between(entry, request.to)) {
        const bool is_dropped = *fault == link_fault::dropped;
        if (is_reused && *fault != link_fault::refused) {
            idle_connections_.erase({entry, request.to});
            schedule(
                entry,
                call.call,
                is_dropped ? request.timeout : refusal_time,
                failed(
                    is_dropped ? http::failure::timeout : http::failure::reset,
                    core::verdict::may_have_run));
            return;
        }
        if (!is_reused) {
            auto result = failed(http::failure::connect, core::verdict::not_run);
            result.connect_timed_out = is_dropped;
            schedule(
                entry,
                call.call,
                is_dropped ? request.connect_timeout : refusal_time,
                std::move(result));
            return;
        }
    }
    arrivals_by_server_[request.to].push_back({now_, entry});
    auto result = serve(request.to);
    result.reused_connection = is_reused;
    if (result.verdict == core::verdict::ran && request.headers.has(key_header)) {
        ++executions_[request.headers.get(key_header)];
    }
    if (result.failure == http::failure::none) {
        idle_connections_.insert({entry, request.to});
    } else {
        idle_connections_.erase({entry, request.to});
    }
    auto after = result.elapsed;
    if (after > request.timeout) {
        after = request.timeout;
        result = failed(http::failure::timeout, core::verdict::may_have_run);
    }
    schedule(entry, call.call, after, std::move(result));
}

void simulated_fleet::run_hop(
    std::size_t entry, std::size_t to, const action::start_call& call)
{
    ++hops_;
    const auto& request = call.request;
    if (cut_.contains(entry) || cut_.contains(to)) {
        auto result = failed(http::failure::connect, core::verdict::not_run);
        result.connect_timed_out = true;
        schedule(entry, call.call, request.connect_timeout, std::move(result));
        return;
    }
    schedule(
        entry,
        call.call,
        request.timeout,
        failed(http::failure::timeout, core::verdict::may_have_run));
    auto message = std::make_shared<http::request>();
    message->method = request.method;
    message->target = message->path = request.target;
    message->headers = request.headers;
    message->body = request.content();
    const core::request_id id(++last_request_);
    open_[id] = {now_, to, false, {}, call_key{entry, call.call}};
    inputs_.emplace(
        now_ + network_delay,
        input{to, processes_[to], event::http_request{id, std::move(message)}});
}

void simulated_fleet::cancel(std::size_t entry, call_id call)
{
    const call_key key{entry, call};
    const auto found = calls_.find(key);
    if (found == calls_.end()) {
        return;
    }
    inputs_.erase(found->second.result);
    calls_.erase(found);
    end_hops([&](const call_key& it) { return it == key; });
}

/// Closes the connections of these hops at the entries to which they were sent.
void simulated_fleet::end_hops(const std::function<bool(const call_key&)>& is_ended)
{
    std::erase_if(open_, [&](const auto& it) {
        const auto& [id, request] = it;
        if (!request.hop || !is_ended(*request.hop)) {
            return false;
        }
        const auto to = request.entry;
        inputs_.emplace(
            now_ + network_delay, input{to, processes_[to], event::caller_gone{id}});
        return true;
    });
}

http::client_result simulated_fleet::serve(const core::endpoint& server)
{
    http::client_result out;
    out.verdict = core::verdict::ran;
    out.response.status = 200;
    out.elapsed = response_time(server);
    return out;
}

/// A server processes up to `slots` requests at a time and queues others in FIFO order.
absl::Duration simulated_fleet::response_time(const core::endpoint& server)
{
    auto& completions = completions_[server];
    std::erase_if(completions, [&](absl::Time it) { return it <= now_; });
    auto start = now_;
    const auto slots = slots_of(server == server_at(0) ? 0 : 1);
    if (completions.size() >= slots) {
        ++sent_to_full_;
        std::sort(completions.begin(), completions.end());
        start = completions[completions.size() - slots];
    }
    // The duration of a request is uniform between 0.5 and 1.5 times the mean.
    const double factor = 0.5 + static_cast<double>(random_() % 1000) / 1000;
    completions.push_back(start + factor * shape_.mean_service_time);
    return completions.back() - now_;
}

void simulated_fleet::deliver(std::size_t from, action::send_frame& sent)
{
    const auto to = by_host_.find(sent.to.host);
    if (to == by_host_.end() || cut_.contains(from) || cut_.contains(to->second)) {
        return;
    }
    count_message(sent.message);
    const net::peer sender{record_of(from).id, record_of(from).internal};
    inputs_.emplace(
        now_ + network_delay,
        input{
            to->second,
            processes_[to->second],
            event::frame_received{sender, std::move(sent.message)}});
}

} // namespace cuminpitch::entry
