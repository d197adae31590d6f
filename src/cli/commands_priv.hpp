#pragma once

#include "control_client_priv.hpp"
#include "cuminpitch/config/diff.hpp"
#include "cuminpitch/config/settings.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace cuminpitch::cli {

/// Validated arguments of the command line; each command uses some of them.
struct options
{
    bool json = false;
    std::vector<core::endpoint> control;
    absl::Duration timeout;

    std::string folder;
    std::optional<std::string> team;
    std::optional<std::uint64_t> base_revision;
    std::string change_id;
    bool wait = false;

    std::string prefix;
    std::uint64_t after = 0;
    std::uint64_t limit = 0;
    std::optional<std::uint64_t> revision;

    std::vector<std::string> endpoints;
    std::string pool;
    std::vector<std::string> entries;

    std::string request;
    std::vector<std::string> logs;
};

struct context
{
    const options& args;
    control_client client;
    std::ostream& out;
    std::ostream& err;
};

// Each command returns its exit status.
int run_validate(context& it);
int run_diff(context& it);
int run_apply(context& it);
int run_get(context& it);
int run_history(context& it);
int run_status(context& it);
int run_init(context& it);
int run_reassign(context& it);
int run_explain(context& it);

/// Loads the settings of the folder, or of one team's subtree if a team is given. Prints
/// the problems and returns nothing if there are any.
std::optional<config::settings> load_declarations(context& it);

/// Settings stored by the control group, and their revision.
struct current_settings
{
    std::uint64_t revision = 0;
    config::settings tree;
};
/// Reads the settings whose paths start with the prefix. Prints an error and returns
/// nothing on failure.
std::optional<current_settings> read_settings(context& it, const std::string& prefix);

/// Sends a GET. Prints an error and returns nothing unless the status is 200.
std::optional<nlohmann::json> get(context& it, const std::string& target);

/// Prints the response to a refused call and returns the exit status.
int print_refusal(context& it, const response& refused);

/// Prints operations, one per line or as JSON.
void print_operations(context& it, const std::vector<config::operation>& operations);

// Each returns a member of a response object, or an empty default if the member is
// missing or has another type.
std::string text_of(const nlohmann::json& object, const char* name);
std::uint64_t number_of(const nlohmann::json& object, const char* name);
nlohmann::json list_of(const nlohmann::json& object, const char* name);

} // namespace cuminpitch::cli
