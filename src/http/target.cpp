#include "target_priv.hpp"

#include <absl/strings/match.h>
#include <curl/curl.h>

#include <algorithm>

namespace cuminpitch::http {
namespace {

std::string decode(std::string text)
{
    std::replace(text.begin(), text.end(), '+', ' ');
    int size = 0;
    char* plain =
        curl_easy_unescape(nullptr, text.c_str(), static_cast<int>(text.size()), &size);
    std::string out(plain == nullptr ? "" : plain, static_cast<std::size_t>(size));
    curl_free(plain);
    return out;
}

void split_query(const std::string& text, request& it)
{
    std::size_t begin = 0;
    while (begin < text.size()) {
        const std::size_t end = std::min(text.find('&', begin), text.size());
        const std::string pair = text.substr(begin, end - begin);
        const std::size_t equal = std::min(pair.find('='), pair.size());
        if (!pair.empty()) {
            it.query.emplace_back(
                decode(pair.substr(0, equal)),
                decode(pair.substr(std::min(equal + 1, pair.size()))));
        }
        begin = end + 1;
    }
}

} // namespace

bool split_target(request& it)
{
    constexpr std::size_t scheme_size = 7; // "http://"
    if (absl::StartsWithIgnoreCase(it.target, "http://")) {
        const std::size_t end =
            std::min(it.target.find_first_of("/?", scheme_size), it.target.size());
        it.headers.set("Host", it.target.substr(scheme_size, end - scheme_size));
        it.target.erase(0, end);
        if (it.target.empty() || it.target.front() == '?') {
            it.target = "/" + it.target;
        }
    }
    if (it.target == "*" && it.method == "OPTIONS") {
        it.path = it.target;
        return true;
    }
    if (it.target.empty() || it.target.front() != '/') {
        return false;
    }
    const std::size_t mark = std::min(it.target.find('?'), it.target.size());
    it.path = it.target.substr(0, mark);
    if (mark < it.target.size()) {
        split_query(it.target.substr(mark + 1), it);
    }
    return true;
}

} // namespace cuminpitch::http
