#pragma once

#include "cuminpitch/http/client.hpp"

#include "connection_table_priv.hpp"
#include "received_bytes_priv.hpp"
#include "response_head_priv.hpp"

#include <absl/time/time.h>
#include <curl/curl.h>

#include <chrono>
#include <memory>
#include <string>
#include <string_view>

namespace cuminpitch::http {

/// One attempt to send a request and receive its response with libcurl.
class attempt
{
public:
    /// `received` must outlive the attempt, and `connections` also the connections that
    /// libcurl keeps after it.
    attempt(
        client_request request,
        client::callback done,
        bool allow_resend,
        received_bytes& received,
        connection_table& connections);
    ~attempt();
    attempt(const attempt&) = delete;
    attempt& operator=(const attempt&) = delete;

    /// Null if libcurl could not allocate the handle.
    CURL* easy() { return easy_.get(); }
    void finish(CURLcode code);
    /// True if the attempt has found a connection that it must not use, which libcurl has
    /// closed. The caller must then start the transfer again, on a new connection.
    bool needs_restart();
    void cancel();
    /// Reports failure::endless_response.
    void abort_endless();

    /// Bytes of the response body held in memory.
    std::uint64_t held_bytes() const { return held_bytes_; }
    /// True if the server sent more chunk framing than its limit.
    bool exceeds_framing_limit() const { return exceeds_framing_limit_; }

private:
    static int may_send(void* self, char*, char*, int, int local_port);
    static curl_socket_t open_socket(void* self, curlsocktype, curl_sockaddr* to);
    static int close_socket(void* connections, curl_socket_t it);
    static std::size_t take_header(char* data, std::size_t, std::size_t n, void* self);
    static std::size_t take_body(char* data, std::size_t, std::size_t n, void* self);
    static int
    count_wire_bytes(CURL*, curl_infotype what, char* data, std::size_t n, void* self);

    void set_options();
    void set_method();
    void add_headers();
    /// Notes how the connection was used before this request. Returns false if it must
    /// not be used: bytes that arrive before the request can't belong to its response.
    bool may_use_connection(int local_port);
    bool header_line(std::string_view line);
    void finish_head();
    /// Rejects the response. Only the first reason is kept.
    void reject(mismatch why, std::string_view line);
    /// True if libcurl closed the connection though the response lets it be kept. It does
    /// so if it has read bytes beyond the end of a body, or if the response came before
    /// the request was sent completely.
    bool has_surplus() const;
    http::failure failure_of(CURLcode code);
    http::failure check_framing();
    void report(http::failure why);

    client_request request_;
    client::callback done_;
    const bool allow_resend_;
    received_bytes& received_;
    connection_table& connections_;
    std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> easy_;
    std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)> fields_;
    std::chrono::steady_clock::time_point begin_ = std::chrono::steady_clock::now();
    response response_;
    bool is_new_connection_ = true;
    bool needs_restart_ = false;
    std::uint32_t discarded_bytes_ = 0; ///< Found on a connection that wasn't used.
    response_head head_;
    std::uint64_t held_bytes_ = 0;
    std::uint64_t wire_body_bytes_ = 0; ///< Bytes of a chunked body, with framing.
    unsigned sends_ = 0;
    curl_socket_t opened_socket_ = CURL_SOCKET_BAD;
    int local_port_ = 0; ///< Of the connection on which the request was sent.
    connection_use use_;
    mismatch mismatch_ = mismatch::none;
    std::string excerpt_;
    bool exceeds_body_limit_ = false;
    bool exceeds_framing_limit_ = false;
    bool is_reuse_forbidden_ = false;
    bool connect_timed_out_ = false;
};

} // namespace cuminpitch::http
