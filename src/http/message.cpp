#include "cuminpitch/http/message.hpp"

#include <absl/strings/match.h>

#include <algorithm>

namespace cuminpitch::http {
namespace {

bool equal_name(const std::string& a, std::string_view b)
{
    return absl::EqualsIgnoreCase(a, absl::string_view(b.data(), b.size()));
}

} // namespace

void headers::add(std::string name, std::string value)
{
    fields_.emplace_back(std::move(name), std::move(value));
}

void headers::set(std::string name, std::string value)
{
    remove(name);
    add(std::move(name), std::move(value));
}

void headers::remove(std::string_view name)
{
    std::erase_if(fields_, [&](const auto& it) { return equal_name(it.first, name); });
}

std::string headers::get(std::string_view name) const
{
    const auto it = std::find_if(fields_.begin(), fields_.end(), [&](const auto& field) {
        return equal_name(field.first, name);
    });
    return it == fields_.end() ? std::string() : it->second;
}

std::size_t headers::count(std::string_view name) const
{
    const auto n = std::count_if(fields_.begin(), fields_.end(), [&](const auto& field) {
        return equal_name(field.first, name);
    });
    return static_cast<std::size_t>(n);
}

std::string request::query_value(std::string_view name) const
{
    const auto it = std::find_if(
        query.begin(), query.end(), [&](const auto& pair) { return pair.first == name; });
    return it == query.end() ? std::string() : it->second;
}

response metrics_response(std::string exposition)
{
    response it;
    it.headers.set("Content-Type", "text/plain; version=0.0.4");
    it.body = std::move(exposition);
    return it;
}

response json_response(int status, std::string body)
{
    response it;
    it.status = status;
    it.headers.set("Content-Type", "application/json");
    it.body = std::move(body);
    return it;
}

} // namespace cuminpitch::http
