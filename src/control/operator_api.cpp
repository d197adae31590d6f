#include "control/operator_api_priv.hpp"

#include "cuminpitch/config/settings.hpp"
#include "cuminpitch/core/json.hpp"

namespace cuminpitch::control {
namespace {

using json = nlohmann::json;

/// A value may be nested as deeply as in a declaration, within a list of operations.
constexpr int max_body_depth = core::max_json_depth + 3;

/// Returns the object of the body, or a null value if it isn't one.
json parse_object(const std::string& body)
{
    auto parsed = core::parse_json(body, max_body_depth);
    return parsed.reason.empty() && parsed.value.is_object() ? std::move(parsed.value)
                                                             : json();
}

http::response answer(int status, const json& body)
{
    return http::json_response(status, core::write_json(body));
}

struct outcome_writer
{
    http::response operator()(const applied& it) const
    {
        return answer(200, {{"outcome", "applied"}, {"revision", it.revision.value()}});
    }
    http::response operator()(const conflict& it) const
    {
        return answer(
            409,
            {{"outcome", "conflict"},
             {"revision", it.current.value()},
             {"paths", it.paths}});
    }
    http::response operator()(const invalid& it) const
    {
        json problems = json::array();
        for (const auto& problem : it.problems) {
            problems.push_back({{"path", problem.path}, {"reason", problem.reason}});
        }
        return answer(422, {{"outcome", "invalid"}, {"problems", problems}});
    }
    http::response operator()(const ignored&) const
    {
        return answer(409, {{"outcome", "ignored"}});
    }
};

std::optional<operation> parse_operation(const json& it)
{
    if (!it.is_object() || !it.contains("path") || !it["path"].is_string()) {
        return std::nullopt;
    }
    operation result;
    result.path = it["path"].get<std::string>();
    const bool deletes =
        it.contains("delete") && it["delete"].is_boolean() && it["delete"].get<bool>();
    if (deletes == it.contains("value")) {
        return std::nullopt;
    }
    if (!deletes) {
        auto text = config::canonical_json(core::write_json(it["value"]));
        if (!text) {
            return std::nullopt;
        }
        result.value = std::move(text).value();
    }
    return result;
}

json operation_json(const operation& it)
{
    if (!it.value) {
        return {{"path", it.path}, {"delete", true}};
    }
    return {{"path", it.path}, {"value", json::parse(*it.value, nullptr, false)}};
}

json age_json(const std::optional<absl::Duration>& age)
{
    return age ? json(absl::ToInt64Milliseconds(*age)) : json();
}

json revision_json(const std::optional<core::revision>& it)
{
    return it ? json(it->value()) : json();
}

json instance_json(const instance_status& it)
{
    return {
        {"id", it.id.str()},
        {"role", it.is_control ? "control" : "entry"},
        {"failure_domain", it.failure_domain.str()},
        {"revision", revision_json(it.in_force)},
        {"contact_in_ms", age_json(it.contact_in)},
        {"contact_out_ms", age_json(it.contact_out)},
        {"peer_contact_ms", age_json(it.peer_contact)},
        {"draining", it.draining}};
}

} // namespace

std::variant<change, malformed_body>
parse_change(const std::string& body, std::int64_t wall_clock_ms)
{
    const json parsed = parse_object(body);
    if (!parsed.is_object()) {
        return malformed_body{"the body must be a JSON object"};
    }
    if (!parsed.contains("id") || !parsed["id"].is_string() ||
        parsed["id"].get_ref<const std::string&>().empty() ||
        parsed["id"].get_ref<const std::string&>().size() > change_id_limit) {
        return malformed_body{"id must be a string of 1 to 128 bytes"};
    }
    if (!parsed.contains("base_revision") ||
        !parsed["base_revision"].is_number_unsigned()) {
        return malformed_body{"base_revision must be a non-negative integer"};
    }
    if (!parsed.contains("operations") || !parsed["operations"].is_array() ||
        parsed["operations"].empty()) {
        return malformed_body{"operations must be an array of at least one operation"};
    }
    change result;
    result.id = core::change_id(parsed["id"].get<std::string>());
    result.base_revision = core::revision(parsed["base_revision"].get<std::uint64_t>());
    result.time_ms = wall_clock_ms;
    for (const auto& it : parsed["operations"]) {
        auto read = parse_operation(it);
        if (!read) {
            return malformed_body{
                "each operation must have a path and either a value or \"delete\": true"};
        }
        result.operations.push_back(*std::move(read));
    }
    return result;
}

std::variant<std::vector<core::endpoint>, malformed_body>
parse_init(const std::string& body)
{
    const malformed_body malformed{
        "instances must be a non-empty array of host:port strings"};
    const json parsed = parse_object(body);
    if (!parsed.is_object() || !parsed.contains("instances") ||
        !parsed["instances"].is_array() || parsed["instances"].empty()) {
        return malformed;
    }
    std::vector<core::endpoint> result;
    for (const auto& it : parsed["instances"]) {
        const auto read =
            it.is_string() ? core::parse_endpoint(it.get<std::string>()) : std::nullopt;
        if (!read) {
            return malformed;
        }
        result.push_back(*read);
    }
    return result;
}

std::variant<set_assignment, malformed_body> parse_reassign(const std::string& body)
{
    const json parsed = parse_object(body);
    if (!parsed.is_object() || !parsed.contains("pool") || !parsed["pool"].is_string() ||
        !parsed.contains("entries") || !parsed["entries"].is_array() ||
        parsed["entries"].empty() || parsed["entries"].size() > assignment_limit) {
        return malformed_body{
            "pool must be \"team/pool\" and entries an array of 1 to 17 ids"};
    }
    const auto pool = parsed["pool"].get<std::string>();
    const auto slash = pool.find('/');
    if (slash == std::string::npos) {
        return malformed_body{"pool must be \"team/pool\""};
    }
    set_assignment result;
    result.pool = {core::team_id(pool.substr(0, slash)), pool.substr(slash + 1)};
    result.forced = true;
    for (const auto& it : parsed["entries"]) {
        if (!it.is_string()) {
            return malformed_body{"entries must be an array of instance ids"};
        }
        result.entries.emplace_back(it.get<std::string>());
    }
    return result;
}

http::response outcome_answer(const outcome& it)
{
    return std::visit(outcome_writer(), it);
}

http::response settings_answer(const fleet_state& state, const std::string& prefix)
{
    json settings = json::object();
    const auto& tree = state.contents().settings;
    for (auto it = tree.lower_bound(prefix);
         it != tree.end() && it->first.starts_with(prefix);
         ++it) {
        settings[it->first] = json::parse(it->second, nullptr, false);
    }
    return answer(200, {{"revision", state.revision().value()}, {"settings", settings}});
}

http::response changes_answer(const std::vector<numbered_command>& changes)
{
    json list = json::array();
    for (const auto& it : changes) {
        const auto& applied_change = std::get<change>(it.command);
        json operations = json::array();
        for (const auto& operation : applied_change.operations) {
            operations.push_back(operation_json(operation));
        }
        list.push_back(
            {{"revision", it.revision.value()},
             {"id", applied_change.id.str()},
             {"time_ms", applied_change.time_ms},
             {"operations", operations}});
    }
    return answer(200, {{"changes", list}});
}

http::response error_answer(int status, const std::string& reason)
{
    return answer(status, {{"error", reason}});
}

http::response unknown_outcome_answer(bool maybe_applied, const std::string& reason)
{
    return answer(
        503,
        {{"outcome", "unknown"}, {"maybe_applied", maybe_applied}, {"error", reason}});
}

http::response leader_answer(const core::endpoint& leader)
{
    return answer(421, {{"leader", leader.str()}});
}

http::response status_answer(const fleet_status& it)
{
    json instances = json::array();
    for (const auto& instance : it.instances) {
        instances.push_back(instance_json(instance));
    }
    json lagging_entries = json::array();
    for (const auto& entry : it.lagging_entries) {
        lagging_entries.push_back(
            {{"id", entry.id.str()},
             {"revision", revision_json(entry.in_force)},
             {"since_ms", absl::ToInt64Milliseconds(entry.since)}});
    }
    return answer(
        200,
        {{"revision", it.revision.value()},
         {"term", it.term.value()},
         {"leader", it.leader ? json(it.leader->str()) : json()},
         {"instances", instances},
         {"lacking", lagging_entries}});
}

} // namespace cuminpitch::control
