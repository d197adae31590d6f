#include "response_bytes_priv.hpp"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <ctime>

namespace cuminpitch::http {
namespace {

constexpr int no_content = 204;
constexpr int not_modified = 304;
constexpr std::size_t typical_head_bytes = 256;

/// The value of the header Date, formatted once a second and thread.
const std::string& date_now()
{
    thread_local std::time_t formatted_at = 0;
    thread_local std::string text;
    const std::time_t now = std::time(nullptr);
    if (now != formatted_at) {
        std::tm parts{};
        ::gmtime_r(&now, &parts);
        char buf[40] = "";
        const auto n =
            std::strftime(buf, sizeof buf, "%a, %d %b %Y %H:%M:%S GMT", &parts);
        text.assign(buf, n);
        formatted_at = now;
    }
    return text;
}

std::string reason_phrase(int status)
{
    namespace beast = boost::beast::http;
    const auto known = beast::int_to_status(static_cast<unsigned>(status));
    if (known == beast::status::unknown) {
        return "Unknown";
    }
    const auto text = beast::obsolete_reason(known);
    return {text.data(), text.size()};
}

bool is_written_by_server(const std::string& name)
{
    return absl::EqualsIgnoreCase(name, "Content-Length") ||
           absl::EqualsIgnoreCase(name, "Transfer-Encoding") ||
           absl::EqualsIgnoreCase(name, "Connection");
}

/// False if the field would end early and let a value add fields or a second response.
bool is_one_line(const std::string& name, const std::string& value)
{
    const auto ends_line = [](char c) { return c == '\r' || c == '\n' || c == '\0'; };
    return !name.empty() && std::none_of(name.begin(), name.end(), ends_line) &&
           std::none_of(value.begin(), value.end(), ends_line);
}

/// The value for Content-Length: the body size, or for HEAD the one in the headers.
std::string announced_size(const response& it, bool is_head)
{
    const std::string length = it.headers.get("Content-Length");
    const bool is_number =
        !length.empty() && std::all_of(length.begin(), length.end(), [](char c) {
            return absl::ascii_isdigit(c);
        });
    return is_head && it.body.empty() && is_number ? length
                                                   : std::to_string(it.body.size());
}

} // namespace

bool can_have_body(int status, bool is_head)
{
    return !is_head && status >= 200 && status != no_content && status != not_modified;
}

bool asks_to_close(const headers& fields)
{
    for (const auto& [name, value] : fields.fields()) {
        if (absl::EqualsIgnoreCase(name, "Connection")) {
            for (const auto token : absl::StrSplit(value, ',')) {
                if (absl::EqualsIgnoreCase(absl::StripAsciiWhitespace(token), "close")) {
                    return true;
                }
            }
        }
    }
    return false;
}

std::string response_head_bytes(const response& it, bool is_head)
{
    std::string out;
    out.reserve(typical_head_bytes);
    absl::StrAppend(&out, "HTTP/1.1 ", it.status, " ", reason_phrase(it.status), "\r\n");
    if (!it.headers.has("Date")) {
        absl::StrAppend(&out, "Date: ", date_now(), "\r\n");
    }
    for (const auto& [name, value] : it.headers.fields()) {
        if (!is_written_by_server(name) && is_one_line(name, value)) {
            absl::StrAppend(&out, name, ": ", value, "\r\n");
        }
    }
    if (can_have_body(it.status, false)) {
        absl::StrAppend(&out, "Content-Length: ", announced_size(it, is_head), "\r\n");
    }
    out += "\r\n";
    return out;
}

std::size_t add_close_field(std::string& head)
{
    constexpr std::string_view field = "Connection: close\r\n";
    constexpr std::size_t empty_line = 2;
    head.insert(head.size() - empty_line, field);
    return field.size();
}

} // namespace cuminpitch::http
