#pragma once

// Measures the slopes of entry instances.

#include "capacity_fleet.hpp"
#include "cuminpitch/config/compile.hpp"
#include "cuminpitch/health/pool_health.hpp"
#include "cuminpitch/request/dispatcher.hpp"
#include "cuminpitch/request/route_table.hpp"
#include "cuminpitch/wire/pool_codec.hpp"

#include <map>

namespace cuminpitch::capacity {

/// Measures the memory of one entry that holds the whole fleet state. Call it first,
/// while the process is still small.
inline void measure_memory()
{
    slope held(
        "memory of an entry by routes, with their share of pools and entries", "bytes");
    slope peak("highest memory of an entry while it takes the first state", "bytes");
    slope change("highest memory of an entry while it takes a change", "bytes");
    for (const auto& size : fleet_sizes) {
        const auto at = static_cast<std::size_t>(size.routes);
        auto contents = contents_of(size, 2);
        const auto frame = control_frame(control::sync_response{
            control::update(std::shared_ptr<const control::fleet_contents>(contents)),
            contents->revision,
            {},
            true});
        const auto revision = contents->revision;
        contents.reset();
        const double before = resident_bytes();
        reset_peak();
        telemetry::metrics metrics;
        entry::node_options options;
        options.self = entry_of(0);
        options.incarnation = 1;
        entry::node node(options, control::make_compile_function(), metrics);
        const net::peer control{core::instance_id("control0"), internal_of(1)};
        auto now = absl::FromUnixSeconds(1000);
        node.handle(now, entry::event::frame_received{control, frame});
        peak.add(at, peak_resident_bytes() - before);
        const double after = resident_bytes() - before;
        held.add(at, after);
        reset_peak();
        const core::revision next = revision.next();
        node.handle(
            now,
            entry::event::frame_received{
                control,
                control_frame(control::sync_response{
                    control::delta{revision, next, {{next, small_change(1, revision)}}},
                    next,
                    {},
                    true})});
        change.add(at, peak_resident_bytes() - before);
    }
    held.print();
    peak.print();
    change.print();
}

/// Measures the memory while only the number of pools, of routes or of entries grows, to
/// separate their contributions.
inline void measure_memory_parts()
{
    const std::map<std::string, std::vector<fleet_size>> parts = {
        {"memory of an entry by pools", {{40, 650, 52}, {3'200, 650, 52}}},
        {"memory of an entry by routes", {{40, 650, 52}, {40, 52'000, 52}}},
        {"memory of an entry by entries", {{40, 650, 52}, {40, 650, 4'100}}}};
    for (const auto& [name, sizes] : parts) {
        slope held(name, "bytes");
        for (const auto& size : sizes) {
            const double before = resident_bytes();
            entry_mesh mesh(contents_of(size, 2), 1);
            mesh.start();
            const int at = name.ends_with("pools")    ? size.pools
                           : name.ends_with("routes") ? size.routes
                                                      : size.entries;
            // The mesh shares the contents with the entry and keeps them alive.
            held.add(static_cast<std::size_t>(at), resident_bytes() - before);
        }
        held.print();
    }
}

inline void measure_compile()
{
    slope full("full compile by routes", "us of CPU");
    slope again("recompile of one change by routes", "us of CPU");
    slope table("build of the route table by routes", "us of CPU");
    for (const auto& size : fleet_sizes) {
        const auto at = static_cast<std::size_t>(size.routes);
        auto tree = settings_of(size);
        std::shared_ptr<const config::declarations> declared;
        full.add(at, cpu_us_of([&] {
                     declared =
                         control::make_compile_function()(tree, nullptr).declarations;
                 }));
        const auto op = small_change(1, {}).operations.front();
        tree[op.path] = *op.value;
        again.add(
            at, cpu_us_of([&] { (void)config::recompile(*declared, tree, {op.path}); }));
        table.add(at, cpu_us_of([&] { const request::route_table it(declared); }));
    }
    full.print();
    again.print();
    table.print();
}

inline void measure_change_at_entry()
{
    slope all("apply a change of settings at an entry by routes", "us of CPU");
    slope list("apply a change of a list at an entry by routes", "us of CPU");
    slope first("apply the first state at an entry by routes", "us of CPU");
    for (const auto& size : fleet_sizes) {
        const auto at = static_cast<std::size_t>(size.routes);
        entry_mesh mesh(contents_of(size, 2), 1);
        mesh.start();
        first.add(at, mesh.counted(0).cpu);
        core::revision base(10'000);
        const auto push = [&](const control::command& it) {
            mesh.reset_counts();
            const auto next = base.next();
            mesh.push(control::delta{base, next, {{next, it}}}, next);
            base = next;
            return mesh.counted(0).cpu;
        };
        std::vector<double> settings;
        std::vector<double> lists;
        for (int i = 0; i < 5; ++i) {
            settings.push_back(push(small_change(i, base)));
            lists.push_back(push(control::set_assignment{
                pool_of(5), {entry_of(3 + i).id, entry_of(9).id}, {}, false}));
        }
        all.add(at, median(settings));
        list.add(at, median(lists));
    }
    all.print();
    list.print();
    first.print();
}

/// Simulates the heartbeats among the three assigned entries of one pool.
class heartbeat_simulation
{
public:
    heartbeat_simulation(int servers, int routes, double requests_per_second)
        : servers_(servers), routes_(routes), rate_(requests_per_second)
    {
        config::pool_settings settings;
        settings.id = pool_of(0);
        control::pool_assignment list{core::revision(1), {}};
        for (int i = 0; i < entries_of_pool; ++i) {
            list.entries.push_back(entry_of(i).id);
        }
        for (int i = 0; i < entries_of_pool; ++i) {
            auto& it = pools_.emplace_back(
                entry_of(i).id, 1, now_, settings, health::pool_health_options{}, 1);
            it.set_assignment(now_, list);
        }
    }

    void run(int seconds)
    {
        for (int tick = 0; tick < 50 * seconds; ++tick) {
            now_ += absl::Milliseconds(20);
            for (int entry = 0; entry < entries_of_pool; ++entry) {
                if (tick % 50 == entry * 5) {
                    announce(entry);
                }
                observe(entry);
                tick_entry(entry);
            }
        }
    }

    struct costs
    {
        double frames = 0;
        double bytes = 0;
        double encode = 0;
        double decode = 0;
        double receive = 0;
        double tick = 0;
        double ticks = 0;
    };
    costs counted;

private:
    void announce(int entry)
    {
        for (int i = 0; i < servers_; ++i) {
            upstream::announcement it;
            it.server = core::server_id("backend-server-" + std::to_string(i));
            it.incarnation = 1'700'000'000'000'000;
            it.sequence = ++sequence_;
            it.address = {"10.2.0.1", static_cast<std::uint16_t>(1000 + i)};
            it.failure_domain = core::failure_domain_id("domain1");
            it.slots = 6;
            pools_[static_cast<std::size_t>(entry)].announce(
                now_, it, now_ - absl::Milliseconds(20));
        }
    }

    void observe(int entry)
    {
        for (due_ += rate_ / 50 / entries_of_pool; due_ >= 1; due_ -= 1) {
            ++requests_;
            pools_[static_cast<std::size_t>(entry)].observe(
                now_,
                core::server_id("backend-server-" + std::to_string(requests_ % servers_)),
                {core::team_id("team0"),
                 "route" + std::to_string(requests_ / servers_ % routes_)},
                health::attempt_kind::success,
                absl::Milliseconds(5 + requests_ * 7919 % 50));
        }
    }

    void tick_entry(int entry)
    {
        std::vector<health::pool_action> actions;
        counted.tick += cpu_us_of(
            [&] { actions = pools_[static_cast<std::size_t>(entry)].tick(now_); });
        ++counted.ticks;
        for (const auto& it : actions) {
            if (const auto* send = std::get_if<health::send_heartbeat>(&it)) {
                deliver(entry, *send);
            }
        }
    }

    void deliver(int from, const health::send_heartbeat& it)
    {
        std::string bytes;
        counted.encode += cpu_us_of([&] { bytes = wire::encode(it.message); });
        health::pool_heartbeat message;
        counted.decode +=
            cpu_us_of([&] { message = wire::decode_pool_heartbeat(bytes).value(); });
        for (int to = 0; to < entries_of_pool; ++to) {
            if (entry_of(to).id == it.to) {
                counted.receive += cpu_us_of([&] {
                    pools_[static_cast<std::size_t>(to)].receive(
                        now_, entry_of(from).id, message);
                });
            }
        }
        ++counted.frames;
        counted.bytes += static_cast<double>(bytes.size());
    }

    int servers_;
    int routes_;
    double rate_;
    double due_ = 0;
    int requests_ = 0;
    std::uint64_t sequence_ = 0;
    absl::Time now_ = absl::FromUnixSeconds(1000);
    std::vector<health::pool_health> pools_;
};

inline void measure_heartbeats(const std::string& by, int routes, double rate)
{
    slope bytes("heartbeat by servers, " + by, "bytes");
    slope encode("encode a heartbeat by servers, " + by, "us of CPU");
    slope decode("decode a heartbeat by servers, " + by, "us of CPU");
    slope receive("receive a heartbeat by servers, " + by, "us of CPU");
    slope tick("tick of a pool by servers, " + by, "us of CPU");
    for (const int servers : {4, 16, 64}) {
        heartbeat_simulation simulation(servers, routes, rate);
        simulation.run(6);
        simulation.counted = {};
        simulation.run(10);
        const auto& it = simulation.counted;
        const auto at = static_cast<std::size_t>(servers);
        bytes.add(at, it.bytes / it.frames);
        encode.add(at, it.encode / it.frames);
        decode.add(at, it.decode / it.frames);
        receive.add(at, it.receive / it.frames);
        tick.add(at, it.tick / it.ticks);
    }
    for (const auto* it : {&bytes, &encode, &decode, &receive, &tick}) {
        it->print();
    }
}

inline void measure_all_heartbeats()
{
    measure_heartbeats("1 route, 85 requests/s", 1, 85);
    measure_heartbeats("16 routes, 85 requests/s", 16, 85);
    measure_heartbeats("16 routes, 850 requests/s", 16, 850);
}

inline std::shared_ptr<http::request>
announce_request(int pool, int server, int sequence, absl::Time echo)
{
    const auto id = pool_of(pool);
    const nlohmann::json body = {
        {"team", id.team.str()},
        {"pool", id.name},
        {"server", "backend-server-" + std::to_string(server)},
        {"incarnation", 1'700'000'000'000'000},
        {"sequence", sequence},
        {"state", "active"},
        {"address", "10.2.0.1:" + std::to_string(1000 + server)},
        {"failure_domain", "domain1"},
        {"slots", 6},
        {"connections", 330},
        {"echo", absl::ToUnixMicros(echo)}};
    auto it = std::make_shared<http::request>();
    it->method = "POST";
    it->target = it->path = "/.cuminpitch/v1/announce";
    it->body = body.dump();
    return it;
}

inline std::shared_ptr<http::request> caller_request(int route)
{
    auto it = std::make_shared<http::request>();
    it->method = "GET";
    it->target = it->path = "/route" + std::to_string(route) + "/item/7";
    it->headers.add("Host", pool_of(route).team.str() + ".example");
    it->headers.add("Cuminpitch-Caller", "caller7");
    it->headers.add("Accept", "*/*");
    return it;
}

inline std::shared_ptr<http::request> entries_request(int route)
{
    auto it = std::make_shared<http::request>();
    it->method = "GET";
    it->path = "/.cuminpitch/v1/entries";
    it->query = {
        {"host", pool_of(route).team.str() + ".example"},
        {"path", "/route" + std::to_string(route)}};
    return it;
}

/// Simulates entries 0 to 2, which serve the same pools of 16 servers each.
class serving_mesh
{
public:
    static constexpr int servers = 16;

    explicit serving_mesh(int pools)
        : pools_(pools), mesh(contents_of(fleet_sizes.front(), pools), entries_of_pool)
    {
        mesh.start();
    }

    /// `rate` is in requests per second at each entry. With `announces`, the servers
    /// renew their announcements every second.
    void run(int seconds, double rate, bool announces = true)
    {
        for (int tick = 0; tick < 50 * seconds; ++tick) {
            mesh.tick();
            for (int entry = 0; entry < entries_of_pool; ++entry) {
                if (announces && tick % 50 == entry * 5) {
                    announce(entry);
                }
            }
            for (due_ += rate / 50; due_ >= 1; due_ -= 1) {
                for (int entry = 0; entry < entries_of_pool; ++entry) {
                    mesh.request(entry, caller_request(requests_++ % pools_));
                }
            }
        }
    }

    void announce(int entry)
    {
        ++sequence_;
        for (int pool = 0; pool < pools_; ++pool) {
            for (int server = 0; server < servers; ++server) {
                mesh.request(
                    entry,
                    announce_request(
                        pool, server, sequence_, mesh.now() - absl::Milliseconds(20)));
            }
        }
    }

private:
    int pools_;
    int sequence_ = 0;
    int requests_ = 0;
    double due_ = 0;

public:
    entry_mesh mesh;
};

inline void measure_serving()
{
    slope idle("one second of an entry by pools of 16 servers, no requests", "us of CPU");
    slope busy(
        "one second of an entry by pools of 16 servers, 85 requests/s", "us of CPU");
    slope hot(
        "one second of an entry by pools of 16 servers, 850 requests/s", "us of CPU");
    slope pool_bytes("bytes a second to peers by pools, 85 requests/s", "bytes");
    slope control_bytes("bytes a second to control by pools", "bytes");
    for (const int pools : {1, 3, 10}) {
        const auto at = static_cast<std::size_t>(pools);
        serving_mesh it(pools);
        it.run(6, 85);
        const auto second = [&](double rate) {
            it.mesh.reset_counts();
            it.run(6, rate);
            return it.mesh.counted(0).cpu / 6;
        };
        idle.add(at, second(0));
        busy.add(at, second(85));
        pool_bytes.add(at, it.mesh.counted(0).pool_bytes / 6);
        control_bytes.add(at, it.mesh.counted(0).control_bytes / 6);
        hot.add(at, second(850));
        if (it.mesh.counted(0).calls < 850 * 6) {
            std::cerr << "requests were refused; last response: " << it.mesh.last_answer()
                      << std::endl;
        }
    }
    for (const auto* it : {&idle, &busy, &hot, &pool_bytes, &control_bytes}) {
        it->print();
    }
}

inline void measure_questions()
{
    slope announce("one announcement by pools of the entry", "us of CPU");
    slope question("one question of a caller by pools of the entry", "us of CPU");
    slope answer("answer to a question of a caller", "bytes");
    slope announced("announcement and its answer", "bytes");
    for (const int pools : {1, 10}) {
        const auto at = static_cast<std::size_t>(pools);
        serving_mesh it(pools);
        it.run(3, 0);
        it.mesh.reset_counts();
        for (int i = 0; i < 20; ++i) {
            it.announce(0);
        }
        announce.add(at, it.mesh.counted(0).cpu / it.mesh.counted(0).responses);
        announced.add(
            at,
            static_cast<double>(
                it.mesh.last_answer().size() +
                announce_request(0, 0, 1, absl::UnixEpoch())->body.size()));
        it.mesh.reset_counts();
        for (int i = 0; i < 1'000; ++i) {
            it.mesh.request(0, entries_request(i % pools));
        }
        question.add(at, it.mesh.counted(0).cpu / 1'000);
        answer.add(at, static_cast<double>(it.mesh.last_answer().size()));
    }
    for (const auto* it : {&announce, &question, &announced, &answer}) {
        it->print();
    }
}

inline std::shared_ptr<const config::declarations> declared_of(const fleet_size& size)
{
    return control::make_compile_function()(settings_of(size), nullptr).declarations;
}

inline void measure_lookup()
{
    slope lookup("route lookup by routes", "us of CPU");
    for (const int routes : {5'000, 52'000}) {
        const request::route_table table(declared_of({320, routes, 4}));
        constexpr int lookups = 200'000;
        std::vector<std::pair<std::string, std::string>> asked;
        for (int i = 0; i < 1'000; ++i) {
            const int route = i * 37 % routes;
            asked.emplace_back(
                pool_of(route % 320).team.str() + ".example",
                "/route" + std::to_string(route) + "/item/7");
        }
        int found = 0;
        const double time = cpu_us_of([&] {
            for (int i = 0; i < lookups; ++i) {
                const auto& [host, path] = asked[static_cast<std::size_t>(i) % 1'000];
                found += table.find(host, path, "GET").route != nullptr ? 1 : 0;
            }
        });
        if (found != lookups) {
            std::cerr << "route lookup failed for some requests" << std::endl;
            std::exit(1);
        }
        lookup.add(static_cast<std::size_t>(routes), time / lookups);
    }
    lookup.print();
}

/// Measures the dispatcher alone, for one request from its arrival to the response.
inline void measure_dispatcher()
{
    slope cost("one request at the dispatcher by servers of the pool", "us of CPU");
    const auto declared = declared_of({40, 5'000, 4});
    for (const int servers : {16, 64}) {
        telemetry::metrics metrics;
        request::dispatcher it({}, core::random_source(1), metrics);
        it.set_routes(std::make_shared<const request::route_table>(declared));
        it.set_entry({});
        request::pool_update update;
        update.pool = pool_of(0);
        update.settings = declared->pools.at(update.pool);
        update.is_assigned = true;
        for (int i = 0; i < servers; ++i) {
            update.servers.push_back(
                {core::server_id("backend-server-" + std::to_string(i)),
                 {"10.2.0.1", static_cast<std::uint16_t>(1000 + i)},
                 2});
        }
        auto now = absl::FromUnixSeconds(1000);
        it.update_pool(now, update);
        const auto message = caller_request(0);
        constexpr int requests = 20'000;
        const double time = cpu_us_of([&] {
            for (int i = 1; i <= requests; ++i) {
                now += absl::Milliseconds(1);
                const auto id = core::request_id(static_cast<std::uint64_t>(i));
                for (const auto& action :
                     it.handle(now, request::request_received{id, message})) {
                    if (const auto* start =
                            std::get_if<request::start_attempt>(&action)) {
                        http::client_result result;
                        result.verdict = core::verdict::ran;
                        result.elapsed = absl::Milliseconds(5);
                        it.handle(
                            now, request::attempt_finished{start->send.attempt, result});
                    }
                }
            }
        });
        cost.add(static_cast<std::size_t>(servers), time / requests);
    }
    cost.print();
}

} // namespace cuminpitch::capacity
