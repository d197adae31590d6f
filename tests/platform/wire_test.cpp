#include "calls.hpp"
#include "check_in.hpp"
#include "declarations.hpp"
#include "names.hpp"
#include "settings.hpp"

#include "cuminpitch/config/compile.hpp"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace cuminpitch::platform {
namespace {

using nlohmann::json;

json sample_rule(const std::string& name, const std::string& prefix)
{
    return {
        {"name", name},
        {"kind", "unsafe"},
        {"target-latency-ms", 1000},
        {"priority", 1},
        {"match", {{"path-prefix", prefix}}},
        {"action", {{"service", "one"}, {"timeout-ms", 2500}, {"max-attempts", 2}}}};
}

json sample()
{
    json rules = json::array({sample_rule("r-1", "/a/"), sample_rule("r-2", "/b/")});
    rules[1]["kind"] = "safe";
    rules[1]["action"].erase("service");
    rules[1]["action"]["traffic-split"] = json::array(
        {{{"service", "one"}, {"weight", 90}}, {{"service", "two"}, {"weight", 10}}});
    return {
        {"version", "r7"},
        {"limits",
         {{"max-header-bytes", 16384},
          {"max-body-bytes", 1000},
          {"header-timeout-ms", 3000},
          {"idle-timeout-ms", 15000}}},
        {"listeners", json::array({{{"host", "h.example"}, {"rule-set", rules}}})},
        {"clusters",
         json::array(
             {{{"name", "one"}, {"health-path", "/health"}, {"max-connections", 390}},
              {{"name", "two"}, {"health-path", "/health"}, {"max-connections", 390}}})}};
}

/// The record that a message is decoded to. Empty if it is refused.
std::optional<control::server_record>
accepted(std::variant<control::server_record, decode_error> it)
{
    auto* record = std::get_if<control::server_record>(&it);
    return record == nullptr ? std::nullopt : std::optional(std::move(*record));
}

/// Compiles a configuration to declarations. Empty if it can't be decoded or is invalid.
std::optional<config::declarations> compiled(const json& from)
{
    const auto read = decode_configuration(from.dump(), {17});
    const auto* made = std::get_if<converted_configuration>(&read);
    if (made == nullptr) {
        return std::nullopt;
    }
    const config::settings tree(made->settings.begin(), made->settings.end());
    auto result = config::compile(tree);
    auto* valid = std::get_if<config::declarations>(&result);
    return valid == nullptr ? std::nullopt : std::optional(std::move(*valid));
}

// Guards against a configuration field that is dropped or decoded wrongly.
TEST(platform_declarations, reads_every_field)
{
    const auto all = compiled(sample());
    ASSERT_TRUE(all.has_value());
    const auto& pool = all->pools.at(pool_of_service("one"));
    EXPECT_TRUE(pool.every_entry);
    EXPECT_EQ(pool.retry_percent, 17U);
    EXPECT_EQ(pool.max_connections, 390U);
    EXPECT_EQ(pool.max_request_bytes, 1000U);
    const auto& order = all->routes.at({only_team(), "r-1"});
    EXPECT_EQ(order.host, "h.example");
    EXPECT_EQ(order.path_prefix, "/a/");
    EXPECT_FALSE(order.idempotent);
    EXPECT_EQ(order.deadline, absl::Milliseconds(2500));
    EXPECT_EQ(order.target_latency, absl::Seconds(1));
    EXPECT_EQ(order.max_attempts, 2U);
    EXPECT_EQ(order.priority, 1U);
    const auto& read = all->routes.at({only_team(), "r-2"});
    EXPECT_TRUE(read.idempotent);
    ASSERT_EQ(read.split.size(), 2U);
    EXPECT_EQ(read.split[0].weight, 90);
    EXPECT_EQ(all->limits.at(only_team()).idle_timeout, absl::Seconds(15));
}

// Guards against a customer field that is dropped or decoded wrongly, and against routes
// that need keys although the configuration has no customers.
TEST(platform_declarations, reads_customers)
{
    json from = sample();
    EXPECT_FALSE(compiled(from)->limits.at(only_team()).requires_key);
    from["tenants"] = json::array(
        {{{"name", "t-1"},
          {"api-keys", {"k-1", "k-2"}},
          {"priority", 2},
          {"rate-per-s", 362},
          {"burst", 36.2}},
         {{"name", "Ü"}, {"api-keys", json::array()}},
         {{"name", "t-2"}, {"rate-per-s", 0}, {"burst", 5}}});
    from["listeners"][0]["rule-set"][0]["public"] = true;
    from["listeners"][0]["rule-set"][0]["kind"] = "download";
    const auto all = compiled(from);
    ASSERT_TRUE(all.has_value());
    EXPECT_TRUE(all->limits.at(only_team()).requires_key);
    ASSERT_EQ(all->customers.size(), 3U);
    const auto& first = all->customers.at({only_team(), "t-1"});
    EXPECT_EQ(first.name, "t-1");
    EXPECT_EQ(first.keys, (std::vector<std::string>{"k-1", "k-2"}));
    EXPECT_EQ(first.priority, 2U);
    EXPECT_EQ(first.rate, core::request_rate(362));
    EXPECT_EQ(first.burst, 36.2);
    EXPECT_EQ(all->customers.at({only_team(), to_name("Ü")}).name, "Ü");
    EXPECT_FALSE((all->customers.at({only_team(), "t-2"}).rate.has_value()));
    const auto& route = all->routes.at({only_team(), "r-1"});
    EXPECT_TRUE(route.is_public && route.idempotent && route.has_large_responses);
    EXPECT_FALSE((all->routes.at({only_team(), "r-2"}).is_public));
    from["tenants"] = json::array();
    EXPECT_TRUE(compiled(from)->limits.at(only_team()).requires_key);
}

// Guards against accepting an invalid configuration.
TEST(platform_declarations, refuses_invalid_ones)
{
    const auto broken = [](const std::function<void(json&, json&)>& change) {
        json it = sample();
        change(it, it["listeners"][0]["rule-set"][0]);
        return compiled(it);
    };
    EXPECT_FALSE(broken([](json&, json& it) { it["action"]["service"] = "none"; }));
    EXPECT_FALSE(broken([](json&, json& it) { it["kind"] = "odd"; }));
    EXPECT_FALSE(broken([](json&, json& it) { it["match"]["path-prefix"] = "a/"; }));
    EXPECT_FALSE(broken([](json&, json& it) { it["target-latency-ms"] = 62500; }));
    EXPECT_FALSE(broken([](json&, json& it) { it["action"].erase("timeout-ms"); }));
    EXPECT_FALSE(broken([](json& it, json&) { it["version"] = "7"; }));
    EXPECT_FALSE(broken([](json& it, json&) { it.erase("clusters"); }));
    EXPECT_FALSE(broken([](json& it, json&) {
        it["listeners"][0]["rule-set"][1]["action"]["traffic-split"][0]["weight"] = -1;
    }));
    for (const json& tenant : std::vector<json>{
             {{"api-keys", {"k"}}},
             {{"name", "t"}, {"api-keys", {"k", "k"}}},
             {{"name", "t"}, {"api-keys", {""}}},
             {{"name", "t"}, {"api-keys", "k"}},
             {{"name", "t"}, {"rate-per-s", -1}},
             {{"name", "t"}, {"rate-per-s", "1"}},
             {{"name", "t"}, {"rate-per-s", 1}, {"burst", -1}}}) {
        EXPECT_FALSE(broken([&](json& it, json&) { it["tenants"] = {tenant}; }));
        EXPECT_FALSE(broken([&](json& it, json&) {
            it["tenants"] = {tenant, {{"name", "other"}, {"api-keys", {"k"}}}};
        }));
    }
    EXPECT_TRUE(broken([](json&, json& it) { it["target-latency-ms"] = 62499; }));
    const std::string whole = sample().dump();
    const auto cut = decode_configuration(whole.substr(0, whole.size() / 2), {});
    EXPECT_TRUE(std::holds_alternative<decode_error>(cut));
}

/// Each member of the objects in `from`, with the names on its path. Elements of lists
/// have the same path.
void visit_members(
    json& from,
    const std::string& path,
    const std::function<void(json& object, const std::string& name, const std::string&)>&
        visit)
{
    if (from.is_array()) {
        for (auto& it : from) {
            visit_members(it, path, visit);
        }
    } else if (from.is_object()) {
        std::vector<std::string> names;
        for (const auto& [name, value] : from.items()) {
            names.push_back(name);
        }
        for (const auto& name : names) {
            const auto at = absl::StrCat(path, path.empty() ? "" : ".", name);
            visit(from, name, at);
            visit_members(from.at(name), at, visit);
        }
    }
}

/// A configuration with every member that the platform's page names.
json complete_sample()
{
    json out = sample();
    for (auto& it : out["clusters"]) {
        it["protocol"] = "h1";
        it["tls"] = false;
    }
    out["tenants"] = json::array(
        {{{"name", "t-1"},
          {"api-keys", {"k-1"}},
          {"priority", 2},
          {"rate-per-s", 5},
          {"burst", 2}}});
    auto& rules = out["listeners"][0]["rule-set"];
    rules[0]["public"] = true;
    rules[1]["action"]["service"] = "two"; // Beside the split.
    return out;
}

// Guards against a reader that takes what it understands and leaves out the rest:
// review/9 had null in place of lists accepted, and all routes dropped.
TEST(platform_declarations, refuses_members_of_another_type)
{
    const std::vector<json> replacements = {
        nullptr, 7, "seven", true, json::array(), json::object()};
    json whole = complete_sample();
    ASSERT_TRUE(compiled(whole).has_value());
    int replaced = 0;
    visit_members(whole, "", [&](json& object, const std::string& name, const auto& at) {
        const json before = object.at(name);
        for (const auto& it : replacements) {
            const bool is_same_type =
                it.type() == before.type() || (it.is_number() && before.is_number());
            if (is_same_type) {
                continue;
            }
            object[name] = it;
            const auto read = decode_configuration(whole.dump(), {17});
            const auto* why = std::get_if<decode_error>(&read);
            ASSERT_NE(why, nullptr) << at << " is " << it;
            EXPECT_NE(why->reason.find(name), std::string::npos) << why->reason;
            ++replaced;
        }
        object[name] = before;
    });
    EXPECT_GT(replaced, 150);
}

// Guards against a part of the configuration that is missing, and with it what was in
// force.
TEST(platform_declarations, refuses_missing_members)
{
    // Each has a default, or stands for something that a deployment may not have.
    const std::set<std::string> optional = {
        "tenants",
        "tenants.api-keys",
        "tenants.priority",
        "tenants.rate-per-s",
        "tenants.burst",
        "clusters.health-path",
        "clusters.max-connections",
        "clusters.protocol",
        "clusters.tls",
        "listeners.rule-set.public",
        "listeners.rule-set.priority",
        "listeners.rule-set.target-latency-ms",
        "listeners.rule-set.action.max-attempts"};
    json whole = complete_sample();
    whole["listeners"][0]["rule-set"][1]["action"].erase("service");
    visit_members(whole, "", [&](json& object, const std::string& name, const auto& at) {
        const json before = object.at(name);
        object.erase(name);
        EXPECT_EQ(compiled(whole).has_value(), optional.contains(at)) << at;
        object[name] = before;
    });
    whole["listeners"][0]["rule-set"][0]["unknown"] = json::object();
    EXPECT_TRUE(compiled(whole).has_value());
}

// Guards against parts of a split that replace each other before their weights are
// checked, and against a service that nobody looks at: review/9 had both acknowledged.
TEST(platform_declarations, reads_every_part_of_a_split)
{
    const auto split_into = [](const json& parts, const json& beside = nullptr) {
        json it = sample();
        auto& action = it["listeners"][0]["rule-set"][1]["action"];
        action["traffic-split"] = parts;
        if (!beside.is_null()) {
            action["service"] = beside;
        }
        const auto all = compiled(it);
        return all ? all->routes.at({only_team(), "r-2"}).split
                   : std::vector<config::split_part>();
    };
    const auto part = [](const std::string& service, double weight) {
        return json{{"service", service}, {"weight", weight}};
    };
    EXPECT_TRUE(split_into({part("one", -5), part("one", 10)}).empty());
    EXPECT_TRUE(split_into({part("one", 10), part("one", -5)}).empty());
    EXPECT_TRUE(split_into({part("one", 10)}, "none").empty());
    EXPECT_TRUE(split_into({part("one", 10), part("none", 1)}).empty());
    EXPECT_TRUE(split_into(json::array()).empty());
    const auto sums =
        split_into({part("one", 5), part("two", 1), part("one", 10)}, "two");
    ASSERT_EQ(sums.size(), 2U);
    EXPECT_EQ(sums[0].weight, 15);
    EXPECT_EQ(sums[1].weight, 1);
}

json listener(const std::string& host, const json& rules)
{
    return {{"host", host}, {"rule-set", rules}};
}

// Guards against a rule of one host that replaces the rule of the same name of another:
// review/5 had requests of the first host run by another service.
TEST(platform_declarations, rules_of_one_name_are_kept_apart)
{
    auto second = sample_rule("r-1", "/a/");
    second["action"]["service"] = "two";
    second["action"].erase("max-attempts");
    auto third = sample_rule("r-1", "/c/");
    json from = sample();
    from["listeners"].push_back(listener("g.example", {second, third}));
    const auto all = compiled(from);
    ASSERT_TRUE(all.has_value());
    ASSERT_EQ(all->routes.size(), 4U);
    std::map<std::pair<std::string, std::string>, config::route_settings> by_key;
    for (const auto& [id, it] : all->routes) {
        by_key[{it.host, it.path_prefix}] = it;
    }
    EXPECT_EQ(by_key.size(), 4U);
    EXPECT_EQ((by_key[{"h.example", "/a/"}].pool), pool_of_service("one"));
    EXPECT_EQ((by_key[{"h.example", "/a/"}].max_attempts), 2U);
    EXPECT_EQ((by_key[{"g.example", "/a/"}].pool), pool_of_service("two"));
    EXPECT_EQ((by_key[{"g.example", "/a/"}].max_attempts), std::nullopt);
    EXPECT_EQ((by_key[{"g.example", "/c/"}].pool), pool_of_service("one"));
    // A name that only one rule has stays the name of its route, as in older releases.
    EXPECT_TRUE(all->routes.contains({only_team(), "r-2"}));
}

// Guards against a rule that loses its route because another rule literally has the name
// that tells rules of one name apart, or the name that stands for one with other
// characters.
TEST(platform_declarations, rules_named_like_made_names_are_kept_apart)
{
    json from = sample();
    from["listeners"].push_back(
        listener("g.example", json::array({sample_rule("r-1", "/a/")})));
    const auto before = compiled(from);
    ASSERT_TRUE(before.has_value());
    const std::string prefix = "/literal/";
    json rules = json::array();
    for (const auto& [id, it] : before->routes) {
        rules.push_back(sample_rule(id.name, prefix + id.name + "/"));
    }
    rules.push_back(sample_rule("Ü", "/u/"));
    rules.push_back(sample_rule(to_name("Ü"), "/v/"));
    const auto count = before->routes.size() + rules.size();
    from["listeners"].push_back(listener("i.example", rules));
    const auto all = compiled(from);
    ASSERT_TRUE(all.has_value());
    EXPECT_EQ(all->routes.size(), count);
}

// Guards against names of routes that depend on the order of the rules: reordering a
// configuration would replace its routes.
TEST(platform_declarations, order_of_rules_changes_no_route)
{
    json from = sample();
    from["listeners"].push_back(
        listener("g.example", {sample_rule("r-1", "/a/"), sample_rule("r-1", "/c/")}));
    json reversed = from;
    std::reverse(reversed["listeners"].begin(), reversed["listeners"].end());
    for (auto& it : reversed["listeners"]) {
        std::reverse(it["rule-set"].begin(), it["rule-set"].end());
    }
    EXPECT_EQ(compiled(from), compiled(reversed));
}

// Guards against two rules or services of which only one is obeyed, with settings of the
// other mixed in.
TEST(platform_declarations, refuses_rules_and_services_that_contradict_each_other)
{
    json rules = sample();
    rules["listeners"][0]["rule-set"].push_back(sample_rule("r-3", "/a/"));
    EXPECT_FALSE(compiled(rules));
    rules["listeners"][0]["rule-set"][2]["name"] = "r-1";
    EXPECT_FALSE(compiled(rules));
    json services = sample();
    services["clusters"].push_back({{"name", "one"}, {"health-path", "/other"}});
    EXPECT_FALSE(compiled(services));
}

// Guards against names that cuminpitch's settings don't allow.
TEST(platform_names, others_are_hashed)
{
    EXPECT_EQ(to_name("r-3d3zji9"), "r-3d3zji9");
    EXPECT_TRUE(config::is_name(to_name("Über/service")));
    EXPECT_NE(to_name("A"), to_name("B"));
}

json sample_check_in()
{
    return {
        {"service", "one"},
        {"address", "10.128.0.9:8080"},
        {"zone", "z"},
        {"version", "v1"},
        {"slots", 6},
        {"state", "ready"},
        {"warmup-ms", 500},
        {"seq", 4},
        {"born", 1700000000000}};
}

// Guards against a field that is dropped or decoded wrongly.
TEST(platform_check_in, reads_every_field)
{
    const auto it = accepted(decode_check_in("i-1", sample_check_in().dump()));
    ASSERT_TRUE(it.has_value());
    EXPECT_EQ(it->pool, pool_of_service("one"));
    EXPECT_EQ(it->announcement.server.str(), "i-1");
    EXPECT_EQ(it->announcement.address.str(), "10.128.0.9:8080");
    EXPECT_EQ(it->announcement.failure_domain.str(), "z");
    EXPECT_EQ(it->announcement.slots, 6U);
    EXPECT_EQ(it->announcement.sequence, 4U);
    EXPECT_EQ(it->announcement.incarnation, 1700000000000U);
    EXPECT_EQ(it->announcement.cold_start, absl::Milliseconds(500));
    EXPECT_EQ(it->announcement.state, upstream::availability::active);
}

// Guards against registering a server because of a malformed message.
TEST(platform_check_in, refuses_missing_and_mistyped_fields)
{
    const json whole = sample_check_in();
    for (const auto& [name, value] : whole.items()) {
        json it = sample_check_in();
        it[name] = json::array();
        EXPECT_FALSE(accepted(decode_check_in("i-1", it.dump()))) << name;
        it.erase(name);
        EXPECT_EQ(accepted(decode_check_in("i-1", it.dump())).has_value(), name == "born")
            << name;
    }
    json odd = sample_check_in();
    odd["state"] = "asleep";
    EXPECT_FALSE(accepted(decode_check_in("i-1", odd.dump())));
    odd = sample_check_in();
    odd["born"] = 1.5;
    EXPECT_FALSE(accepted(decode_check_in("i-1", odd.dump())));
    EXPECT_FALSE(accepted(decode_check_in("i-1", "\xff\xfe")));
    EXPECT_FALSE(accepted(decode_check_in("", sample_check_in().dump())));
}

// Guards against rejecting a leave message that has only the id.
TEST(platform_check_in, leaving_needs_only_the_id)
{
    EXPECT_EQ(
        accepted(decode_leave("i-1", ""))->announcement.state,
        upstream::availability::gone);
    EXPECT_EQ(
        accepted(decode_leave("i-1", R"({"born":5})"))->announcement.incarnation, 5U);
    EXPECT_FALSE(accepted(decode_leave("i-1", "[]")));
}

class platform_calls_test : public testing::Test
{
protected:
    auto decode(const std::string& method, const std::string& path, std::string body = "")
    {
        last.method = method;
        last.target = last.path = path;
        last.body = std::move(body);
        return it.decode(core::request_id(1), last);
    }
    http::response encode(const control::api_answer& answer) const
    {
        return it.encode(answer, last);
    }

    calls it{{17}, absl::Seconds(5)};
    http::request last;
};

// Guards against calls that are decoded wrongly or passed to the instance's own API.
TEST_F(platform_calls_test, each_call_is_known)
{
    const auto is_call = [](const auto& read) {
        return std::holds_alternative<control::api_call>(read);
    };
    EXPECT_TRUE(is_call(decode("PUT", "/-/config", sample().dump())));
    EXPECT_TRUE(is_call(decode("GET", "/-/config")));
    EXPECT_TRUE(is_call(decode("GET", "/-/resolve")));
    EXPECT_TRUE(is_call(decode("PUT", "/-/upstreams/i-1", sample_check_in().dump())));
    EXPECT_TRUE(is_call(decode("DELETE", "/-/upstreams/i-1")));
    const auto refused = decode("PUT", "/-/config", "{");
    EXPECT_EQ(std::get<http::response>(refused).status, 400);
    EXPECT_EQ(
        std::get<http::response>(decode("PUT", "/-/upstreams/i-1", "{}")).status, 400);
    EXPECT_TRUE(std::holds_alternative<daemon::control_api::unknown>(
        decode("GET", "/v1/status")));
}

// Guards against responses with a wrong status, header or body.
TEST_F(platform_calls_test, each_answer_has_its_form)
{
    static_cast<void>(decode("PUT", "/-/config", "{}"));
    namespace result = control::call_result;
    EXPECT_EQ(encode(result::accepted{}).status, 200);
    EXPECT_EQ(encode(result::invalid_declarations{{{"p", "r"}}}).status, 400);
    EXPECT_EQ(encode(result::unavailable{"why"}).status, 503);
    const auto redirect = encode(result::ask_leader{{"10.0.0.4", 8080}});
    EXPECT_EQ(redirect.status, 307);
    EXPECT_EQ(redirect.headers.get("Location"), "http://10.0.0.4:8080/-/config");
    EXPECT_EQ(encode(result::newest_document{}).status, 503);
    EXPECT_EQ(encode(result::newest_document{{7, "text"}}).body, "text");
    control::entry_record record;
    record.http = {"10.1.0.35", 8144};
    EXPECT_EQ(
        encode(result::entries{{record}}).body,
        R"({"addresses":["10.1.0.35:8144"],"ttl-s":5})");
}

class platform_settings_test : public testing::Test
{
protected:
    ~platform_settings_test() override { std::filesystem::remove(path); }
    void write(const std::string& seeds) const
    {
        std::ofstream(path) << "id=a\nplatform.seeds=" << seeds
                            << "\nplatform.internal-port=7660\n"
                               "platform.retry-ratio=0.2\nplatform.keep-s=5\n";
    }

    const std::string path = (std::filesystem::temp_directory_path() /
                              ("cuminpitch-platform-" + std::to_string(::getpid())))
                                 .string();
    std::shared_ptr<core::settings_file> file =
        std::make_shared<core::settings_file>(path);
};

// Guards against contacting seeds at the port of their operator API.
TEST_F(platform_settings_test, seeds_get_the_internal_port)
{
    write("10.1.0.38:8146,10.2.0.31:8146");
    const auto read = read_settings(*file);
    const auto& it = std::get<settings>(read);
    EXPECT_EQ(
        it.flags,
        (std::vector<std::string>{"--id=a", "--seeds=10.1.0.38:7660,10.2.0.31:7660"}));
    EXPECT_EQ(it.pools.retry_percent, 17U);
    EXPECT_EQ(it.entries_ttl, absl::Seconds(5));
}

// Guards against ignoring a changed settings file, and against ending the process because
// of an invalid one.
TEST_F(platform_settings_test, changed_seeds_are_read_and_wrong_files_are_not)
{
    write("10.1.0.38:8146");
    static_cast<void>(read_settings(*file));
    const auto source = make_seed_source(file);
    EXPECT_FALSE(source().has_value());
    write("10.9.0.1:8146");
    const auto seeds = source();
    ASSERT_TRUE(seeds.has_value());
    EXPECT_EQ(seeds->at(0).str(), "10.9.0.1:7660");
    std::ofstream(path) << "nonsense\n";
    EXPECT_FALSE(source().has_value());
}

// Guards against a limit of a server that is not read because of another header name.
TEST(platform_names, limit_of_a_server_has_its_header)
{
    const auto names = make_entry_api(absl::Seconds(2)).dialect;
    EXPECT_EQ(names.max_rate, "Server-Limit");
}

} // namespace
} // namespace cuminpitch::platform
