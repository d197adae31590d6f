#pragma once

#include <memory>
#include <microhttpd.h>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace cuminpitch::cli {

/// Fake of a control instance: applies changes to a settings map and implements the
/// operator API. Faults must be set before the first call.
class fake_control
{
public:
    using json = nlohmann::json;

    fake_control();
    ~fake_control();
    fake_control(const fake_control&) = delete;
    fake_control& operator=(const fake_control&) = delete;

    std::string endpoint() const;

    // State, to be read only after the command has ended.
    json settings = json::object();
    std::uint64_t revision = 1;
    std::vector<json> changes;      ///< All applied changes.
    std::vector<std::string> calls; ///< "<method> <url>" of all calls.
    std::vector<json> bodies;       ///< Bodies of all POST calls.

    // Faults to inject.
    std::string leader;       ///< If set, POST gets status 421 with this leader.
    int lost_responses = 0;   ///< Changes to apply without sending a response.
    int unknown_outcomes = 0; ///< POST calls that get 503 and are not applied.
    json invalid_problems;    ///< If not null, changes get 422 with these.
    int lacking_reports = 0;  ///< Status calls that report a lacking instance.

private:
    struct reply
    {
        int status = 200;
        json body;
        bool lost = false;
    };
    struct upload
    {
        std::string body;
    };

    static MHD_Result on_call(
        void* self,
        MHD_Connection* connection,
        const char* url,
        const char* method,
        const char* version,
        const char* data,
        size_t* size,
        void** state);
    static void
    on_completed(void*, MHD_Connection*, void** state, MHD_RequestTerminationCode);

    reply
    handle(const std::string& method, const std::string& url, const std::string& body);
    reply change(const json& body);
    reply status();

    std::mutex mutex_;
    std::vector<std::string> applied_ids_;
    MHD_Daemon* daemon_ = nullptr;
};

} // namespace cuminpitch::cli
