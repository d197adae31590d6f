// Measures the cost of the fleet state and the controller at the planned size of 4,100
// entries and 3,200 pools. Prints one JSON line. The cost of compiling is not included,
// since the settings are not validated.

#include "cuminpitch/control/controller.hpp"
#include "cuminpitch/control/fleet_state.hpp"
#include "cuminpitch/control/view_replica.hpp"
#include "cuminpitch/wire/control_codec.hpp"

#include <nlohmann/json.hpp>

#include <chrono>
#include <functional>
#include <iostream>
#include <memory>
#include <string>

namespace {

using namespace cuminpitch;
using namespace cuminpitch::control;

constexpr int entries = 4'100;
constexpr int pools = 3'200;
// 52,000 routes with 5 settings each.
constexpr int route_settings = 260'000;

double ms_of(const std::function<void()>& action)
{
    const auto start = std::chrono::steady_clock::now();
    action();
    const std::chrono::duration<double, std::milli> time =
        std::chrono::steady_clock::now() - start;
    return time.count();
}

class bench
{
public:
    bench()
    {
        auto declarations = std::make_shared<config::declarations>();
        for (int i = 0; i < pools; ++i) {
            const core::pool_id id{team(i), "pool" + std::to_string(i)};
            declarations->pools[id].id = id;
        }
        compile_ = [declarations](const settings_tree&, const compile_base*) {
            return compiled_settings{declarations, {}};
        };
        state_ = std::make_unique<fleet_state>(compile_);
        replica_ = std::make_unique<view_replica>(compile_);
    }

    nlohmann::ordered_json run()
    {
        nlohmann::ordered_json out;
        fill();
        controller leader(controller_options{}, assign::rendezvous{}, now_);
        report_all(leader);
        tick(leader);
        now_ += absl::Seconds(2);
        report_all(leader);
        out["first_lists_ms"] = tick(leader);
        now_ += absl::Seconds(5);
        out["reports_ms"] = ms_of([&] { report_all(leader); });
        out["idle_tick_ms"] = tick(leader);
        drain(leader, 7);
        out["tick_after_drain_ms"] = tick(leader);

        std::string bytes;
        out["snapshot_encode_ms"] = ms_of([&] { bytes = state_->snapshot(); });
        out["snapshot_bytes"] = bytes.size();
        fleet_state restored(compile_);
        out["snapshot_restore_ms"] = ms_of([&] { (void)restored.restore(bytes); });
        out["replica_snapshot_ms"] =
            ms_of([&] { replica_->apply(state_->update_for({})); });
        out["change_apply_ms"] = ms_of([&] { set("teams/team1/x", "1"); });
        const auto delta = state_->update_for(replica_->revision());
        const sync_response answer{delta, state_->revision(), std::nullopt, true};
        out["change_push_bytes"] = wire::encode(message(answer)).size();
        out["replica_change_ms"] = ms_of([&] { replica_->apply(delta); });
        commit(entry_joined{report(entries).entry, 1});
        const auto step = state_->update_for(replica_->revision());
        out["replica_join_ms"] = ms_of([&] { replica_->apply(step); });
        out["view_ms"] = ms_of([&] { (void)state_->view(); });
        return out;
    }

private:
    static core::team_id team(int i)
    {
        return core::team_id("team" + std::to_string(i % 100));
    }

    sync_request report(int i) const
    {
        sync_request it;
        it.entry.id = core::instance_id("entry" + std::to_string(i));
        it.entry.http = {"127.0.0.1", 8000};
        it.entry.internal = {"127.0.0.1", 9000};
        it.entry.failure_domain = core::failure_domain_id("d" + std::to_string(i % 5));
        it.incarnation = 1;
        it.in_force = state_->revision();
        return it;
    }
    void report_all(controller& leader)
    {
        for (int i = 0; i < entries; ++i) {
            leader.report(report(i), now_);
        }
    }
    void drain(controller& leader, int i)
    {
        auto it = report(i);
        it.draining = true;
        leader.report(it, now_);
    }
    double tick(controller& leader)
    {
        const auto view = state_->view();
        std::vector<command> commands;
        const auto result = ms_of([&] { commands = leader.tick(*view, now_); });
        for (const auto& it : commands) {
            commit(it);
        }
        return result;
    }
    void commit(const command& it) { state_->apply(core::revision(++index_), it); }
    void set(const std::string& path, const std::string& value)
    {
        commit(change{core::change_id(path), state_->revision(), {{path, value}}, 0});
    }
    void fill()
    {
        for (int i = 0; i < route_settings / 5; ++i) {
            const auto path =
                "teams/" + team(i).str() + "/routes/route" + std::to_string(i);
            change it{core::change_id(path), state_->revision(), {}, 0};
            for (int n = 0; n < 5; ++n) {
                it.operations.push_back(
                    {path + "/setting" + std::to_string(n), "\"some value\""});
            }
            commit(it);
        }
    }

    compile_function compile_;
    std::unique_ptr<fleet_state> state_;
    std::unique_ptr<view_replica> replica_;
    absl::Time now_ = absl::FromUnixSeconds(1000);
    std::uint64_t index_ = 0;
};

} // namespace

int main()
{
    std::cout << bench().run().dump() << std::endl;
    return 0;
}
