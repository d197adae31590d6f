#pragma once

#include "cuminpitch/http/message.hpp"

#include <boost/beast/http/basic_parser.hpp>

#include <functional>
#include <string_view>

namespace cuminpitch::http {

/// Parses one request from pieces of its bytes.
class request_parser : private boost::beast::http::basic_parser<true>
{
public:
    enum class state
    {
        needs_more, ///< All bytes that could be used have been used.
        head_done,  ///< Returned once, before the body is parsed.
        complete,
        head_too_long,
        malformed,
    };
    /// Gets the body piece by piece.
    using body_sink = std::function<void(std::string_view)>;

    explicit request_parser(body_sink sink);

    /// Parses `bytes`, which begin with the bytes that the call before did not use, and
    /// adds the number of used bytes to `used`.
    state parse(std::string_view bytes, std::size_t& used);

    /// Request line and headers, without trailers. `path` and `query` are not set.
    request message;

    bool is_http_1_1() const { return version_ > http_1_0; }
    /// True if the connection stays open after the response.
    bool is_persistent() const { return is_persistent_; }
    bool has_body() const { return has_body_; }
    /// Length in Content-Length, or 0.
    std::uint64_t announced_bytes() const { return announced_bytes_; }

private:
    using base = boost::beast::http::basic_parser<true>;
    using view = boost::beast::string_view;
    using error = boost::beast::error_code;
    static constexpr int http_1_0 = 10;

    bool finish_head();

    void on_request_impl(
        boost::beast::http::verb verb,
        view method,
        view target,
        int version,
        error& ec) override;
    void on_response_impl(int, view, int, error&) override {}
    void on_field_impl(
        boost::beast::http::field field, view name, view value, error& ec) override;
    void on_header_impl(error&) override {}
    void on_body_init_impl(const boost::optional<std::uint64_t>&, error&) override {}
    std::size_t on_body_impl(view body, error& ec) override;
    void on_chunk_header_impl(std::uint64_t, view, error&) override {}
    std::size_t
    on_chunk_body_impl(std::uint64_t remaining, view body, error& ec) override;
    void on_finish_impl(error&) override {}

    body_sink sink_;
    int version_ = 0;
    std::size_t head_bytes_ = 0;
    std::uint64_t announced_bytes_ = 0;
    bool is_head_done_ = false;
    bool is_persistent_ = false;
    bool has_body_ = false;
};

} // namespace cuminpitch::http
