#include "routing_path_priv.hpp"

#include "cuminpitch/core/overloaded.hpp"

#include <absl/strings/ascii.h>

namespace cuminpitch::request {
namespace {

int hex_value(char it)
{
    if (it >= '0' && it <= '9') {
        return it - '0';
    }
    const char low = absl::ascii_tolower(static_cast<unsigned char>(it));
    return low >= 'a' && low <= 'f' ? low - 'a' + 10 : -1;
}

bool is_unreserved(int it)
{
    return absl::ascii_isalnum(static_cast<unsigned char>(it)) || it == '-' ||
           it == '.' || it == '_' || it == '~';
}

/// Decodes "%xy" at the start of `text`. Returns -1 unless it encodes an unreserved
/// character.
int decode_unreserved(std::string_view text)
{
    if (text.size() < 3 || text[0] != '%') {
        return -1;
    }
    const int high = hex_value(text[1]);
    const int low = hex_value(text[2]);
    if (high < 0 || low < 0) {
        return -1;
    }
    const int out = high * 16 + low;
    return is_unreserved(out) ? out : -1;
}

bool is_dot_segment(std::string_view it)
{
    return it == "." || it == "..";
}

} // namespace

std::optional<std::string> routing_path(std::string_view path)
{
    std::string out;
    out.reserve(path.size());
    std::size_t segment = 0;
    const auto ends_in_dot_segment = [&] {
        return is_dot_segment(std::string_view(out).substr(segment));
    };
    for (std::size_t i = 0; i < path.size(); ++i) {
        const int character = decode_unreserved(path.substr(i));
        if (character >= 0) {
            out += static_cast<char>(character);
            i += 2;
            continue;
        }
        if (path[i] == '/') {
            if (ends_in_dot_segment()) {
                return std::nullopt;
            }
            if (!out.empty() && out.back() == '/') {
                continue;
            }
            segment = out.size() + 1;
        }
        out += path[i];
    }
    if (out.empty() || out.front() != '/' || ends_in_dot_segment()) {
        return std::nullopt;
    }
    return out;
}

std::optional<std::string> routing_path(const path_matching& rules, std::string_view path)
{
    return std::visit(
        core::overloaded{
            [path](segment_matching) { return routing_path(path); },
            [path](byte_matching) {
                return path.starts_with('/') ? std::optional<std::string>(path)
                                             : std::nullopt;
            }},
        rules);
}

} // namespace cuminpitch::request
