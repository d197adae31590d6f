// Announcements and configurations that other writers have got wrong.

#include "calls.hpp"
#include "check_in.hpp"
#include "declarations.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <gtest/gtest.h>

namespace cuminpitch::platform {
namespace {

const std::string deep = std::string(100'000, '[') + std::string(100'000, ']');

const std::string check_in =
    R"({"service":"one","address":"10.0.0.1:8080","zone":"z","version":"v1",)"
    R"("slots":6,"state":"ready","warmup-ms":0,"seq":4,"born":1700000000000})";

const std::string configuration =
    R"({"version":"r7","limits":{"max-header-bytes":16384,"max-body-bytes":67108864,)"
    R"("header-timeout-ms":3000,"idle-timeout-ms":15000},)"
    R"("listeners":[{"host":"h","rule-set":[{"name":"r-1",)"
    R"("kind":"safe","target-latency-ms":1000,"priority":1,)"
    R"("match":{"path-prefix":"/a/"},)"
    R"("action":{"service":"one","timeout-ms":2500,"max-attempts":2}}]}],)"
    R"("clusters":[{"name":"one","health-path":"/h","max-connections":390},)"
    R"({"name":"two"}]})";

std::string
replaced(const std::string& in, const std::string& from, const std::string& to)
{
    EXPECT_NE(in.find(from), std::string::npos) << from;
    return absl::StrReplaceAll(in, {{from, to}});
}

bool is_accepted(const std::string& id, const std::string& body)
{
    const calls api({}, absl::Seconds(5));
    http::request request;
    request.method = "PUT";
    request.path = "/-/upstreams/" + id;
    request.body = body;
    return std::holds_alternative<control::api_call>(
        api.decode(core::request_id(1), request));
}

bool is_leave_accepted(const std::string& id, const std::string& body)
{
    return std::holds_alternative<control::server_record>(decode_leave(id, body));
}

bool is_decoded(const std::string& text)
{
    return std::holds_alternative<converted_configuration>(
        decode_configuration(text, {}));
}

// Guards against an announcement that is used, or ends the process, although a field of
// it makes no sense.
TEST(odd_entries, announcement_loses_only_itself)
{
    const std::pair<const char*, std::string> odd_fields[] = {
        {R"("slots":6)", R"("slots":1e400)"},
        {R"("slots":6)", R"("slots":1e30)"},
        {R"("slots":6)", R"("slots":9223372036854775808)"},
        {R"("slots":6)", R"("slots":18446744073709551616)"},
        {R"("slots":6)", R"("slots":-1)"},
        {R"("slots":6)", R"("slots":0)"},
        {R"("slots":6)", R"("slots":6.5)"},
        {R"("slots":6)", R"("slots":"6")"},
        {R"("slots":6)", R"("slots":null)"},
        {R"("slots":6)", R"("slots":6,"slots":7)"},
        {R"("slots":6)", R"("slots":)" + deep},
        {R"("slots":6)", R"("slots":6,"other":)" + deep},
        {R"("seq":4)", R"("seq":1e30)"},
        {R"("seq":4)", R"("seq":9223372036854775808)"},
        {R"("born":1700000000000)", R"("born":1e400)"},
        {R"("born":1700000000000)", R"("born":-5)"},
        {R"("born":1700000000000)", R"("born":"now")"},
        {R"("warmup-ms":0)", R"("warmup-ms":1e12)"},
        {R"(10.0.0.1:8080)", "10.0.0.1:0"},
        {R"(10.0.0.1:8080)", "10.0.0.1:65536"},
        {R"(10.0.0.1:8080)", "10.0.0.1:70000"},
        {R"(10.0.0.1:8080)", "10.0.0.1:-1"},
        {R"(10.0.0.1:8080)", "10.0.0.1:+80"},
        {R"(10.0.0.1:8080)", "10.0.0.1: 80"},
        {R"(10.0.0.1:8080)", "10.0.0.1"},
        {R"(10.0.0.1:8080)", "10.0.0.256:80"},
        {R"(10.0.0.1:8080)", "0.0.0.0:80"},
        {R"(10.0.0.1:8080)", ""},
        {R"("service":"one")", R"("service":"")"},
        {R"("service":"one")", R"("service":7)"},
        {R"("service":"one")", R"("service":")" + std::string(100'000, 's') + "\""},
        {R"("service":"one")", "\"service\":\"\xff\xfe\""},
        {R"("zone":"z")", R"("zone":")" + std::string(100'000, 'z') + "\""},
        {R"("zone":"z")", R"("zone":[])"},
        {R"("state":"ready")", R"("state":"asleep")"},
        {R"("state":"ready")", R"("state":"Ready")"}};
    for (const auto& [from, to] : odd_fields) {
        EXPECT_FALSE(is_accepted("i-1", replaced(check_in, from, to)))
            << to.substr(0, 60);
        EXPECT_TRUE(is_accepted("i-2", check_in));
    }
    for (const auto& body : {std::string(), deep, std::string("{"), check_in + "x"}) {
        EXPECT_FALSE(is_accepted("i-1", body)) << body.substr(0, 60);
    }
}

// Guards against ids that spoil headers, logs and status pages.
TEST(odd_entries, odd_ids_are_refused)
{
    for (const auto& id :
         {std::string(),
          std::string("a b"),
          std::string("a\x01"),
          std::string("a\xff"),
          std::string("a/b"),
          std::string(100'000, 'i')}) {
        EXPECT_FALSE(is_accepted(id, check_in)) << id.substr(0, 60);
        EXPECT_FALSE(is_leave_accepted(id, "")) << id.substr(0, 60);
    }
    EXPECT_FALSE(is_leave_accepted("i-1", R"({"born":)" + deep + "}"));
    EXPECT_FALSE(is_leave_accepted("i-1", R"({"born":1e30})"));
}

// Guards against numbers that are converted to an integer that differs between machines,
// and against values that end the process.
TEST(odd_entries, configuration_with_odd_values_is_refused)
{
    ASSERT_TRUE(is_decoded(configuration));
    EXPECT_TRUE(is_decoded(replaced(configuration, ":2500", ":2500.0")));
    EXPECT_TRUE(is_decoded(replaced(configuration, ":2500", ":2.5e3")));
    for (const auto& odd :
         {std::string("1e400"),
          std::string("-1e400"),
          std::string("1e30"),
          std::string("-1e30"),
          std::string("9223372036854775808"),
          std::string("18446744073709551616"),
          std::string("\"2500\""),
          std::string("null"),
          std::string("true"),
          std::string("{}"),
          deep}) {
        for (const char* number : {":2500", ":390", ":1000", ":2}"}) {
            const std::string rest = number[2] == '}' ? "}" : "";
            EXPECT_FALSE(
                is_decoded(replaced(configuration, number, absl::StrCat(":", odd, rest))))
                << number << " " << odd.substr(0, 60);
        }
    }
    EXPECT_FALSE(is_decoded(
        replaced(configuration, R"("version":"r7")", R"("version":"r7","x":)" + deep)));
    EXPECT_FALSE(is_decoded(replaced(
        configuration, R"("version":"r7")", R"("version":"r7","version":"r8")")));
    EXPECT_FALSE(is_decoded(replaced(configuration, R"("r7")", R"("r-7")")));
    EXPECT_FALSE(
        is_decoded(replaced(configuration, R"("r7")", R"("r18446744073709551616")")));
    EXPECT_FALSE(is_decoded(replaced(configuration, R"("h")", "\"\xc3\"")));
}

// Guards against weights of which the sum isn't a number.
TEST(odd_entries, odd_weights_are_refused)
{
    const auto with_weights = [](const std::string& one, const std::string& two) {
        return replaced(
            configuration,
            R"("service":"one")",
            R"("traffic-split":[{"service":"one","weight":)" + one +
                R"(},{"service":"two","weight":)" + two + "}]");
    };
    EXPECT_TRUE(is_decoded(with_weights("0.5", "10")));
    for (const char* odd : {"1e308", "1e400", "\"1\"", "null", "[]"}) {
        EXPECT_FALSE(is_decoded(with_weights(odd, "1"))) << odd;
    }
}

} // namespace
} // namespace cuminpitch::platform
