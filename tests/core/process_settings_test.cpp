#include "cuminpitch/core/process_settings.hpp"

#include <absl/strings/str_cat.h>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <map>

namespace cuminpitch::core {
namespace {

using arguments = std::map<std::string, std::string>;

arguments control_arguments()
{
    return {
        {"--id", "control-1"},
        {"--data-dir", testing::TempDir()},
        {"--http", "127.0.0.1:7001"},
        {"--internal", "127.0.0.1:7002"},
        {"--failure-domain", "olinda"},
        {"--peers", "127.0.0.2:7002,127.0.0.3:7002"}};
}

arguments entry_arguments()
{
    return {
        {"--id", "entry-1"},
        {"--http", "127.0.0.1:8001"},
        {"--internal", "127.0.0.1:8002"},
        {"--failure-domain", "olinda"},
        {"--control", "127.0.0.2:7002"}};
}

template <class Parse>
auto parse_with(Parse parse, const arguments& from)
{
    std::vector<const char*> argv = {"program"};
    for (const auto& [name, value] : from) {
        argv.push_back(name.c_str());
        argv.push_back(value.c_str());
    }
    return parse(static_cast<int>(argv.size()), argv.data());
}

/// Returns the error line without its line feed, or "accepted".
template <class Parse>
std::string error_line(Parse parse, const arguments& from)
{
    const auto it = parse_with(parse, from);
    const auto* early_exit = std::get_if<exit_request>(&it);
    if (early_exit == nullptr) {
        return "accepted";
    }
    EXPECT_EQ(early_exit->status, 2);
    EXPECT_EQ(std::count(early_exit->text.begin(), early_exit->text.end(), '\n'), 1);
    return early_exit->text.substr(0, early_exit->text.size() - 1);
}

// Guards against a setting that is stored in the wrong member.
TEST(process_settings, reads_all_settings_of_a_control_instance)
{
    const auto it = parse_with(parse_control_settings, control_arguments());
    const auto* settings = std::get_if<control_settings>(&it);
    ASSERT_NE(settings, nullptr);
    EXPECT_EQ(settings->id.str(), "control-1");
    EXPECT_EQ(settings->http.port, 7001);
    EXPECT_EQ(settings->internal.port, 7002);
    EXPECT_EQ(settings->failure_domain.str(), "olinda");
    EXPECT_EQ(settings->peers.size(), 2U);
    EXPECT_EQ(settings->log_level, telemetry::severity::info);
}

// Guards against a group that is too small for the losses that it was declared to bear.
TEST(process_settings, refuses_more_losses_than_the_instances_can_bear)
{
    auto arguments = control_arguments();
    arguments["--declared-losses"] = "2";
    EXPECT_TRUE(std::holds_alternative<exit_request>(
        parse_with(parse_control_settings, arguments)));
    arguments["--peers"] = "127.0.0.2:7002,127.0.0.3:7002,127.0.0.4:7002,127.0.0.5:7002";
    const auto it = parse_with(parse_control_settings, arguments);
    const auto* settings = std::get_if<control_settings>(&it);
    ASSERT_NE(settings, nullptr);
    EXPECT_EQ(settings->declared_losses, 2U);
}

// Guards against a memory limit that is parsed and not stored in the settings.
TEST(process_settings, reads_the_memory_of_both_kinds_of_instances)
{
    auto control = control_arguments();
    control["--memory-mb"] = "256";
    auto entry = entry_arguments();
    entry["--memory-mb"] = "160";
    EXPECT_EQ(
        std::get<control_settings>(parse_with(parse_control_settings, control)).memory_mb,
        256U);
    EXPECT_EQ(
        std::get<entry_settings>(parse_with(parse_entry_settings, entry)).memory_mb,
        160U);
}

// Guards against a depth that is not stored, and against reading ahead where nobody asked
// for it.
TEST(process_settings, reads_the_pipeline_depth)
{
    auto from = entry_arguments();
    const auto depth = [&] {
        return std::get<entry_settings>(parse_with(parse_entry_settings, from))
            .pipeline_depth;
    };
    EXPECT_EQ(depth(), 1U);
    from["--pipeline-depth"] = "64";
    EXPECT_EQ(depth(), 64U);
    for (const std::string wrong : {"0", "65"}) {
        from["--pipeline-depth"] = wrong;
        EXPECT_THAT(
            error_line(parse_entry_settings, from),
            testing::StartsWith("setting --pipeline-depth: value '" + wrong + "'"));
    }
}

// Guards against invalid values that are accepted, and against errors that do not contain
// the name and the value.
TEST(process_settings, refuses_wrong_values_with_name_and_value)
{
    const std::vector<std::pair<std::string, std::string>> wrong = {
        {"--id", "Control_1"},
        {"--id", std::string(64, 'a')},
        {"--http", "localhost:80"},
        {"--http", "0.0.0.0:80"},
        {"--internal", "127.0.0.1:70000"},
        {"--failure-domain", "a b"},
        {"--peers", "127.0.0.2:7002,127.0.0.2:7002"},
        {"--peers", "127.0.0.2:7002,"},
        {"--data-dir", "/nonexistent/folder"},
        {"--memory-mb", "-1"},
        {"--memory-mb", "160MB"},
        {"--log-level", "loud"}};
    for (const auto& [name, value] : wrong) {
        auto from = control_arguments();
        from[name] = value;
        EXPECT_THAT(
            error_line(parse_control_settings, from),
            testing::StartsWith(absl::StrCat(
                "setting ", name, ": value '", value, "' is not allowed: ")));
    }
}

// Guards against a process that starts with a read-only data folder. /proc is not
// writable for root either.
// Guards against a fleet that refuses by priority without having been asked to.
TEST(process_settings, admission_is_in_arrival_order_unless_set)
{
    auto entry = entry_arguments();
    EXPECT_FALSE(std::get<entry_settings>(parse_with(parse_entry_settings, entry))
                     .has_ranked_admission);
    entry["--admission"] = "ranked";
    EXPECT_TRUE(std::get<entry_settings>(parse_with(parse_entry_settings, entry))
                    .has_ranked_admission);
    entry["--admission"] = "sorted";
    EXPECT_EQ(
        error_line(parse_entry_settings, entry),
        "setting --admission: value 'sorted' is not allowed: one of arrival-order, "
        "ranked");
}

TEST(process_settings, refuses_data_folder_that_is_not_writable)
{
    auto from = control_arguments();
    from["--data-dir"] = "/proc";
    EXPECT_THAT(
        error_line(parse_control_settings, from),
        testing::StartsWith("setting --data-dir: value '/proc' is not allowed: "));
}

// Guards against a process that starts without a required setting.
TEST(process_settings, refuses_missing_settings)
{
    for (const auto& [name, value] : entry_arguments()) {
        auto from = entry_arguments();
        from.erase(name);
        EXPECT_THAT(
            error_line(parse_entry_settings, from),
            testing::StartsWith("setting " + name + ": value '' is not allowed: "));
    }
}

// Guards against contradictory settings that are detected only after a socket was opened.
TEST(process_settings, refuses_contradictory_settings)
{
    auto same_port = control_arguments();
    same_port["--internal"] = same_port["--http"];
    EXPECT_THAT(
        error_line(parse_control_settings, same_port),
        testing::StartsWith("setting --internal: value '127.0.0.1:7001'"));
    auto own_peer = control_arguments();
    own_peer["--peers"] = "127.0.0.2:7002,127.0.0.1:7002";
    EXPECT_THAT(
        error_line(parse_control_settings, own_peer),
        testing::HasSubstr("127.0.0.1:7002 is this instance"));
    auto own_control = entry_arguments();
    own_control["--control"] = "127.0.0.1:8002";
    EXPECT_THAT(
        error_line(parse_entry_settings, own_control),
        testing::StartsWith("setting --control: "));
}

// Guards against misspelled flags, repeated flags and flags without a value that are
// ignored or reported in another format.
TEST(process_settings, refuses_unknown_repeated_and_empty_flags)
{
    auto unknown = entry_arguments();
    unknown["--failure-domian"] = "olinda";
    EXPECT_THAT(
        error_line(parse_entry_settings, unknown),
        testing::StartsWith("setting --failure-domian: value '' is not allowed: only"));
    const char* twice[] = {"entry", "--id", "a", "--id", "b"};
    const auto repeated = parse_entry_settings(5, twice);
    EXPECT_THAT(
        std::get<exit_request>(repeated).text,
        testing::StartsWith("setting --id: value 'a b'"));
    const char* bare[] = {"entry", "--id"};
    const auto empty = parse_entry_settings(2, bare);
    EXPECT_THAT(
        std::get<exit_request>(empty).text,
        testing::StartsWith("setting --id: value ''"));
}

// Guards against a value with line feeds that splits its error into several lines.
TEST(process_settings, keeps_errors_on_one_line)
{
    auto from = entry_arguments();
    from["--id"] = "a\nb";
    EXPECT_THAT(
        error_line(parse_entry_settings, from),
        testing::StartsWith("setting --id: value 'a\\nb' is not allowed"));
}

// Guards against environment variables that are ignored or that take precedence over
// flags.
TEST(process_settings, reads_environment_unless_flag_is_given)
{
    auto from = entry_arguments();
    from.erase("--failure-domain");
    setenv("CUMINPITCH_FAILURE_DOMAIN", "jaboatao", 1);
    setenv("CUMINPITCH_ID", "other", 1);
    const auto it = parse_with(parse_entry_settings, from);
    unsetenv("CUMINPITCH_FAILURE_DOMAIN");
    unsetenv("CUMINPITCH_ID");
    ASSERT_TRUE(std::holds_alternative<entry_settings>(it));
    EXPECT_EQ(std::get<entry_settings>(it).failure_domain.str(), "jaboatao");
    EXPECT_EQ(std::get<entry_settings>(it).id.str(), "entry-1");
}

} // namespace
} // namespace cuminpitch::core
