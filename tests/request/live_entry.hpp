#pragma once

#include "fixture.hpp"

#include "cuminpitch/http/server.hpp"

#include <absl/strings/str_cat.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>

namespace cuminpitch::request {

/// Like the dialect of the users' platform, with shorter names.
inline dispatcher_options platform_options()
{
    dispatcher_options out;
    out.dialect.not_run = "N";
    out.dialect.not_run_value = "";
    out.dialect.correlation = "C";
    out.dialect.success_header = "P";
    out.dialect.unavailable_means_not_run = true;
    out.dialect.accepts_close_delimited = true;
    out.dialect.terse_refusals = true;
    return out;
}

/// An entry: a dispatcher whose actions are carried out by the HTTP server and client.
class live_entry
{
public:
    explicit live_entry(
        const pool_update& pool,
        const dispatcher_options& options = {},
        const std::shared_ptr<const config::declarations>& declared = two_teams())
        : client_(http::client::create()),
          dispatcher_(options, core::random_source(1), counters_)
    {
        dispatcher_.set_routes(std::make_shared<route_table>(declared));
        dispatcher_.update_pool(absl::Now(), pool);
        http::server_options listening;
        listening.listen = {"127.0.0.1", 0};
        auto made = http::server::create(
            listening,
            [this](http::request in, const std::shared_ptr<http::exchange>& to) {
                receive(std::move(in), to);
            });
        server_ = std::move(made).value();
    }
    ~live_entry()
    {
        server_.reset(); // Stops new events first, then results.
        client_.reset();
    }
    live_entry(const live_entry&) = delete;

    core::endpoint at() const { return server_->listening(); }
    /// The decisions about all requests, one a line, if the dispatcher explains them.
    std::string decisions()
    {
        const absl::MutexLock lock(&mutex_);
        return decisions_;
    }
    void check_timers() { handle(tick{}); }

private:
    void receive(http::request in, const std::shared_ptr<http::exchange>& to)
    {
        const absl::MutexLock lock(&mutex_);
        last_ = last_.next();
        waiting_[last_] = to;
        const request_id id = last_;
        to->on_caller_gone([this, id] { handle(caller_gone{id}); });
        const auto message = std::make_shared<const http::request>(std::move(in));
        carry_out(dispatcher_.handle(absl::Now(), request_received{id, message}));
    }
    void handle(event it)
    {
        const absl::MutexLock lock(&mutex_);
        carry_out(dispatcher_.handle(absl::Now(), std::move(it)));
    }
    void send(const outgoing_request& it)
    {
        handles_[it.attempt] = client_->start(
            make_client_request(it), [this, id = it.attempt](http::client_result result) {
                handle(attempt_finished{id, std::move(result)});
            });
    }
    void note(const explain& it)
    {
        decisions_ += it.correlation + " " + it.what;
        for (const auto& field : it.inputs) {
            decisions_ += " " + field.name + "=";
            std::visit(
                [this](const auto& value) { absl::StrAppend(&decisions_, value); },
                field.value);
        }
        decisions_ += "\n";
    }
    void carry_out(const std::vector<action>& actions)
    {
        for (const auto& each : actions) {
            if (const auto* it = std::get_if<start_attempt>(&each)) {
                send(it->send);
            } else if (const auto* it = std::get_if<forward>(&each)) {
                send(it->send);
            } else if (const auto* it = std::get_if<cancel_attempt>(&each)) {
                client_->cancel(handles_.at(it->attempt));
            } else if (const auto* it = std::get_if<respond>(&each)) {
                waiting_.extract(it->request).mapped()->respond(it->response);
            } else if (const auto* it = std::get_if<refuse>(&each)) {
                waiting_.extract(it->request).mapped()->respond(it->response);
            } else if (const auto* it = std::get_if<explain>(&each)) {
                note(*it);
            }
        }
    }

    absl::Mutex mutex_;
    std::string decisions_;
    telemetry::metrics counters_;
    std::unique_ptr<http::client> client_;
    dispatcher dispatcher_;
    request_id last_;
    std::map<request_id, std::shared_ptr<http::exchange>> waiting_;
    std::map<attempt_id, http::client::handle> handles_;
    std::unique_ptr<http::server> server_;
};

} // namespace cuminpitch::request
