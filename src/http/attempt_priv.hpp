#pragma once

#include "cuminpitch/http/client.hpp"

#include "received_bytes_priv.hpp"

#include <absl/time/time.h>
#include <curl/curl.h>

#include <chrono>
#include <memory>
#include <string>

namespace cuminpitch::http {

/// One attempt to send a request and receive its response with libcurl.
class attempt
{
public:
    /// `received` must outlive the attempt.
    attempt(
        client_request request,
        client::callback done,
        bool allow_resend,
        received_bytes& received);
    ~attempt();
    attempt(const attempt&) = delete;
    attempt& operator=(const attempt&) = delete;

    /// Null if libcurl could not allocate the handle.
    CURL* easy() { return easy_.get(); }
    void finish(CURLcode code);
    void cancel();
    /// Reports failure::endless_response.
    void abort_endless();

    /// Bytes of the response body held in memory.
    std::uint64_t held_bytes() const { return held_bytes_; }
    /// True if the server sent more chunk framing than its limit.
    bool exceeds_framing_limit() const { return exceeds_framing_limit_; }

private:
    static int may_send(void* self, char*, char*, int, int);
    static std::size_t take_header(char* data, std::size_t, std::size_t n, void* self);
    static std::size_t take_body(char* data, std::size_t, std::size_t n, void* self);
    static int
    count_wire_bytes(CURL*, curl_infotype what, char* data, std::size_t n, void* self);

    void set_options();
    void set_method();
    void add_headers();
    bool header_line(std::string line);
    void finish_head();
    http::failure failure_of(CURLcode code) const;
    http::failure check_framing() const;
    void report(http::failure why);

    client_request request_;
    client::callback done_;
    const bool allow_resend_;
    received_bytes& received_;
    std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> easy_;
    std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)> fields_;
    std::chrono::steady_clock::time_point begin_ = std::chrono::steady_clock::now();
    response response_;
    std::size_t header_bytes_ = 0;
    std::uint64_t held_bytes_ = 0;
    std::uint64_t wire_body_bytes_ = 0; ///< Bytes of a chunked body, with framing.
    unsigned sends_ = 0;
    bool is_head_complete_ = false;
    bool is_final_ = false; ///< The headers of the final response are complete.
    bool exceeds_body_limit_ = false;
    bool exceeds_framing_limit_ = false;
    bool malformed_ = false;
    bool connect_timed_out_ = false;
};

} // namespace cuminpitch::http
