#include "cuminpitch/cli/run.hpp"

#include "config/temporary_folder.hpp"
#include "fake_control.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <sstream>

namespace cuminpitch::cli {
namespace {

using testing::HasSubstr;

struct outcome
{
    int status = 0;
    std::string out;
    std::string err;
};

outcome run_command(const std::vector<std::string>& arguments)
{
    std::vector<const char*> argv = {"cuminpitch"};
    for (const auto& it : arguments) {
        argv.push_back(it.c_str());
    }
    std::ostringstream out;
    std::ostringstream err;
    outcome it;
    it.status = run(static_cast<int>(argv.size()), argv.data(), out, err);
    it.out = out.str();
    it.err = err.str();
    return it;
}

/// Fixture with a folder that declares one pool, and a fake control instance that has
/// different settings.
class cli : public testing::Test
{
protected:
    cli()
    {
        folder_.write("teams/a/pools/p.json", R"({"entries": 4, "retry_percent": 5})");
        control_.settings = {
            {"teams/a/pools/p/entries", 3},
            {"teams/a/pools/p/queue_limit", 9},
            {"teams/b/pools/q/entries", 2}};
    }

    outcome command(std::vector<std::string> arguments)
    {
        arguments.insert(arguments.end(), {"--control", control_.endpoint()});
        return run_command(arguments);
    }
    outcome apply(const std::vector<std::string>& more = {})
    {
        std::vector<std::string> arguments = {"apply", folder_.path(), "--team", "a"};
        arguments.insert(arguments.end(), more.begin(), more.end());
        return command(arguments);
    }

    config::temporary_folder folder_;
    fake_control control_;
};

// Guards against a partly applied difference, and against an apply for one team that
// deletes another team's settings.
TEST_F(cli, apply_changes_only_the_subtree_of_the_team)
{
    const auto it = apply();
    EXPECT_EQ(it.status, exit_done) << it.err;
    EXPECT_EQ(
        control_.settings,
        nlohmann::json(
            {{"teams/a/pools/p/entries", 4},
             {"teams/a/pools/p/retry_percent", 5},
             {"teams/b/pools/q/entries", 2}}));
    EXPECT_THAT(it.out, HasSubstr("applied: revision 2"));
    EXPECT_EQ(control_.bodies.at(0).at("base_revision"), 1);
    EXPECT_EQ(control_.bodies.at(0).at("id").get<std::string>().size(), 32U);
}

// Guards against an apply without --team that keeps settings which the folder doesn't
// have.
TEST_F(cli, apply_without_team_covers_all_teams)
{
    EXPECT_EQ(command({"apply", folder_.path()}).status, exit_done);
    EXPECT_FALSE(control_.settings.contains("teams/b/pools/q/entries"));
}

// Guards against applying a change twice because its response was lost.
TEST_F(cli, apply_resends_the_same_id_after_a_lost_response)
{
    control_.lost_responses = 1;
    control_.unknown_outcomes = 1;
    const auto it = apply();
    EXPECT_EQ(it.status, exit_done) << it.err;
    EXPECT_EQ(control_.changes.size(), 1U);
    ASSERT_EQ(control_.bodies.size(), 3U);
    EXPECT_EQ(control_.bodies[0], control_.bodies[1]);
    EXPECT_EQ(control_.bodies[1], control_.bodies[2]);
}

// Guards against a command that fails because the first instance is down or because a
// follower responds with a redirect.
TEST_F(cli, apply_skips_unreachable_instances_and_follows_redirects)
{
    fake_control follower;
    follower.settings = control_.settings;
    follower.leader = control_.endpoint();
    const auto it = run_command(
        {"apply", folder_.path(), "--control", "127.0.0.1:1," + follower.endpoint()});
    EXPECT_EQ(it.status, exit_done) << it.err;
    EXPECT_EQ(control_.changes.size(), 1U);
    EXPECT_TRUE(follower.changes.empty());
}

// Guards against reporting a change as failed although it may still be applied.
TEST_F(cli, apply_prints_how_to_repeat_a_change_with_unknown_outcome)
{
    control_.unknown_outcomes = 1000;
    const auto it = apply({"--id", "change-7", "--timeout", "1"});
    EXPECT_EQ(it.status, exit_timeout);
    EXPECT_THAT(it.err, HasSubstr("--id change-7 --base-revision 1"));
}

// Guards against overwriting a concurrent change by another operator.
TEST_F(cli, apply_reports_a_conflict)
{
    control_.revision = 9;
    const auto it = apply({"--base-revision", "4"});
    EXPECT_EQ(it.status, exit_conflict);
    EXPECT_THAT(it.err, HasSubstr("current revision 9"));
    EXPECT_THAT(it.err, HasSubstr("teams/a/pools/p/entries"));
    EXPECT_EQ(control_.bodies.at(0).at("base_revision"), 4);
}

// Guards against invalid declarations that are sent to control, and against error
// messages without the file and the path of the setting.
TEST_F(cli, apply_refuses_invalid_declarations)
{
    folder_.write("teams/a/pools/p.json", R"({"entries": 40})");
    const auto local = apply();
    EXPECT_EQ(local.status, exit_invalid);
    EXPECT_THAT(local.err, HasSubstr("teams/a/pools/p.json: teams/a/pools/p/entries: "));
    EXPECT_TRUE(control_.calls.empty());

    folder_.write("teams/a/pools/p.json", R"({"entries": 4})");
    control_.invalid_problems = {
        {{"path", "teams/a/pools/p/entries"}, {"reason", "too many"}}};
    const auto remote = apply();
    EXPECT_EQ(remote.status, exit_invalid);
    EXPECT_THAT(
        remote.err,
        HasSubstr("teams/a/pools/p.json: teams/a/pools/p/entries: too many\n"
                  "invalid: nothing was applied"));
}

// Guards against deleting all settings of a team because its folder is missing.
TEST_F(cli, apply_refuses_a_team_without_declarations)
{
    EXPECT_EQ(command({"apply", folder_.path(), "--team", "b"}).status, exit_invalid);
    EXPECT_TRUE(control_.calls.empty());
}

// Guards against an invalid file of another team that blocks this team's change.
TEST_F(cli, apply_ignores_problems_of_other_teams)
{
    folder_.write("teams/b/pools/q.json", "{");
    EXPECT_EQ(apply().status, exit_done);
    EXPECT_EQ(command({"validate", folder_.path()}).status, exit_invalid);
}

// Guards against a wait that ends early, or that doesn't print which instances it waits
// for.
TEST_F(cli, apply_waits_until_all_instances_have_the_revision)
{
    control_.lacking_reports = 2;
    const auto it = apply({"--wait"});
    EXPECT_EQ(it.status, exit_done);
    EXPECT_THAT(it.err, HasSubstr("lacking at: entry-3 (has 1)"));
    EXPECT_EQ(control_.lacking_reports, 0);

    control_.lacking_reports = 1000;
    const auto late = apply({"--wait", "--timeout", "1"});
    EXPECT_EQ(late.status, exit_timeout);
    EXPECT_THAT(late.err, HasSubstr("not yet in force at: entry-3"));
}

// Guards against output that scripts can't parse, and against read commands that change
// settings.
TEST_F(cli, read_commands_do_not_change_settings)
{
    EXPECT_EQ(
        command({"diff", folder_.path(), "--team", "a"}).out,
        "~ teams/a/pools/p/entries = 3 -> 4\n"
        "- teams/a/pools/p/queue_limit = 9\n"
        "+ teams/a/pools/p/retry_percent = 5\n");
    const auto all = nlohmann::json::parse(command({"get", "--json"}).out);
    EXPECT_EQ(all.at("settings"), control_.settings);
    EXPECT_THAT(command({"status"}).out, HasSubstr("never"));
    EXPECT_THAT(command({"history"}).out, testing::IsEmpty());
    EXPECT_TRUE(control_.bodies.empty());
    EXPECT_EQ(apply().status, exit_done);
    EXPECT_THAT(
        command({"history"}).out, HasSubstr("revision 2  2023-11-14T22:13:20.000Z"));
}

// Guards against keys of customers in the output of commands that only list changes.
TEST_F(cli, keys_are_shown_by_get_only)
{
    const std::string path = "teams/a/customers/c/keys";
    folder_.write("teams/a/customers/c.json", R"({"keys": ["secret-1", "secret-2"]})");
    control_.settings[path] = {"secret-0"};
    std::string out;
    const auto collect = [&](const outcome& it) {
        out += it.out + it.err;
        return it.out;
    };
    EXPECT_THAT(
        collect(command({"diff", folder_.path(), "--team", "a"})),
        HasSubstr("~ " + path + " = \"1 keys\" -> \"2 keys\"\n"));
    collect(command({"diff", folder_.path(), "--team", "a", "--json"}));
    EXPECT_THAT(collect(apply()), HasSubstr("\"2 keys\""));
    EXPECT_THAT(collect(command({"history"})), HasSubstr("= \"2 keys\""));
    EXPECT_THAT(
        collect(command({"history", "--json"})), HasSubstr("\"value\":\"2 keys\""));
    EXPECT_THAT(out, testing::Not(HasSubstr("secret")));
    EXPECT_THAT(command({"get"}).out, HasSubstr("secret-2"));
}

// Guards against a forced reassignment by accident, and against calls that are repeated
// although they may have been carried out.
TEST_F(cli, group_commands_are_sent_once)
{
    EXPECT_EQ(command({"reassign", "a/p", "e1", "e2"}).status, exit_invalid);
    EXPECT_TRUE(control_.calls.empty());
    EXPECT_EQ(command({"reassign", "a/p", "e1", "e2", "--force"}).status, exit_done);
    EXPECT_EQ(
        control_.bodies.at(0),
        nlohmann::json({{"pool", "a/p"}, {"entries", {"e1", "e2"}}}));
    control_.unknown_outcomes = 1;
    const auto it = command({"init", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"});
    EXPECT_EQ(it.status, exit_failed);
    EXPECT_THAT(it.err, HasSubstr("may have been done"));
    EXPECT_EQ(control_.bodies.size(), 2U);
}

// Guards against an invalid argument that is ignored or reported in more than one line.
TEST_F(cli, wrong_arguments_end_with_one_line_and_status_2)
{
    const std::string dir = folder_.path();
    const std::vector<std::vector<std::string>> wrong = {
        {},
        {"launch"},
        {"apply", dir},
        {"apply", dir, "--control", "localhost:1"},
        {"apply", dir, "--control", "127.0.0.1:1", "--timeout", "0"},
        {"apply", dir, "--control", "127.0.0.1:1", "--base-revision", "-1"},
        {"apply", dir, "--control", "127.0.0.1:1", "--id", "a b"},
        {"apply", dir, "--control", "127.0.0.1:1", "--team", "A"},
        {"apply", dir, "--control", "127.0.0.1:1", "--team", ""},
        {"apply", dir, "--control", "127.0.0.1:1", "--id", ""},
        {"apply", dir, "--control", "127.0.0.1:1", "--base-revision", ""},
        {"status", "--control", "127.0.0.1:1", "--revision", "x"},
        {"reassign", "a", "e1", "--force", "--control", "127.0.0.1:1"},
        {"init", "control-1:1", "--control", "127.0.0.1:1"}};
    for (const auto& arguments : wrong) {
        const auto it = run_command(arguments);
        EXPECT_EQ(it.status, exit_invalid);
        EXPECT_EQ(std::count(it.err.begin(), it.err.end(), '\n'), 1) << it.err;
        EXPECT_THAT(it.err, testing::Not(HasSubstr("no control instance")));
        EXPECT_TRUE(it.out.empty());
    }
}

// Guards against a request that can't be traced through the logs of several processes.
TEST(cli_explain, prints_the_lines_of_one_request_in_order_of_time)
{
    const config::temporary_folder logs;
    logs.write(
        "a.log",
        R"(0.3 edge-1 {"time":"2026-01-01T00:00:02Z","process":"e","event":"refused","request":"r1","status":502}
not JSON
{"time":"2026-01-01T00:00:03Z","process":"e","event":"sent","request":"r2"}
)");
    logs.write(
        "b.log",
        R"({"time":"2026-01-01T00:00:01Z","process":"e","event":"sent","request":"r1","server":"s"}
)");
    const auto it = run_command(
        {"explain",
         "r1",
         logs.path().string() + "/a.log",
         logs.path().string() + "/b.log"});
    EXPECT_EQ(it.status, exit_done) << it.err;
    EXPECT_EQ(
        it.out,
        "2026-01-01T00:00:01Z  e  sent  server=s\n"
        "2026-01-01T00:00:02Z  e  refused  status=502\n");
    EXPECT_EQ(
        run_command({"explain", "r9", logs.path().string() + "/a.log"}).status,
        exit_failed);
}

} // namespace
} // namespace cuminpitch::cli
