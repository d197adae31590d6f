#pragma once

#include "cuminpitch/http/client.hpp"

#include <absl/time/time.h>
#include <curl/curl.h>

#include <chrono>
#include <memory>
#include <string>

namespace cuminpitch::http {

/// One send of a request with libcurl.
class attempt
{
public:
    attempt(client_request request, client::callback done, bool allow_resend);
    attempt(const attempt&) = delete;
    attempt& operator=(const attempt&) = delete;

    /// Null if libcurl has no memory.
    CURL* easy() { return easy_.get(); }
    void finish(CURLcode code);
    void cancel();

private:
    static int may_send(void* self, char*, char*, int, int);
    static std::size_t take_header(char* data, std::size_t, std::size_t n, void* self);
    static std::size_t take_body(char* data, std::size_t, std::size_t n, void* self);

    void set_options();
    void set_method();
    void add_headers();
    bool header_line(std::string line);
    http::failure failure_of(CURLcode code) const;
    http::failure check_framing() const;
    void report(http::failure why);

    client_request request_;
    client::callback done_;
    const bool allow_resend_;
    std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> easy_;
    std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)> fields_;
    std::chrono::steady_clock::time_point begin_ = std::chrono::steady_clock::now();
    response response_;
    std::size_t header_bytes_ = 0;
    unsigned sends_ = 0;
    bool is_head_whole_ = false;
    bool too_large_ = false;
    bool malformed_ = false;
    bool connect_timed_out_ = false;
};

} // namespace cuminpitch::http
