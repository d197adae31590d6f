#include "cuminpitch/config/compile.hpp"

#include "object_reader_priv.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <map>
#include <set>
#include <string_view>
#include <tuple>

namespace cuminpitch::config {
namespace {

constexpr std::uint64_t max_entries = 16;
constexpr std::uint64_t max_servers = 100'000;
// All entries know of a departure only after one announcement interval (1 s) and one pool
// heartbeat.
constexpr std::uint64_t min_departure_ms = 1'500;
constexpr std::uint64_t max_departure_ms = 60'000;
constexpr double min_false_ejections = 0.001;
constexpr double max_false_ejections = 1'000;
constexpr std::uint64_t max_deadline_ms = 600'000;
constexpr std::uint64_t max_queue = 65'536;
constexpr std::uint64_t max_connection_count = 1'000'000;
constexpr std::uint64_t max_attempt_count = 100;
constexpr std::uint64_t max_priority = 1'000;
constexpr std::size_t max_keys = 16;
constexpr std::size_t max_key_length = 256;
constexpr double max_customer_rate = 1'000'000;
constexpr std::uint64_t max_header_limit = 64U << 20U;
// Entries buffer whole bodies in memory.
constexpr std::uint64_t max_body_bytes = 64U << 20U;
constexpr std::size_t max_host_length = 253;
constexpr std::size_t max_path_length = 1'024;
/// Entries handle this path and all paths below it themselves.
const std::string reserved_path = "/.cuminpitch";

const std::string host_allowed =
    "a host name in lower case without port ([a-z0-9.-], 1 to 253 characters)";
const std::string path_allowed =
    "a path that starts with '/' (printable ASCII without space, '?' and '#', up to 1024 "
    "characters)";
const std::string prefix_allowed = path_allowed + " and is not /.cuminpitch or below";
const std::string key_allowed = "1 to 256 bytes without space and control characters";
const std::string pool_allowed = "the name of a pool of the same team";

/// The empty string stands for all methods.
const std::string any_method;
const std::vector<std::string> known_methods = {
    "DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"};

bool is_host(const std::string& text)
{
    const bool characters = std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '.';
    });
    return characters && !text.empty() && text.size() <= max_host_length &&
           text.front() != '.' && text.back() != '.' &&
           text.find("..") == std::string::npos;
}

bool is_path(const std::string& text)
{
    return text.starts_with('/') && text.size() <= max_path_length &&
           std::all_of(text.begin(), text.end(), [](char c) {
               return c > ' ' && c < '\x7f' && c != '?' && c != '#';
           });
}

bool is_route_prefix(const std::string& text)
{
    return is_path(text) && text != reserved_path &&
           !text.starts_with(reserved_path + "/");
}

/// Whether a header can carry the text as one word. Bytes of UTF-8 are allowed.
bool is_header_word(const std::string& text)
{
    return !text.empty() && text.size() <= max_key_length &&
           std::all_of(text.begin(), text.end(), [](unsigned char c) {
               return c > ' ' && c != 0x7f;
           });
}

template <class T>
void assign(T& to, const std::optional<std::uint64_t>& from)
{
    if (from) {
        to = static_cast<T>(*from);
    }
}

void assign(absl::Duration& to, const std::optional<std::uint64_t>& ms)
{
    if (ms) {
        to = absl::Milliseconds(*ms);
    }
}

pool_settings read_pool(const core::pool_id& id, object_reader& from)
{
    pool_settings it;
    it.id = id;
    assign(it.entries, from.integer("entries", 1, max_entries));
    it.every_entry = from.boolean("every_entry").value_or(false);
    if (it.every_entry && from.has("entries")) {
        from.report("every_entry", "contradicts entries; allowed: one of the two");
    }
    assign(it.min_healthy_percent, from.integer("min_healthy_percent", 0, 100));
    if (const auto n = from.integer("min_healthy_servers", 1, max_servers)) {
        it.min_healthy_servers = static_cast<std::uint32_t>(*n);
    }
    if (from.has("min_healthy_percent") && from.has("min_healthy_servers")) {
        from.report(
            "min_healthy_servers",
            "contradicts min_healthy_percent; allowed: one of the two");
    }
    assign(
        it.departure, from.integer("departure_ms", min_departure_ms, max_departure_ms));
    if (const auto n = from.number(
            "false_ejections_per_server_month",
            min_false_ejections,
            max_false_ejections)) {
        it.false_ejections_per_server_month = *n;
    }
    assign(it.deadline, from.integer("deadline_ms", 1, max_deadline_ms));
    assign(it.queue_limit, from.integer("queue_limit", 0, max_queue));
    assign(it.retry_percent, from.integer("retry_percent", 0, 100));
    assign(it.caller_share_percent, from.integer("caller_share_percent", 1, 100));
    assign(it.max_request_bytes, from.integer("max_request_bytes", 1, max_body_bytes));
    assign(it.max_response_bytes, from.integer("max_response_bytes", 1, max_body_bytes));
    assign(it.max_connections, from.integer("max_connections", 1, max_connection_count));
    it.probe_path = from.text("probe_path", path_allowed, is_path);
    from.finish();
    return it;
}

/// Reads either `pool` or `split` of a route.
void read_destination(route_settings& it, object_reader& from)
{
    if (!from.has("split")) {
        from.require("pool", pool_allowed);
        it.pool = {it.id.team, from.text("pool", pool_allowed, is_name).value_or("")};
        return;
    }
    if (from.has("pool")) {
        from.report("split", "contradicts pool; allowed: one of the two");
        static_cast<void>(from.text("pool", pool_allowed, is_name));
    }
    for (const auto& [pool, weight] :
         from.weights("split").value_or(object_reader::weight_list())) {
        it.split.push_back({{it.id.team, pool}, weight});
    }
}

route_settings read_route(const core::route_id& id, object_reader& from)
{
    route_settings it;
    it.id = id;
    from.require("host", host_allowed);
    it.host = from.text("host", host_allowed, is_host).value_or("");
    from.require("path_prefix", prefix_allowed);
    it.path_prefix =
        from.text("path_prefix", prefix_allowed, is_route_prefix).value_or("");
    it.methods =
        from.choices("methods", known_methods).value_or(std::vector<std::string>());
    read_destination(it, from);
    it.idempotent = from.boolean("idempotent").value_or(false);
    if (const auto ms = from.integer("deadline_ms", 1, max_deadline_ms)) {
        it.deadline = absl::Milliseconds(*ms);
    }
    if (const auto n = from.integer("max_attempts", 1, max_attempt_count)) {
        it.max_attempts = static_cast<std::uint32_t>(*n);
    }
    if (const auto ms = from.integer("target_latency_ms", 1, 2 * max_deadline_ms)) {
        it.target_latency = absl::Milliseconds(*ms);
        if (it.deadline && *it.target_latency >= *it.deadline + target_latency_excess) {
            from.report(
                "target_latency_ms",
                "is a minute or more above deadline_ms; allowed: less than that");
        }
    }
    assign(it.priority, from.integer("priority", 0, max_priority));
    it.is_public = from.boolean("public").value_or(false);
    it.has_large_responses = from.boolean("large_responses").value_or(false);
    if (it.has_large_responses && !it.idempotent) {
        from.report(
            "large_responses", "contradicts idempotent false; allowed: with idempotent");
    }
    from.finish();
    return it;
}

customer_settings read_customer(const core::customer_id& id, object_reader& from)
{
    customer_settings it;
    it.id = id;
    it.name = from.text("name", key_allowed, is_header_word).value_or(id.name);
    it.keys = from.secrets("keys", max_keys, key_allowed, is_header_word)
                  .value_or(std::vector<std::string>());
    if (const auto n = from.integer("priority", 0, max_priority)) {
        it.priority = static_cast<std::uint32_t>(*n);
    }
    const auto rate = from.number("rate_per_s", 0, max_customer_rate);
    if (rate && *rate > 0) {
        it.rate = core::request_rate(*rate);
    }
    it.burst = from.number("burst", 0, max_customer_rate).value_or(0);
    if (it.burst > 0 && !it.rate) {
        from.report("burst", "has no rate_per_s; allowed: with a rate above 0");
    }
    from.finish();
    return it;
}

caller_limits read_limits(object_reader& from)
{
    caller_limits it;
    assign(it.max_header_bytes, from.integer("max_header_bytes", 1, max_header_limit));
    assign(it.max_body_bytes, from.integer("max_body_bytes", 1, max_body_bytes));
    assign(it.header_timeout, from.integer("header_timeout_ms", 1, max_deadline_ms));
    assign(it.idle_timeout, from.integer("idle_timeout_ms", 1, max_deadline_ms));
    it.requires_key = from.boolean("requires_key").value_or(false);
    from.finish();
    return it;
}

/// Splits a path into "teams", team, kind ("pools", "routes", "customers" or "limits"),
/// name and setting; returns an empty list if the path is not allowed. The only allowed
/// name of the kind "limits" is "callers".
std::vector<std::string> split_path(const std::string& path)
{
    std::vector<std::string> parts = absl::StrSplit(path, '/');
    const bool allowed =
        parts.size() == 5 && parts[0] == "teams" && is_name(parts[1]) &&
        (parts[2] == "pools" || parts[2] == "routes" || parts[2] == "customers" ||
         (parts[2] == "limits" && parts[3] == "callers")) &&
        is_name(parts[3]) && !parts[4].empty();
    return allowed ? parts : std::vector<std::string>();
}

/// Reads settings into declarations and checks constraints that span several of them.
class compiler
{
public:
    explicit compiler(declarations before = {}) : result_(std::move(before)) {}

    /// Adds a setting of a pool, route, customer or limits object that run() will read.
    void add(const std::string& path, const std::string& text)
    {
        const auto parts = split_path(path);
        if (!parts.empty()) {
            objects_[{parts[1], parts[2], parts[3]}].emplace(parts[4], &text);
            return;
        }
        problems_.push_back(
            {file_of(path),
             path,
             "path is not allowed; allowed: teams/<team>/pools/<pool>/<setting>, "
             "teams/<team>/routes/<route>/<setting>, "
             "teams/<team>/customers/<customer>/<setting> and "
             "teams/<team>/limits/callers/<setting>, names of [a-z0-9-]{1,63}"});
    }

    /// Removes a pool, route, customer or limits object from the result. It stays deleted
    /// unless settings of it are added.
    void remove(const std::vector<std::string>& parts)
    {
        const core::team_id team(parts[1]);
        if (parts[2] == "pools") {
            result_.pools.erase({team, parts[3]});
        } else if (parts[2] == "limits") {
            result_.limits.erase(team);
        } else if (parts[2] == "customers") {
            result_.customers.erase({team, parts[3]});
        } else {
            result_.routes.erase({team, parts[3]});
        }
        touched_teams_.insert(team);
    }

    std::variant<declarations, std::vector<problem>> run()
    {
        for (const auto& [key, object] : objects_) {
            const auto& [team, kind, name] = key;
            const std::string prefix = absl::StrCat("teams/", team, "/", kind, "/", name);
            object_reader from(prefix, object, problems_);
            touched_teams_.insert(core::team_id(team));
            if (kind == "pools") {
                const core::pool_id id{core::team_id(team), name};
                result_.pools.emplace(id, read_pool(id, from));
            } else if (kind == "limits") {
                result_.limits.emplace(core::team_id(team), read_limits(from));
            } else if (kind == "customers") {
                const core::customer_id id{core::team_id(team), name};
                teams_with_new_customers_.insert(id.team);
                result_.customers.emplace(id, read_customer(id, from));
            } else {
                const core::route_id id{core::team_id(team), name};
                auto route = read_route(id, from);
                touched_prefixes_[route.host].insert(route.path_prefix);
                result_.routes.emplace(id, std::move(route));
            }
        }
        check_pools_of_routes();
        check_overlaps();
        check_customers();
        if (problems_.empty()) {
            return std::move(result_);
        }
        std::sort(problems_.begin(), problems_.end());
        return std::move(problems_);
    }

private:
    using object_key = std::tuple<std::string, std::string, std::string>;
    using host_and_prefix = std::pair<std::string, std::string>;
    /// Maps a method, or any_method, to the first route that has it.
    using route_by_method = std::map<std::string, const route_settings*>;

    void report(const core::route_id& id, const std::string& setting, std::string reason)
    {
        const std::string path =
            absl::StrCat("teams/", id.team.str(), "/routes/", id.name, "/", setting);
        problems_.push_back({file_of(path), path, std::move(reason)});
    }

    void
    report(const core::customer_id& id, const std::string& setting, std::string reason)
    {
        const std::string path =
            absl::StrCat("teams/", id.team.str(), "/customers/", id.name, "/", setting);
        problems_.push_back({file_of(path), path, std::move(reason)});
    }

    void check_pools_of_routes()
    {
        for (const auto& team : touched_teams_) {
            for (auto it = result_.routes.lower_bound({team, ""});
                 it != result_.routes.end() && it->first.team == team;
                 ++it) {
                const auto& route = it->second;
                if (!route.pool.name.empty() && !result_.pools.contains(route.pool)) {
                    report_missing_pool(it->first, "pool", route.pool.name);
                }
                for (const auto& part : route.split) {
                    if (!result_.pools.contains(part.pool)) {
                        report_missing_pool(it->first, "split", part.pool.name);
                    }
                }
            }
        }
    }

    void report_missing_pool(
        const core::route_id& id, const std::string& setting, const std::string& name)
    {
        const auto other =
            std::find_if(result_.pools.begin(), result_.pools.end(), [&](const auto& it) {
                return it.first.name == name;
            });
        const std::string reason =
            other == result_.pools.end()
                ? "does not exist"
                : absl::StrCat("belongs to team '", other->first.team.str(), "'");
        report(
            id,
            setting,
            absl::StrCat("pool '", name, "' ", reason, "; allowed: ", pool_allowed));
    }

    /// Reports every customer that has a key or the name of an earlier customer of its
    /// team. The reasons don't contain keys.
    void check_customers()
    {
        for (const auto& team : teams_with_new_customers_) {
            std::map<std::string_view, const customer_settings*> by_key;
            std::map<std::string_view, const customer_settings*> by_name;
            for (auto it = result_.customers.lower_bound({team, ""});
                 it != result_.customers.end() && it->first.team == team;
                 ++it) {
                const auto& customer = it->second;
                const auto [same_name, is_new] =
                    by_name.emplace(customer.name, &customer);
                if (!is_new) {
                    report(
                        customer.id,
                        "name",
                        absl::StrCat(
                            "is also the name of customer '",
                            same_name->second->id.str(),
                            "'; allowed: a different name for each customer"));
                }
                for (const auto& key : customer.keys) {
                    const auto [same_key, is_new_key] = by_key.emplace(key, &customer);
                    if (!is_new_key) {
                        report(
                            customer.id,
                            "keys",
                            absl::StrCat(
                                "a key also belongs to customer '",
                                same_key->second->id.str(),
                                "'; allowed: one customer for each key"));
                    }
                }
            }
        }
    }

    /// Reports every route that shares host, prefix and a method with an earlier route.
    void check_overlaps()
    {
        std::map<host_and_prefix, route_by_method> taken;
        for (const auto& [id, route] : result_.routes) {
            const auto at = touched_prefixes_.find(route.host);
            if (!route.host.empty() && !route.path_prefix.empty() &&
                at != touched_prefixes_.end() && at->second.contains(route.path_prefix)) {
                check_overlap(route, taken[{route.host, route.path_prefix}]);
            }
        }
    }

    void check_overlap(const route_settings& route, route_by_method& taken)
    {
        const auto methods =
            route.methods.empty() ? std::vector<std::string>{any_method} : route.methods;
        const route_settings* earlier = nullptr;
        for (const auto& method : methods) {
            auto it = taken.find(method);
            if (it == taken.end()) {
                it = method == any_method ? taken.begin() : taken.find(any_method);
            }
            if (it != taken.end() && earlier == nullptr) {
                earlier = it->second;
            }
        }
        if (earlier != nullptr) {
            report(
                route.id,
                "path_prefix",
                absl::StrCat(
                    "same host, prefix and method as route '",
                    earlier->id.str(),
                    "'; allowed: one route for each host, prefix and method"));
        }
        for (const auto& method : methods) {
            taken.emplace(method, &route);
        }
    }

    std::map<object_key, object_reader::values> objects_;
    std::set<core::team_id> touched_teams_;
    std::set<core::team_id> teams_with_new_customers_;
    /// Maps a host to the path prefixes of the routes that were read.
    std::map<std::string, std::set<std::string>> touched_prefixes_;
    declarations result_;
    std::vector<problem> problems_;
};

} // namespace

std::variant<declarations, std::vector<problem>> compile(const settings& tree)
{
    compiler it;
    for (const auto& [path, text] : tree) {
        it.add(path, text);
    }
    return it.run();
}

std::variant<declarations, std::vector<problem>> recompile(
    const declarations& before,
    const settings& tree,
    const std::vector<std::string>& changed)
{
    compiler it(before);
    // All paths of the changed pools, routes, customers and limits, each once.
    std::set<settings::key_type> paths;
    for (const auto& path : changed) {
        const auto parts = split_path(path);
        if (parts.empty()) {
            paths.insert(path);
            continue;
        }
        it.remove(parts);
        const std::string prefix = path.substr(0, path.size() - parts[4].size());
        for (auto at = tree.lower_bound(prefix);
             at != tree.end() && at->first.starts_with(prefix);
             ++at) {
            paths.insert(at->first);
        }
    }
    for (const auto& path : paths) {
        const auto at = tree.find(path);
        if (at != tree.end()) {
            it.add(at->first, at->second);
        }
    }
    return it.run();
}

} // namespace cuminpitch::config
