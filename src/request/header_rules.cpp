#include "header_rules_priv.hpp"

#include "cuminpitch/http/refusal.hpp"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <array>
#include <string>
#include <vector>

namespace cuminpitch::request {
namespace {

constexpr std::array hop_by_hop = {
    "Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
    "Expect",
    "Content-Length"};

/// The header names listed in the Connection headers.
std::vector<std::string> connection_options(const http::headers& it)
{
    std::vector<std::string> out;
    for (const auto& [name, value] : it.fields()) {
        if (absl::EqualsIgnoreCase(name, "Connection")) {
            for (const auto part : absl::StrSplit(value, ',', absl::SkipWhitespace())) {
                out.emplace_back(absl::StripAsciiWhitespace(part));
            }
        }
    }
    return out;
}

} // namespace

http::headers end_to_end_headers(const http::headers& it)
{
    const auto listed = connection_options(it);
    const auto is_dropped = [&](const std::string& name) {
        const auto same = [&](const auto& other) {
            return absl::EqualsIgnoreCase(name, other);
        };
        return std::any_of(hop_by_hop.begin(), hop_by_hop.end(), same) ||
               std::any_of(listed.begin(), listed.end(), same);
    };
    http::headers out;
    for (const auto& [name, value] : it.fields()) {
        if (!is_dropped(name)) {
            out.add(name, value);
        }
    }
    return out;
}

void strip_fleet_headers(http::headers& it, const dialect& names)
{
    it.remove(http::verdict_header);
    it.remove(http::reason_header);
    it.remove(names.not_run);
}

std::optional<std::string> read_key(const http::headers& it, const dialect& names)
{
    const std::string* value = nullptr;
    for (const auto& [name, text] : it.fields()) {
        if (absl::EqualsIgnoreCase(name, names.key_header)) {
            if (value != nullptr) {
                return std::nullopt;
            }
            value = &text;
        }
    }
    const auto& scheme = names.key_scheme;
    if (value == nullptr || value->size() <= scheme.size() ||
        !absl::EqualsIgnoreCase(value->substr(0, scheme.size()), scheme) ||
        (*value)[scheme.size()] != ' ') {
        return std::nullopt;
    }
    return std::string(absl::StripAsciiWhitespace(value->substr(scheme.size())));
}

deadline_value read_deadline(const http::headers& it, const std::string& name)
{
    if (!it.has(name)) {
        return {};
    }
    constexpr std::size_t max_digits = 12;
    const std::string text = it.get(name);
    const bool digits = !text.empty() && text.size() <= max_digits &&
                        std::all_of(text.begin(), text.end(), [](unsigned char c) {
                            return absl::ascii_isdigit(c);
                        });
    std::int64_t ms = 0;
    if (!digits || !absl::SimpleAtoi(text, &ms)) {
        return {deadline_kind::malformed, absl::ZeroDuration()};
    }
    return {deadline_kind::valid, absl::Milliseconds(ms)};
}

} // namespace cuminpitch::request
