#include "fake_control.hpp"

#include <algorithm>
#include <arpa/inet.h>

namespace cuminpitch::cli {

fake_control::fake_control()
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    daemon_ = MHD_start_daemon(
        MHD_USE_INTERNAL_POLLING_THREAD,
        0,
        nullptr,
        nullptr,
        &fake_control::on_call,
        this,
        MHD_OPTION_SOCK_ADDR,
        reinterpret_cast<sockaddr*>(&address),
        MHD_OPTION_NOTIFY_COMPLETED,
        &fake_control::on_completed,
        nullptr,
        MHD_OPTION_END);
}

fake_control::~fake_control()
{
    MHD_stop_daemon(daemon_);
}

std::string fake_control::endpoint() const
{
    const auto* info = MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_BIND_PORT);
    return "127.0.0.1:" + std::to_string(info->port);
}

MHD_Result fake_control::on_call(
    void* self,
    MHD_Connection* connection,
    const char* url,
    const char* method,
    const char*,
    const char* data,
    size_t* size,
    void** state)
{
    if (*state == nullptr) {
        *state = new upload;
        return MHD_YES;
    }
    auto& body = static_cast<upload*>(*state)->body;
    if (*size > 0) {
        body.append(data, *size);
        *size = 0;
        return MHD_YES;
    }
    const reply it = static_cast<fake_control*>(self)->handle(method, url, body);
    if (it.lost) {
        return MHD_NO;
    }
    std::string text = it.body.dump();
    auto* response =
        MHD_create_response_from_buffer(text.size(), text.data(), MHD_RESPMEM_MUST_COPY);
    const auto result = MHD_queue_response(connection, it.status, response);
    MHD_destroy_response(response);
    return result;
}

void fake_control::on_completed(
    void*, MHD_Connection*, void** state, MHD_RequestTerminationCode)
{
    delete static_cast<upload*>(*state);
    *state = nullptr;
}

fake_control::reply fake_control::handle(
    const std::string& method, const std::string& url, const std::string& body)
{
    const std::lock_guard lock(mutex_);
    calls.push_back(method + " " + url);
    if (method == "POST") {
        bodies.push_back(json::parse(body));
        if (!leader.empty()) {
            return {421, {{"leader", leader}}};
        }
        if (unknown_outcomes > 0) {
            --unknown_outcomes;
            return {503, {{"outcome", "unknown"}}};
        }
    }
    if (url == "/v1/changes" && method == "POST") {
        reply it = change(bodies.back());
        it.lost = lost_responses > 0;
        lost_responses -= it.lost ? 1 : 0;
        return it;
    }
    if (url == "/v1/settings") {
        return {200, {{"revision", revision}, {"settings", settings}}};
    }
    if (url == "/v1/changes") {
        return {200, {{"changes", changes}}};
    }
    if (url == "/v1/status") {
        return status();
    }
    return {200, json::object()};
}

fake_control::reply fake_control::change(const json& body)
{
    const std::string id = body["id"];
    const auto applied = [&] {
        return reply{200, {{"outcome", "applied"}, {"revision", revision}}};
    };
    if (std::count(applied_ids_.begin(), applied_ids_.end(), id) > 0) {
        return applied();
    }
    if (!invalid_problems.is_null()) {
        return {422, {{"outcome", "invalid"}, {"problems", invalid_problems}}};
    }
    if (body["base_revision"] < revision) {
        return {
            409,
            {{"outcome", "conflict"},
             {"revision", revision},
             {"paths", {"teams/a/pools/p/entries"}}}};
    }
    applied_ids_.push_back(id);
    ++revision;
    for (const auto& operation : body["operations"]) {
        const std::string path = operation["path"];
        if (operation.contains("delete")) {
            settings.erase(path);
        } else {
            settings[path] = operation["value"];
        }
    }
    changes.push_back(
        {{"revision", revision},
         {"id", id},
         {"time_ms", 1'700'000'000'000},
         {"operations", body["operations"]}});
    return applied();
}

fake_control::reply fake_control::status()
{
    auto lacking = json::array();
    if (lacking_reports > 0) {
        --lacking_reports;
        lacking.push_back({{"id", "entry-3"}, {"revision", 1}, {"since_ms", 40}});
    }
    const json instance = {
        {"id", "entry-3"},
        {"role", "entry"},
        {"failure_domain", "olinda"},
        {"revision", revision},
        {"contact_in_ms", 12},
        {"contact_out_ms", nullptr},
        {"draining", false}};
    return {
        200,
        {{"revision", revision},
         {"leader", "control-1"},
         {"term", 2},
         {"instances", json::array({instance})},
         {"lacking", lacking}}};
}

} // namespace cuminpitch::cli
