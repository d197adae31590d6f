#include "response_head_priv.hpp"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>

#include <algorithm>

namespace cuminpitch::http {
namespace {

bool is_digit(char it)
{
    return absl::ascii_isdigit(static_cast<unsigned char>(it));
}

bool is_text(std::string_view it)
{
    return std::all_of(it.begin(), it.end(), [](char c) {
        return c == '\t' || !absl::ascii_iscntrl(static_cast<unsigned char>(c));
    });
}

/// A token of RFC 9110, section 5.6.2.
bool is_token(std::string_view it)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return !it.empty() && std::all_of(it.begin(), it.end(), [&](char c) {
        return absl::ascii_isalnum(static_cast<unsigned char>(c)) ||
               marks.find(c) != std::string_view::npos;
    });
}

/// The status of a line "HTTP/1.1 200", with or without a blank and a reason behind it,
/// or 0 if the line doesn't begin so or the status is none.
int read_status(std::string_view line)
{
    constexpr std::string_view pattern = "HTTP/1.d ddd";
    constexpr std::size_t status_at = 9;
    if (line.size() < pattern.size()) {
        return 0;
    }
    for (std::size_t i = 0; i < pattern.size(); ++i) {
        if (pattern[i] == 'd' ? !is_digit(line[i]) : line[i] != pattern[i]) {
            return 0;
        }
    }
    if (line.size() > pattern.size() && line[pattern.size()] != ' ') {
        return 0;
    }
    int out = 0;
    for (const char digit : line.substr(status_at, 3)) {
        out = 10 * out + (digit - '0');
    }
    constexpr int min_status = 100;
    constexpr int max_status = 599; // RFC 9110, section 15.
    return out >= min_status && out <= max_status ? out : 0;
}

} // namespace

mismatch response_head::add(std::string_view line)
{
    bytes_ += line.size();
    if (bytes_ > limit_bytes) {
        return mismatch::head_too_long;
    }
    if (is_final()) {
        return mismatch::none; // Trailers were not requested (RFC 9110, 6.5.1).
    }
    if (line.ends_with('\n')) {
        line.remove_suffix(line.ends_with("\r\n") ? 2 : 1);
    }
    if (status_ == 0 || is_complete_) {
        return add_status_line(line);
    }
    if (line.empty()) {
        is_complete_ = true;
        return is_final() ? check_framing() : mismatch::none;
    }
    return add_field(line);
}

/// Whether a status line could begin inside the line, also one that isn't proper.
bool response_head::begins_later(std::string_view line) const
{
    if (is_first_response_) {
        return false;
    }
    const std::string text =
        absl::AsciiStrToLower(absl::string_view(line.data(), line.size()));
    for (auto at = text.find("http", 1); at != std::string::npos;
         at = text.find("http", at + 1)) {
        const auto version_end = text.find_first_not_of("/.0123456789", at + 4);
        const auto status = text.find_first_not_of(" \t", version_end);
        if (status != std::string::npos && status > version_end &&
            is_digit(text[status])) {
            return true;
        }
    }
    return false;
}

mismatch response_head::add_status_line(std::string_view line)
{
    is_complete_ = false;
    fields_ = {};
    status_ = read_status(line);
    if (status_ == 0 || !is_text(line)) {
        return mismatch::status_line;
    }
    return begins_later(line) ? mismatch::joined_messages : mismatch::none;
}

mismatch response_head::add_field(std::string_view line)
{
    const auto colon = line.find(':');
    // Also rejects a line that continues the one before it, which is obsolete, and a
    // second status line.
    if (colon == std::string_view::npos || !is_token(line.substr(0, colon)) ||
        !is_text(line)) {
        return mismatch::field_line;
    }
    if (begins_later(line)) {
        return mismatch::joined_messages;
    }
    std::string value(line.substr(colon + 1));
    absl::StripAsciiWhitespace(&value);
    const auto name = line.substr(0, colon);
    const absl::string_view key(name.data(), name.size());
    const bool is_number =
        !value.empty() && std::all_of(value.begin(), value.end(), is_digit);
    if (absl::EqualsIgnoreCase(key, "Content-Length") &&
        (!is_number ||
         (fields_.has("Content-Length") && fields_.get("Content-Length") != value))) {
        return mismatch::framing;
    }
    // libcurl passes other codings on as they are, and doesn't notice where they end.
    if (absl::EqualsIgnoreCase(key, "Transfer-Encoding") &&
        !absl::EqualsIgnoreCase(value, "chunked")) {
        return mismatch::framing;
    }
    fields_.add(std::string(name), std::move(value));
    return mismatch::none;
}

/// Either the length or the coding may give the end of the body.
mismatch response_head::check_framing() const
{
    const auto codings = fields_.count("Transfer-Encoding");
    const bool is_ambiguous =
        codings > 1 || (codings > 0 && fields_.has("Content-Length"));
    return is_ambiguous ? mismatch::framing : mismatch::none;
}

} // namespace cuminpitch::http
