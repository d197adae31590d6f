#include "commands_priv.hpp"
#include "cuminpitch/cli/run.hpp"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <random>

namespace cuminpitch::cli {
namespace {

constexpr int status_ok = 200;
constexpr absl::Duration poll_interval = absl::Milliseconds(250);

/// Returns 128 random bits in hex, so that ids of independent operators don't collide.
std::string random_id()
{
    std::random_device source;
    std::string id;
    for (int i = 0; i < 4; ++i) {
        absl::StrAppend(&id, absl::Hex(source(), absl::kZeroPad8));
    }
    return id;
}

std::string prefix_of(const context& it)
{
    return it.args.team ? "teams/" + *it.args.team + "/" : "teams/";
}

std::string change_body(
    const std::string& id,
    std::uint64_t base_revision,
    const std::vector<config::operation>& operations)
{
    auto list = nlohmann::json::array();
    for (const auto& operation : operations) {
        nlohmann::json it = {{"path", operation.path}};
        if (operation.new_value) {
            it["value"] = nlohmann::json::parse(*operation.new_value);
        } else {
            it["delete"] = true;
        }
        list.push_back(std::move(it));
    }
    return nlohmann::json{
        {"id", id}, {"base_revision", base_revision}, {"operations", list}}
        .dump();
}

/// Lists the instances that don't have the revision yet, on one line; empty once all have
/// it.
std::string lacking_text(const nlohmann::json& status, std::uint64_t revision)
{
    if (number_of(status, "revision") < revision) {
        return absl::StrCat(
            "the answering control instance (has ", number_of(status, "revision"), ")");
    }
    std::string result;
    for (const auto& it : list_of(status, "lacking")) {
        absl::StrAppend(
            &result,
            result.empty() ? "" : ", ",
            text_of(it, "id"),
            " (has ",
            number_of(it, "revision"),
            ")");
    }
    return result;
}

int wait_until_in_force(context& it, std::uint64_t revision)
{
    std::string shown;
    while (true) {
        const auto status = get(it, absl::StrCat("/v1/status?revision=", revision));
        if (!status) {
            return exit_timeout;
        }
        const std::string lacking = lacking_text(*status, revision);
        if (lacking.empty()) {
            it.err << "revision " << revision << " is in force everywhere\n";
            return exit_done;
        }
        if (lacking != shown) {
            it.err << "revision " << revision << " is lacking at: " << lacking << '\n';
            shown = lacking;
        }
        if (absl::Now() + poll_interval >= it.client.deadline()) {
            it.err << "timeout: revision " << revision
                   << " is accepted but not yet in force at: " << lacking << '\n';
            return exit_timeout;
        }
        absl::SleepFor(poll_interval);
    }
}

int print_applied(
    context& it,
    const std::string& id,
    std::uint64_t revision,
    const std::vector<config::operation>& operations)
{
    if (it.args.json) {
        it.out << nlohmann::json{
                      {"outcome", "applied"},
                      {"revision", revision},
                      {"id", id},
                      {"operations", operations.size()}}
                      .dump()
               << '\n';
    } else {
        print_operations(it, operations);
        it.out << "applied: revision " << revision << ", change " << id << '\n';
    }
    return it.args.wait ? wait_until_in_force(it, revision) : exit_done;
}

int print_unchanged(context& it, std::uint64_t revision)
{
    if (it.args.json) {
        it.out << nlohmann::json{{"outcome", "unchanged"}, {"revision", revision}}.dump()
               << '\n';
    } else {
        it.out << "no difference at revision " << revision << '\n';
    }
    return it.args.wait ? wait_until_in_force(it, revision) : exit_done;
}

int print_unknown(context& it, const std::string& id, std::uint64_t base_revision)
{
    if (it.args.json) {
        it.out
            << nlohmann::
                   json{{"outcome", "unknown"}, {"id", id}, {"base_revision", base_revision}}
                       .dump()
            << '\n';
    }
    it.err << "timeout: the outcome of change " << id
           << " is unknown and it may still be applied (" << it.client.error()
           << "); repeat the command with --id " << id << " --base-revision "
           << base_revision << '\n';
    return exit_timeout;
}

} // namespace

int run_diff(context& it)
{
    const auto wanted = load_declarations(it);
    if (!wanted) {
        return exit_invalid;
    }
    const auto current = read_settings(it, prefix_of(it));
    if (!current) {
        return exit_failed;
    }
    print_operations(it, config::diff(current->tree, *wanted));
    return exit_done;
}

int run_apply(context& it)
{
    const auto wanted = load_declarations(it);
    if (!wanted) {
        it.err << "invalid: nothing was applied\n";
        return exit_invalid;
    }
    const auto current = read_settings(it, prefix_of(it));
    if (!current) {
        return exit_failed;
    }
    const auto operations = config::diff(current->tree, *wanted);
    if (operations.empty()) {
        return print_unchanged(it, current->revision);
    }
    const std::string id = it.args.change_id.empty() ? random_id() : it.args.change_id;
    const auto base = it.args.base_revision.value_or(current->revision);
    const auto answered =
        it.client.call("POST", "/v1/changes", change_body(id, base, operations));
    if (!answered) {
        return print_unknown(it, id, base);
    }
    if (answered->status != status_ok) {
        return print_refusal(it, *answered);
    }
    return print_applied(it, id, number_of(answered->body, "revision"), operations);
}

} // namespace cuminpitch::cli
