#include "commands_priv.hpp"
#include "cuminpitch/cli/run.hpp"
#include "cuminpitch/config/diff.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <iomanip>

namespace cuminpitch::cli {
namespace {

/// Maximum number of changes requested in one call.
constexpr std::uint64_t history_page_size = 100;

/// Returns an age such as "12 ms", or "never" if there was no contact.
std::string age_text(const nlohmann::json& instance, const char* name)
{
    const auto it = instance.find(name);
    return it != instance.end() && it->is_number() ? it->dump() + " ms" : "never";
}

std::string operation_text(const nlohmann::json& it)
{
    const auto value = it.find("value");
    return value == it.end()
               ? "- " + text_of(it, "path")
               : absl::StrCat("= ", text_of(it, "path"), " = ", value->dump());
}

/// Replaces the keys of customers in a change by their number.
nlohmann::json without_keys(nlohmann::json change)
{
    const auto operations = change.find("operations");
    if (operations == change.end() || !operations->is_array()) {
        return change;
    }
    for (auto& operation : *operations) {
        if (const auto value = operation.find("value"); value != operation.end()) {
            *value = nlohmann::json::parse(
                config::shown_value(text_of(operation, "path"), value->dump()));
        }
    }
    return change;
}

void print_change(context& it, const nlohmann::json& received)
{
    const auto change = without_keys(received);
    if (it.args.json) {
        it.out << change.dump() << '\n';
        return;
    }
    const auto time =
        absl::FromUnixMillis(static_cast<std::int64_t>(number_of(change, "time_ms")));
    it.out << "revision " << number_of(change, "revision") << "  "
           << absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ", time, absl::UTCTimeZone())
           << "  change " << text_of(change, "id") << '\n';
    for (const auto& operation : list_of(change, "operations")) {
        it.out << "  " << operation_text(operation) << '\n';
    }
}

/// Prints one row of the table of instances.
void print_row(std::ostream& out, const std::vector<std::string>& cells)
{
    constexpr int widths[] = {24, 8, 20, 10, 12, 12, 0};
    const int* width = widths;
    for (const auto& cell : cells) {
        out << std::left << std::setw(*width++) << cell
            << (&cell == &cells.back() ? '\n' : ' ');
    }
}

void print_instances(context& it, const nlohmann::json& status)
{
    print_row(
        it.out,
        {"INSTANCE", "ROLE", "FAILURE DOMAIN", "REVISION", "IN", "OUT", "DRAINING"});
    for (const auto& instance : list_of(status, "instances")) {
        const auto draining = instance.find("draining");
        print_row(
            it.out,
            {text_of(instance, "id"),
             text_of(instance, "role"),
             text_of(instance, "failure_domain"),
             absl::StrCat(number_of(instance, "revision")),
             age_text(instance, "contact_in_ms"),
             age_text(instance, "contact_out_ms"),
             draining != instance.end() && *draining == true ? "yes" : "no"});
    }
}

} // namespace

int run_validate(context& it)
{
    const auto loaded = load_declarations(it);
    if (!loaded) {
        return exit_invalid;
    }
    if (it.args.json) {
        it.out
            << nlohmann::json{{"outcome", "valid"}, {"settings", loaded->size()}}.dump()
            << '\n';
    } else {
        it.out << "valid: " << loaded->size() << " settings\n";
    }
    return exit_done;
}

int run_get(context& it)
{
    const auto current = read_settings(it, it.args.prefix);
    if (!current) {
        return exit_failed;
    }
    if (it.args.json) {
        auto settings = nlohmann::json::object();
        for (const auto& [path, text] : current->tree) {
            settings[path] = nlohmann::json::parse(text);
        }
        it.out << nlohmann::json{{"revision", current->revision}, {"settings", settings}}
                      .dump()
               << '\n';
        return exit_done;
    }
    for (const auto& [path, text] : current->tree) {
        it.out << path << " = " << text << '\n';
    }
    it.err << "revision " << current->revision << '\n';
    return exit_done;
}

int run_history(context& it)
{
    std::uint64_t after = it.args.after;
    std::uint64_t left = it.args.limit;
    while (left > 0) {
        const auto limit = std::min(left, history_page_size);
        const auto body =
            get(it, absl::StrCat("/v1/changes?after=", after, "&limit=", limit));
        if (!body) {
            return exit_failed;
        }
        const auto changes = list_of(*body, "changes");
        for (const auto& change : changes) {
            print_change(it, change);
        }
        const auto last = changes.empty() ? 0 : number_of(changes.back(), "revision");
        // Stops if the response doesn't advance, which would otherwise loop forever.
        if (last <= after) {
            return exit_done;
        }
        after = last;
        left -= std::min<std::uint64_t>(left, changes.size());
    }
    return exit_done;
}

int run_status(context& it)
{
    const auto revision = it.args.revision;
    const auto body = get(
        it, revision ? absl::StrCat("/v1/status?revision=", *revision) : "/v1/status");
    if (!body) {
        return exit_failed;
    }
    if (it.args.json) {
        it.out << body->dump() << '\n';
        return exit_done;
    }
    it.out << "revision " << number_of(*body, "revision") << ", leader "
           << text_of(*body, "leader") << ", term " << number_of(*body, "term") << '\n';
    print_instances(it, *body);
    for (const auto& lacking : list_of(*body, "lacking")) {
        it.out << text_of(lacking, "id") << " lacks the revision: has "
               << number_of(lacking, "revision") << ", for "
               << number_of(lacking, "since_ms") << " ms\n";
    }
    return exit_done;
}

} // namespace cuminpitch::cli
