#include "cuminpitch/cli/run.hpp"

#include "commands_priv.hpp"
#include "cuminpitch/core/setting_parser.hpp"

#include <CLI/CLI.hpp>
#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_replace.h>

#include <absl/time/clock.h>

#include <algorithm>
#include <functional>
#include <random>

namespace cuminpitch::cli {
namespace {

// Groups have 3 or 5 control instances, and one more while an instance is replaced.
constexpr std::size_t max_control_instances = 6;
constexpr std::size_t max_assigned_entries = 16;
constexpr std::size_t max_change_id_length = 128;
const std::string default_timeout_seconds = "30";
const std::string default_history_limit = "1000";

/// Option values as given on the command line, before validation.
struct raw_options
{
    std::string control;
    std::string timeout = default_timeout_seconds;
    std::string team;
    std::string base_revision;
    std::string revision;
    std::string after = "0";
    std::string limit = default_history_limit;
    bool force = false;
};

/// The error of an invalid setting; empty if the setting is valid.
using setting_error = std::optional<core::exit_request>;

core::setting_type<std::uint64_t> number_setting(std::uint64_t min, std::uint64_t max)
{
    return {
        "a whole number from " + std::to_string(min) + " to " + std::to_string(max),
        [min, max](const std::string& text) -> std::optional<std::uint64_t> {
            std::uint64_t n = 0;
            if (!absl::SimpleAtoi(text, &n) || n < min || n > max) {
                return std::nullopt;
            }
            return n;
        }};
}

core::setting_type<std::string> change_id_setting()
{
    return {
        "1 to 128 characters of [A-Za-z0-9._-]",
        [](const std::string& text) -> std::optional<std::string> {
            const bool valid =
                !text.empty() && text.size() <= max_change_id_length &&
                std::all_of(text.begin(), text.end(), [](char c) {
                    return absl::ascii_isalnum(static_cast<unsigned char>(c)) ||
                           c == '.' || c == '_' || c == '-';
                });
            return valid ? std::optional(text) : std::nullopt;
        }};
}

core::setting_type<std::string> pool_setting()
{
    return {"<team>/<pool>", [](const std::string& text) -> std::optional<std::string> {
                const auto slash = text.find('/');
                if (slash == std::string::npos ||
                    !config::is_name(text.substr(0, slash)) ||
                    !config::is_name(text.substr(slash + 1))) {
                    return std::nullopt;
                }
                return text;
            }};
}

template <class T, class To>
setting_error check(
    const std::string& name,
    const std::string& text,
    const core::setting_type<T>& type,
    To& to)
{
    auto it = type.read(text);
    if (!it) {
        return core::bad_setting(name, text, type.allowed);
    }
    to = std::move(*it);
    return std::nullopt;
}

/// Defines the command line, parses and validates it, and runs the chosen command.
class command_line
{
public:
    command_line() : app_("Operates a cuminpitch fleet.", "cuminpitch")
    {
        app_.require_subcommand(1);
        app_.fallthrough();
        app_.option_defaults()->multi_option_policy(CLI::MultiOptionPolicy::Throw);
        app_.add_option("--control", raw_.control, "HTTP endpoints of control instances")
            ->type_name("HOST:PORT,...")
            ->envname(core::environment_name("control"));
        app_.add_option("--timeout", raw_.timeout, "Time limit of the command in seconds")
            ->type_name("SECONDS")
            ->envname(core::environment_name("timeout"));
        app_.add_flag("--json", args_.json, "Print JSON");
        app_.footer("Exit status: 0 done, 1 failed, 2 invalid argument or declarations, "
                    "3 conflict, 4 timeout.");
        add_folder_commands();
        add_read_commands();
        add_group_commands();
        add_explain_command();
    }

    int run(int argc, const char* const* argv, std::ostream& out, std::ostream& err)
    {
        try {
            app_.parse(argc, argv);
        } catch (const CLI::CallForHelp&) {
            const auto chosen = app_.get_subcommands();
            out << (chosen.empty() ? app_.help() : chosen.front()->help());
            return exit_done;
        } catch (const CLI::ParseError& e) {
            err << "cuminpitch: " << absl::StrReplaceAll(e.what(), {{"\n", " "}})
                << "; see cuminpitch --help\n";
            return exit_invalid;
        }
        if (const auto refused = check_all()) {
            err << refused->text;
            return refused->status;
        }
        context it{
            args_,
            control_client(args_.control, core::random_source(std::random_device()())),
            out,
            err};
        it.client.set_deadline(absl::Now() + args_.timeout);
        return command_(it);
    }

private:
    using command = std::function<int(context&)>;

    CLI::App*
    add(const std::string& name, const std::string& description, const command& run)
    {
        auto* it = app_.add_subcommand(name, description);
        it->callback([this, run] { command_ = run; });
        return it;
    }

    void add_folder_commands()
    {
        auto* validate = add("validate", "Checks a folder of declarations", run_validate);
        auto* diff = add("diff", "Shows what apply would change", run_diff);
        auto* apply = add("apply", "Applies a folder of declarations", run_apply);
        for (auto* it : {validate, diff, apply}) {
            it->add_option("DIR", args_.folder, "Folder with teams/")->required();
            it->add_option("--team", raw_.team, "Only this team's subtree");
        }
        needs_no_control_ = {validate};
        apply->add_option(
            "--base-revision",
            raw_.base_revision,
            "Revision that the change is based on (default: the current one)");
        apply->add_option(
            "--id", args_.change_id, "Id of the change; an id is applied only once");
        apply->add_flag(
            "--wait", args_.wait, "Wait until the change is in force everywhere");
    }

    void add_read_commands()
    {
        add("get", "Prints settings", run_get)
            ->add_option("PREFIX", args_.prefix, "Only paths with this prefix");
        auto* history = add("history", "Prints changes", run_history);
        history->add_option("--after", raw_.after, "Only changes after this revision");
        history->add_option("--limit", raw_.limit, "Maximum number of changes");
        add("status", "Prints all instances and their revisions", run_status)
            ->add_option(
                "--revision",
                raw_.revision,
                "List the instances that lack this revision");
    }

    void add_group_commands()
    {
        init_ = add("init", "Forms the group of control instances, once", run_init);
        init_->add_option("ENDPOINT", args_.endpoints, "Internal endpoints of all voters")
            ->required();
        reassign_ =
            add("reassign",
                "Replaces the assigned entries of a pool whose majority is lost",
                run_reassign);
        reassign_->add_option("POOL", args_.pool, "<team>/<pool>")->required();
        reassign_->add_option("ENTRY", args_.entries, "Ids of the new entries")
            ->required();
        reassign_->add_flag(
            "--force", raw_.force, "Confirm that the entries left out are stopped");
    }

    /// Returns true if the option is present, even with an empty value. `--team ""`, as
    /// from an unset variable of a script, must not turn into a change of all teams.
    bool given(const std::string& name) const
    {
        const auto* option =
            app_.get_subcommands().front()->get_option_no_throw("--" + name);
        return option != nullptr && option->count() > 0;
    }

    setting_error check_all()
    {
        if (auto it = check_common()) {
            return it;
        }
        if (auto it = check_numbers()) {
            return it;
        }
        return check_group_commands();
    }

    void add_explain_command()
    {
        auto* explain =
            add("explain", "Prints the log lines of one request", run_explain);
        explain->add_option("ID", args_.request, "Id that the caller gave the request")
            ->required();
        explain->add_option("FILE", args_.logs, "Logs of entries and control instances")
            ->required();
        needs_no_control_.push_back(explain);
    }

    setting_error check_common()
    {
        const bool needs_control = std::none_of(
            needs_no_control_.begin(), needs_no_control_.end(), [](const CLI::App* it) {
                return it->parsed();
            });
        if (needs_control) {
            if (auto it = check(
                    "control",
                    raw_.control,
                    core::endpoint_list_setting(1, max_control_instances),
                    args_.control)) {
                return it;
            }
        }
        if (given("team")) {
            if (auto it = check("team", raw_.team, core::name_setting(), args_.team)) {
                return it;
            }
        }
        if (given("id")) {
            return check("id", args_.change_id, change_id_setting(), args_.change_id);
        }
        return std::nullopt;
    }

    setting_error check_numbers()
    {
        constexpr std::uint64_t longest_timeout_s = 86'400;
        constexpr auto any = std::numeric_limits<std::int64_t>::max();
        std::uint64_t seconds = 0;
        auto it =
            check("timeout", raw_.timeout, number_setting(1, longest_timeout_s), seconds);
        args_.timeout = absl::Seconds(seconds);
        if (!it && given("base-revision")) {
            it = check(
                "base-revision",
                raw_.base_revision,
                number_setting(0, any),
                args_.base_revision);
        }
        if (!it && given("revision")) {
            it = check("revision", raw_.revision, number_setting(1, any), args_.revision);
        }
        if (!it) {
            it = check("after", raw_.after, number_setting(0, any), args_.after);
        }
        if (!it) {
            it = check("limit", raw_.limit, number_setting(1, any), args_.limit);
        }
        return it;
    }

    setting_error check_group_commands()
    {
        if (init_->parsed()) {
            std::vector<core::endpoint> voters;
            return check(
                "ENDPOINT",
                absl::StrJoin(args_.endpoints, ","),
                core::endpoint_list_setting(1, max_control_instances),
                voters);
        }
        if (!reassign_->parsed()) {
            return std::nullopt;
        }
        if (auto it = check("POOL", args_.pool, pool_setting(), args_.pool)) {
            return it;
        }
        for (const auto& entry : args_.entries) {
            const auto count =
                std::count(args_.entries.begin(), args_.entries.end(), entry);
            if (!config::is_name(entry) || count > 1 ||
                args_.entries.size() > max_assigned_entries) {
                return core::bad_setting(
                    "ENTRY", entry, "1 to 16 distinct ids of entries");
            }
        }
        if (!raw_.force) {
            return core::bad_setting(
                "force",
                "",
                "it must be given, after making sure that the entries left out are "
                "stopped");
        }
        return std::nullopt;
    }

    CLI::App app_;
    raw_options raw_;
    options args_;
    command command_;
    std::vector<const CLI::App*> needs_no_control_;
    CLI::App* init_ = nullptr;
    CLI::App* reassign_ = nullptr;
};

} // namespace

int run(int argc, const char* const* argv, std::ostream& out, std::ostream& err)
{
    return command_line().run(argc, argv, out, err);
}

} // namespace cuminpitch::cli
