#include "commands_priv.hpp"
#include "cuminpitch/cli/run.hpp"
#include "cuminpitch/config/loader.hpp"

#include <algorithm>

namespace cuminpitch::cli {
namespace {

constexpr int status_ok = 200;
constexpr int status_conflict = 409;
constexpr int status_invalid = 422;

bool concerns(const config::problem& it, const std::string& team)
{
    const std::string folder = "teams/" + team;
    // Other teams' files may be unfinished. A problem outside of teams/ concerns every
    // team.
    return !it.file.starts_with("teams/") || it.file == folder ||
           it.file.starts_with(folder + "/");
}

void print_problems(context& it, const std::vector<config::problem>& problems)
{
    if (it.args.json) {
        auto list = nlohmann::json::array();
        for (const auto& problem : problems) {
            list.push_back(
                {{"file", problem.file},
                 {"path", problem.path},
                 {"reason", problem.reason}});
        }
        it.out << nlohmann::json{{"outcome", "invalid"}, {"problems", list}}.dump()
               << '\n';
        return;
    }
    for (const auto& problem : problems) {
        it.err << config::to_string(problem) << '\n';
    }
}

} // namespace

std::optional<config::settings> load_declarations(context& it)
{
    auto loaded = config::load_and_check(it.args.folder);
    if (it.args.team) {
        std::erase_if(loaded.problems, [&](const auto& problem) {
            return !concerns(problem, *it.args.team);
        });
        loaded.tree = config::team_subtree(loaded.tree, *it.args.team);
        if (loaded.tree.empty() && loaded.problems.empty()) {
            loaded.problems.push_back(
                {"teams/" + *it.args.team,
                 "",
                 "no declarations of this team; allowed: a team of the folder"});
        }
    }
    if (loaded.problems.empty()) {
        return std::move(loaded.tree);
    }
    print_problems(it, loaded.problems);
    return std::nullopt;
}

std::optional<current_settings> read_settings(context& it, const std::string& prefix)
{
    const auto body = get(it, "/v1/settings?prefix=" + escape(prefix));
    if (!body) {
        return std::nullopt;
    }
    current_settings result;
    result.revision = number_of(*body, "revision");
    const auto settings = body->find("settings");
    if (settings == body->end() || !settings->is_object()) {
        it.err << "cuminpitch: the response to GET /v1/settings has no settings\n";
        return std::nullopt;
    }
    for (const auto& [path, value] : settings->items()) {
        // Paths without the prefix are ignored; diff would list them as deletions.
        if (path.starts_with(prefix)) {
            result.tree.emplace(path, value.dump());
        }
    }
    return result;
}

std::optional<nlohmann::json> get(context& it, const std::string& target)
{
    const auto answered = it.client.call("GET", target, "");
    if (!answered) {
        it.err << "cuminpitch: no control instance answered: " << it.client.error()
               << '\n';
        return std::nullopt;
    }
    if (answered->status != status_ok) {
        it.err << "cuminpitch: status " << answered->status << " for GET " << target
               << ": " << answered->body.dump() << '\n';
        return std::nullopt;
    }
    return answered->body;
}

int print_refusal(context& it, const response& refused)
{
    if (refused.status == status_invalid) {
        std::vector<config::problem> problems;
        for (const auto& problem : list_of(refused.body, "problems")) {
            const std::string path = text_of(problem, "path");
            problems.push_back({config::file_of(path), path, text_of(problem, "reason")});
        }
        std::sort(problems.begin(), problems.end());
        print_problems(it, problems);
        it.err << "invalid: nothing was applied\n";
        return exit_invalid;
    }
    if (it.args.json) {
        it.out << refused.body.dump() << '\n';
    }
    if (refused.status == status_conflict) {
        it.err << "conflict: nothing was applied; current revision "
               << number_of(refused.body, "revision") << '\n';
        for (const auto& path : list_of(refused.body, "paths")) {
            it.err << "  " << (path.is_string() ? path.get<std::string>() : path.dump())
                   << '\n';
        }
        return exit_conflict;
    }
    it.err << "cuminpitch: status " << refused.status << ": " << refused.body.dump()
           << '\n';
    return exit_failed;
}

void print_operations(context& it, const std::vector<config::operation>& operations)
{
    if (!it.args.json) {
        for (const auto& operation : operations) {
            it.out << config::to_string(operation) << '\n';
        }
        return;
    }
    auto list = nlohmann::json::array();
    for (const auto& operation : operations) {
        const auto value = [&](const std::optional<std::string>& text) {
            return text
                       ? nlohmann::json::parse(config::shown_value(operation.path, *text))
                       : nlohmann::json();
        };
        list.push_back(
            {{"path", operation.path},
             {"old", value(operation.old_value)},
             {"new", value(operation.new_value)}});
    }
    it.out << nlohmann::json{{"operations", list}}.dump() << '\n';
}

std::string text_of(const nlohmann::json& object, const char* name)
{
    const auto it = object.find(name);
    return it != object.end() && it->is_string() ? it->get<std::string>() : "";
}

std::uint64_t number_of(const nlohmann::json& object, const char* name)
{
    const auto it = object.find(name);
    return it != object.end() && it->is_number_unsigned() ? it->get<std::uint64_t>() : 0;
}

nlohmann::json list_of(const nlohmann::json& object, const char* name)
{
    const auto it = object.find(name);
    return it != object.end() && it->is_array() ? *it : nlohmann::json::array();
}

} // namespace cuminpitch::cli
