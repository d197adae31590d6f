#include "cuminpitch/request/route_table.hpp"

#include "cuminpitch/core/overloaded.hpp"

#include <absl/strings/ascii.h>

#include <algorithm>
#include <functional>

namespace cuminpitch::request {
namespace {

absl::string_view view(std::string_view it)
{
    return {it.data(), it.size()};
}

/// Returns the host in lower case, without port and trailing dot.
std::string normalized_host(std::string_view host)
{
    std::string out(host.substr(0, host.find(':')));
    if (!out.empty() && out.back() == '.') {
        out.pop_back();
    }
    absl::AsciiStrToLower(&out);
    return out;
}

std::string_view without_trailing_slashes(std::string_view path)
{
    while (!path.empty() && path.back() == '/') {
        path.remove_suffix(1);
    }
    return path;
}

bool accepts(const config::route_settings& it, std::string_view method)
{
    return method.empty() || it.methods.empty() ||
           std::find(it.methods.begin(), it.methods.end(), method) != it.methods.end();
}

} // namespace

route_table::route_table(
    std::shared_ptr<const config::declarations> declared, path_matching rules)
    : matching_(rules), declared_(std::move(declared)), customers_(declared_)
{
    const auto key_of = [this](std::string_view prefix) {
        return std::string(
            std::holds_alternative<segment_matching>(matching_)
                ? without_trailing_slashes(prefix)
                : prefix);
    };
    for (const auto& [id, route] : declared_->routes) {
        match found{&route, nullptr, {}};
        const auto pool = declared_->pools.find(route.pool);
        if (pool != declared_->pools.end()) {
            found.pool = &pool->second;
        }
        for (const auto& part : route.split) {
            const auto part_pool = declared_->pools.find(part.pool);
            if (part_pool != declared_->pools.end()) {
                found.parts.push_back({&part_pool->second, part.weight});
            }
        }
        if (found.pool == nullptr && found.parts.empty()) {
            continue;
        }
        const std::string prefix = key_of(route.path_prefix);
        auto& host = hosts_[normalized_host(route.host)];
        host.prefix_sizes.push_back(prefix.size());
        if (route.idempotent) {
            idempotent_pools_.insert(route.pool);
            for (const auto& part : found.parts) {
                idempotent_pools_.insert(part.pool->id);
            }
        }
        host.by_prefix[prefix].push_back(std::move(found));
    }
    for (auto& [name, host] : hosts_) {
        auto& sizes = host.prefix_sizes;
        std::sort(sizes.begin(), sizes.end(), std::greater<>());
        sizes.erase(std::unique(sizes.begin(), sizes.end()), sizes.end());
        for (auto& [prefix, routes] : host.by_prefix) {
            std::stable_partition(routes.begin(), routes.end(), [](const match& it) {
                return !it.route->methods.empty();
            });
        }
    }
}

const route_table::match*
route_table::host_routes::find(std::string_view prefix, std::string_view method) const
{
    const auto found = by_prefix.find(view(prefix));
    if (found == by_prefix.end()) {
        return nullptr;
    }
    const auto it =
        std::find_if(found->second.begin(), found->second.end(), [&](const match& each) {
            return accepts(*each.route, method);
        });
    return it == found->second.end() ? nullptr : &*it;
}

route_table::match route_table::find(
    std::string_view host, std::string_view path, std::string_view method) const
{
    const auto routes = hosts_.find(normalized_host(host));
    if (routes == hosts_.end()) {
        return {};
    }
    return std::visit(
        core::overloaded{
            [&](segment_matching) {
                return find_by_segments(routes->second, path, method);
            },
            [&](byte_matching) { return find_by_bytes(routes->second, path, method); }},
        matching_);
}

route_table::match route_table::find_by_segments(
    const host_routes& routes, std::string_view path, std::string_view method) const
{
    // Cuts the path to the length of the longest prefix, so that the cost of a lookup
    // doesn't grow with the length of the path.
    std::string_view prefix = without_trailing_slashes(path);
    const std::size_t longest = routes.prefix_sizes.front();
    if (prefix.size() > longest) {
        prefix = prefix.substr(0, prefix.rfind('/', longest));
    }
    for (;;) {
        prefix = without_trailing_slashes(prefix);
        if (const match* it = routes.find(prefix, method)) {
            return *it;
        }
        if (prefix.empty()) {
            return {};
        }
        const auto slash = prefix.rfind('/');
        prefix = prefix.substr(0, slash == std::string_view::npos ? 0 : slash);
    }
}

route_table::match route_table::find_by_bytes(
    const host_routes& routes, std::string_view path, std::string_view method) const
{
    for (const std::size_t size : routes.prefix_sizes) {
        if (size <= path.size()) {
            if (const match* it = routes.find(path.substr(0, size), method)) {
                return *it;
            }
        }
    }
    return {};
}

bool route_table::has_idempotent_route(const core::pool_id& pool) const
{
    return idempotent_pools_.contains(pool);
}

} // namespace cuminpitch::request
