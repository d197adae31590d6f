#pragma once

#include "support/process_fleet.hpp"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <memory>
#include <set>
#include <sstream>
#include <thread>

namespace cuminpitch::testing {

inline const std::string lending = "guarda-chuva/lending";
inline const std::string declarations =
    std::string(CUMINPITCH_SOURCE_DIR) + "/examples/guarda-chuva";

/// Starts three control instances, four entries and four servers of the pool lending.
class fleet_test : public ::testing::Test
{
protected:
    static constexpr unsigned servers = 4;

    void SetUp() override
    {
        fleet_options options;
        options.binaries = CUMINPITCH_BINARY_DIR;
        options.entries = 4;
        options.fault_injection = true;
        fleet = process_fleet::start(options);
        ASSERT_NE(fleet, nullptr);
        const auto applied =
            fleet->run_cli({"apply", declarations, "--wait"}, absl::Seconds(20));
        ASSERT_EQ(applied.status, 0) << applied.output;
        for (unsigned i = 1; i <= servers; ++i) {
            backend_options it;
            it.id = absl::StrCat("lend-", i);
            ASSERT_TRUE(fleet->add_backend(it));
        }
        ASSERT_TRUE(wait_until(
            [&] { return fleet->has_servers(lending, servers); }, absl::Seconds(20)));
        // With fewer assigned entries the tests would inject other faults than intended.
        ASSERT_TRUE(wait_until(
            [&] { return assigned_entries().size() == 3; }, absl::Seconds(20)));
    }

    void TearDown() override
    {
        if (HasFailure() && fleet != nullptr) {
            for (const auto& name : fleet->control_names()) {
                print_log(name);
            }
            for (const auto& name : fleet->entry_names()) {
                print_log(name);
            }
            for (const auto& [name, count] : callers) {
                for (const auto& it : fleet->results_of(name)) {
                    if (it.value("result", "") != "answered") {
                        std::cerr << name << ": " << it.dump() << "\n";
                    }
                }
            }
        }
    }

    void print_log(const std::string& name) const
    {
        std::ifstream in(fleet->log_of(name));
        std::cerr << "log of " << name << ":\n" << in.rdbuf() << "\n";
    }

    std::vector<std::string> assigned_entries(const std::string& at = "entry-1") const
    {
        return fleet->entries_of(lending, at);
    }

    /// Name of an entry that is not among `those`; empty if there is none.
    std::string other_than(const std::vector<std::string>& those) const
    {
        for (const auto& it : fleet->entry_names()) {
            if (std::ranges::find(those, it) == those.end()) {
                return it;
            }
        }
        return "";
    }

    /// Starts a caller that sends POST /loans, which is not idempotent, for `seconds`.
    void start_lender(unsigned seconds, unsigned rate = 60)
    {
        caller_options it;
        it.name = "lender";
        it.path = "/loans";
        it.post_percent = 100;
        it.rate = rate;
        it.count = rate * seconds;
        callers[it.name] = it.count;
        ASSERT_TRUE(fleet->add_caller(it));
    }

    audit_result finish_callers()
    {
        for (const auto& [name, count] : callers) {
            EXPECT_EQ(fleet->wait_exit(name, absl::Seconds(30)), 0);
        }
        auto it = audit(*fleet, callers, fleet->executions());
        EXPECT_EQ(it.lost, 0U) << absl::StrCat(it.problems.empty() ? "" : it.problems[0]);
        EXPECT_EQ(it.doubled, 0U) << (it.problems.empty() ? "" : it.problems[0]);
        EXPECT_EQ(it.cut, 0U) << (it.problems.empty() ? "" : it.problems[0]);
        return it;
    }

    /// Sends a change of queue_limit to the instance `to`. The status is 0 if no response
    /// was received.
    http::response change(
        const std::string& to, const std::string& id, std::uint64_t base, int value) const
    {
        return fleet->post(fleet->http(to), "/v1/changes", change_body(id, base, value));
    }

    static std::string change_body(const std::string& id, std::uint64_t base, int value)
    {
        return nlohmann::json{
            {"id", id},
            {"base_revision", base},
            {"operations",
             {{{"path", "teams/guarda-chuva/pools/lending/queue_limit"},
               {"value", value}}}}}
            .dump();
    }

    /// Sends a change to each control instance in turn until one returns an outcome. Null
    /// if none does within 15 s.
    nlohmann::json
    submit_change(const std::string& id, std::uint64_t base, int value) const
    {
        nlohmann::json out;
        wait_until(
            [&] {
                for (const auto& name : fleet->control_names()) {
                    const auto it = change(name, id, base, value);
                    if (it.status == 200 || it.status == 409 || it.status == 422) {
                        out = nlohmann::json::parse(it.body);
                        return true;
                    }
                }
                return false;
            },
            absl::Seconds(15));
        return out;
    }

    /// Revision of a control instance. It is read from /metrics because followers serve
    /// only that path themselves.
    std::uint64_t revision_at(const std::string& control) const
    {
        const std::string name = "\ncuminpitch_revision ";
        const auto all = "\n" + fleet->get(fleet->http(control), "/metrics").body;
        const auto at = all.find(name);
        return at == std::string::npos
                   ? 0
                   : static_cast<std::uint64_t>(std::stod(all.substr(at + name.size())));
    }

    nlohmann::json entry_status(const std::string& name) const
    {
        return fleet->get_json(fleet->http(name), "/.cuminpitch/v1/status");
    }

    /// Waits until at least that revision is in force at the entry. False after `within`.
    bool wait_for_revision(
        const std::string& entry, std::uint64_t revision, absl::Duration within)
    {
        return wait_until(
            [&] {
                const auto it = entry_status(entry);
                return it.is_object() && it["revision"] >= revision;
            },
            within);
    }

    /// Sends GET /stock/1 to the entry and returns the status of the response.
    int get_stock(const std::string& entry) const
    {
        http::client_request it;
        it.to = fleet->http(entry);
        it.method = "GET";
        it.target = "/stock/1";
        it.headers.set("Host", "lending.guarda-chuva.example");
        return fleet->call(it).status;
    }

    /// The element for instance `id` in the status of the control instance `observer`;
    /// null if there is none.
    nlohmann::json
    instance_status(const std::string& observer, const std::string& id) const
    {
        const auto status = fleet->get_json(fleet->http(observer), "/v1/status");
        if (status.is_object()) {
            for (const auto& it : status["instances"]) {
                if (it["id"] == id) {
                    return it;
                }
            }
        }
        return {};
    }

    bool log_contains(const std::string& name, const std::string& text) const
    {
        std::ifstream in(fleet->log_of(name));
        std::ostringstream all;
        all << in.rdbuf();
        return all.str().find(text) != std::string::npos;
    }

    std::unique_ptr<process_fleet> fleet;
    std::map<std::string, unsigned> callers;
};

} // namespace cuminpitch::testing
