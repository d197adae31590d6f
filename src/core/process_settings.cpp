#include "cuminpitch/core/process_settings.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>

namespace cuminpitch::core {
namespace {

// A group has 3 or 5 control instances, and one more while an instance is replaced.
constexpr std::size_t max_control_instances = 6;
constexpr std::size_t max_entry_peers = 64;
constexpr std::size_t max_seeds = 64;
const std::vector<std::string> boolean_values = {"false", "true"};
const std::vector<std::string> admission_orders = {"arrival-order", "ranked"};
constexpr std::uint32_t max_entries_per_answer = 64;
constexpr std::uint32_t max_declared_losses = 5;
constexpr std::uint32_t max_slots_per_entry = 1'000'000;
constexpr std::uint32_t max_memory_mb = 1'000'000;
constexpr std::uint32_t max_pipeline_depth = 64;

/// An endpoint that may be omitted; parsed as a list of at most one.
setting_type<std::vector<endpoint>> optional_endpoint_setting()
{
    return endpoint_list_setting(0, 1);
}

std::optional<endpoint> first_of(const std::vector<endpoint>& list)
{
    return list.empty() ? std::nullopt : std::optional(list.front());
}
const std::vector<std::string> log_levels = {"debug", "info", "warning", "error"};

telemetry::severity severity_of(const std::string& level)
{
    const auto it = std::find(log_levels.begin(), log_levels.end(), level);
    return static_cast<telemetry::severity>(it - log_levels.begin());
}

/// Parsed values that apply_common() converts to the types of the settings.
struct common_texts
{
    std::string id;
    std::string failure_domain;
    std::string log_level;
    std::vector<endpoint> internal_listen;
};

template <class Settings>
void add_common(setting_parser& parser, Settings& to, common_texts& texts)
{
    parser.add("id", "Name of this instance", name_setting(), texts.id);
    parser.add("http", "HTTP address of this instance", endpoint_setting(), to.http);
    parser.add(
        "internal",
        "Address of this instance for other processes of the fleet",
        endpoint_setting(),
        to.internal);
    parser.add(
        "internal-listen",
        "Address to listen on instead of --internal, which is still the advertised "
        "address",
        optional_endpoint_setting(),
        texts.internal_listen,
        "");
    parser.add(
        "failure-domain",
        "Failure domain of this instance",
        name_setting(),
        texts.failure_domain);
    parser.add(
        "log-level",
        "Minimum severity of the logged events",
        choice_setting(log_levels),
        texts.log_level,
        "info");
    parser.add(
        "memory-mb",
        "Memory in MB that the process may use, which limits the bodies that it buffers; "
        "0: unknown",
        count_setting(0, max_memory_mb),
        to.memory_mb,
        "0");
    parser.add_hidden_flag("fault-injection", to.fault_injection);
}

void add_directory(setting_parser& parser, std::vector<endpoint>& to)
{
    parser.add(
        "directory",
        "HTTP address for callers that look up the entries to use",
        optional_endpoint_setting(),
        to,
        "");
}

template <class Settings>
void apply_common(const common_texts& texts, Settings& to)
{
    to.id = instance_id(texts.id);
    to.failure_domain = failure_domain_id(texts.failure_domain);
    to.log_level = severity_of(texts.log_level);
    to.internal_listen = first_of(texts.internal_listen);
}

std::string join(const std::vector<endpoint>& list)
{
    return absl::StrJoin(
        list, ",", [](std::string* out, const endpoint& it) { out->append(it.str()); });
}

/// Returns an error if --http equals --internal or if the list contains one of the two.
template <class Settings>
std::optional<exit_request> check_endpoints(
    const Settings& it, const std::string& list_name, const std::vector<endpoint>& others)
{
    if (it.http == it.internal) {
        return bad_setting(
            "internal", it.internal.str(), "another address or port than --http");
    }
    for (const auto& own : {it.http, it.internal}) {
        if (std::find(others.begin(), others.end(), own) != others.end()) {
            return bad_setting(
                list_name,
                join(others),
                "internal endpoints of other instances; " + own.str() +
                    " is this instance");
        }
    }
    return std::nullopt;
}

} // namespace

std::variant<control_settings, exit_request>
parse_control_settings(int argc, const char* const* argv)
{
    control_settings it;
    common_texts texts;
    setting_parser parser(
        "cuminpitch-control", "Control instance of a cuminpitch fleet.");
    add_common(parser, it, texts);
    parser.add(
        "data-dir",
        "Folder for the durable state of this instance",
        writable_folder_setting(),
        it.data_dir);
    parser.add(
        "peers",
        "Internal endpoints of the other control instances",
        endpoint_list_setting(0, max_control_instances - 1),
        it.peers,
        "");
    std::string form_group;
    std::vector<endpoint> directory;
    parser.add(
        "declared-losses",
        "Number of control instances that may be lost at the same moment, with their "
        "disks; the group keeps as many voters as this needs",
        count_setting(0, max_declared_losses),
        it.declared_losses,
        "1");
    parser.add(
        "seeds",
        "Internal endpoints of some control instances, instead of --peers",
        endpoint_list_setting(0, max_seeds),
        it.seeds,
        "");
    parser.add(
        "form-group",
        "Whether the seeds form the initial group at the first start of the fleet",
        choice_setting(boolean_values),
        form_group,
        "false");
    add_directory(parser, directory);
    parser.add(
        "entries-per-answer",
        "Number of entries listed in a directory response",
        count_setting(1, max_entries_per_answer),
        it.entries_per_answer,
        "3");
    parser.add(
        "slots-per-entry",
        "Number of backend server slots that one entry can keep busy; responses list "
        "more entries if the servers have more slots; 0: disabled",
        count_setting(0, max_slots_per_entry),
        it.slots_per_entry,
        "0");
    if (auto early_exit = parser.parse(argc, argv)) {
        return *early_exit;
    }
    it.form_group = form_group == "true";
    it.directory = first_of(directory);
    apply_common(texts, it);
    if (!it.seeds.empty() && !it.peers.empty()) {
        return bad_setting("seeds", join(it.seeds), "either --seeds or --peers");
    }
    if (it.form_group && it.seeds.empty()) {
        return bad_setting("form-group", form_group, "only with --seeds");
    }
    const std::size_t instances = it.peers.size() + 1;
    if (it.seeds.empty() && it.declared_losses > 1 &&
        instances < 2 * it.declared_losses + 1) {
        return bad_setting(
            "declared-losses",
            absl::StrCat(it.declared_losses),
            absl::StrCat(
                "at most ", (instances - 1) / 2, " with ", instances, " instances"));
    }
    if (auto early_exit = check_endpoints(it, "peers", it.peers)) {
        return *early_exit;
    }
    return it;
}

std::variant<entry_settings, exit_request>
parse_entry_settings(int argc, const char* const* argv)
{
    entry_settings it;
    common_texts texts;
    setting_parser parser("cuminpitch-entry", "Entry instance of a cuminpitch fleet.");
    add_common(parser, it, texts);
    parser.add(
        "control",
        "Internal endpoints of the control instances",
        endpoint_list_setting(0, max_control_instances),
        it.control,
        "");
    std::vector<endpoint> readiness;
    std::vector<endpoint> directory;
    add_directory(parser, directory);
    parser.add(
        "seeds",
        "Internal endpoints of some control instances, instead of --control",
        endpoint_list_setting(0, max_seeds),
        it.seeds,
        "");
    parser.add(
        "readiness",
        "HTTP address that reports whether callers may connect to the entry",
        optional_endpoint_setting(),
        readiness,
        "");
    parser.add(
        "isolation-timeout",
        "Time without contact to the fleet after which requests are refused",
        duration_setting(absl::Seconds(1), absl::Hours(24)),
        it.isolation_timeout,
        "5s");
    absl::Duration stop_limit;
    parser.add(
        "stop-grace",
        "Maximum time from the stop signal to the end of the process; 0s: until callers "
        "no longer cache a directory response and no requests run",
        duration_setting(absl::ZeroDuration(), absl::Hours(1)),
        stop_limit,
        "0s");
    parser.add(
        "slots",
        "Slots of backend servers that this entry can keep busy, from which control "
        "derives how many entries it names to callers; 0: as --slots-per-entry of "
        "control",
        count_setting(0, max_slots_per_entry),
        it.slots,
        "0");
    absl::Duration max_key_age;
    parser.add(
        "max-key-age",
        "Time for which keys of customers are valid after control has last confirmed the "
        "state of this entry; 0s: unlimited",
        duration_setting(absl::ZeroDuration(), absl::Hours(24)),
        max_key_age,
        "0s");
    std::string admission;
    parser.add(
        "admission",
        "Order in which requests are served, and refused under overload",
        choice_setting(admission_orders),
        admission,
        "arrival-order");
    parser.add(
        "pipeline-depth",
        "Requests of one connection of a caller that may be open at the same time",
        count_setting(1, max_pipeline_depth),
        it.pipeline_depth,
        "1");
    parser.add(
        "peers",
        "Internal endpoints of entries to query while no control instance is reachable "
        "at startup",
        endpoint_list_setting(0, max_entry_peers),
        it.peers,
        "");
    if (auto early_exit = parser.parse(argc, argv)) {
        return *early_exit;
    }
    apply_common(texts, it);
    it.readiness = first_of(readiness);
    it.directory = first_of(directory);
    if (stop_limit > absl::ZeroDuration()) {
        it.stop_grace = stop_limit;
    }
    if (max_key_age > absl::ZeroDuration()) {
        it.max_key_age = max_key_age;
    }
    it.has_ranked_admission = admission == "ranked";
    if (it.control.empty() == it.seeds.empty()) {
        return bad_setting("control", join(it.control), "either --control or --seeds");
    }
    if (auto early_exit = check_endpoints(it, "control", it.control)) {
        return *early_exit;
    }
    if (auto early_exit = check_endpoints(it, "peers", it.peers)) {
        return *early_exit;
    }
    return it;
}

} // namespace cuminpitch::core
