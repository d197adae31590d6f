// Servers that answer a request twice, the second time late, so that the second answer or
// a piece of it stands in front of the answer to the next request.

#include "live_entry.hpp"

#include "http/raw_socket.hpp"

#include <absl/strings/str_cat.h>

namespace cuminpitch::request {
namespace {

using http::raw_server;

dispatcher_options options_with_target()
{
    auto out = platform_options();
    out.dialect.target_server = "T";
    return out;
}

std::string id_of(const std::string& request)
{
    const auto at = request.find("Id: ") + 4;
    return request.substr(at, request.find("\r\n", at) - at);
}

std::string answer(const std::string& status, const std::string& fields, const char* body)
{
    return absl::StrCat(
        "HTTP/1.1 ",
        status,
        "\r\n",
        fields,
        "Content-Length: ",
        std::string_view(body).size(),
        "\r\n\r\n",
        body);
}

struct second_answer
{
    const char* name;
    std::string status;
    std::string fields;
    std::string real_status;
};

/// Has one server. The first request of each round is answered whole, the second one by
/// the first `cut` bytes of the second answer to the first one and then by its own
/// answer.
class answering_twice
{
public:
    explicit answering_twice(const second_answer& it)
        : late_(answer(it.status, it.fields, "old")), real_status_(it.real_status)
    {
        declared->pools[pool_p].every_entry = true;
    }

    std::size_t length() const { return late_.size(); }
    /// Length of the head without the empty line at its end.
    std::size_t head_length() const { return late_.find("\r\n\r\n") + 2; }
    pool_update pool() const
    {
        pool_update out;
        out.pool = pool_p;
        out.settings = declared->pools.at(pool_p);
        out.is_assigned = true;
        out.servers.push_back({core::server_id("s"), server_.at(), 4, false, false});
        return out;
    }
    /// Expects that the answer to the second request is its own or says nothing.
    void expect_own_answers(const live_entry& entry, std::size_t begin, std::size_t end)
    {
        for (cut_ = begin; cut_ <= end; ++cut_) {
            const auto before = server_.executions();
            ASSERT_TRUE(send(entry, "old").ends_with("\r\n\r\nreal")) << cut_;
            const auto text = send(entry, "new");
            ASSERT_EQ(server_.executions(), before + 2) << cut_ << "\n" << text;
            const bool is_unknown = text.starts_with("HTTP/1.1 502");
            const bool is_own =
                text.starts_with("HTTP/1.1 " + real_status_.substr(0, 3)) &&
                text.ends_with("\r\n\r\nreal") &&
                text.find("C: new\r\n") != std::string::npos;
            EXPECT_TRUE(is_unknown || is_own) << cut_ << "\n" << text;
            EXPECT_EQ(text.find("C: old\r\n"), std::string::npos) << cut_ << "\n" << text;
            EXPECT_TRUE(is_own || text.find("C: ") == std::string::npos) << cut_ << "\n"
                                                                         << text;
        }
    }

    const std::shared_ptr<config::declarations> declared = two_teams();

private:
    static std::string real_answer(const std::string& id, const std::string& status)
    {
        return answer(status, "C: " + id + "\r\nP: proof\r\n", "real");
    }
    static std::string send(const live_entry& entry, const std::string& id)
    {
        const http::raw_caller caller(entry.at().port);
        caller.send(
            "GET /read HTTP/1.1\r\nHost: h\r\nConnection: close\r\nC: " + id +
            "\r\nId: " + id + "\r\n\r\n");
        return caller.read_all();
    }

    const std::string late_;
    const std::string real_status_;
    std::atomic<std::size_t> cut_{0};
    raw_server server_{[this](unsigned, const std::string& request) {
        const auto id = id_of(request);
        return raw_server::reply{
            id == "old" ? real_answer(id, "200 OK")
                        : late_.substr(0, cut_) + real_answer(id, real_status_)};
    }};
};

class late_answers : public testing::TestWithParam<second_answer>
{
protected:
    answering_twice servers{GetParam()};
};

// Guards against a status, a proof or the promise that a request was not run, taken from
// a piece of the answer to another request.
TEST_P(late_answers, never_become_part_of_the_next_one)
{
    const live_entry entry(servers.pool(), options_with_target(), servers.declared);
    servers.expect_own_answers(entry, 1, servers.length());
}

// Guards against the same in the answer that another entry passes on.
TEST_P(late_answers, never_become_part_of_the_next_one_by_way_of_another_entry)
{
    const live_entry serving(servers.pool(), options_with_target(), servers.declared);
    auto remote = servers.pool();
    remote.is_assigned = false;
    remote.servers.clear();
    remote.entries = {{core::instance_id("e"), serving.at(), true}};
    const live_entry forwarding(remote, options_with_target(), servers.declared);
    servers.expect_own_answers(forwarding, 1, servers.length());
}

// Guards against the same where servers don't repeat an id, for pieces of a head.
TEST_P(late_answers, never_become_part_of_the_next_one_without_an_id)
{
    const live_entry entry(servers.pool(), {}, servers.declared);
    servers.expect_own_answers(entry, 1, servers.head_length());
}

std::vector<second_answer> second_answers()
{
    struct kind
    {
        std::string name;
        std::string status;
        std::string fields;
    };
    const std::string own = "Cuminpitch-Run: not-run\r\n";
    const std::vector<kind> kinds = {
        {"success", "200 OK", "C: old\r\nP: proof\r\n"},
        {"failure", "500 Internal Server Error", "C: old\r\n"},
        {"refusal", "503 Busy", "N: 1\r\n" + own + "C: old\r\n"},
        {"refusal_without_id", "503 Busy", "N: 1\r\n" + own},
        {"limit", "429 Too Many Requests", "N: 1\r\n" + own + "C: old\r\n"},
        {"misdirected", "421 Misdirected Request", "N: 1\r\nC: old\r\n"}};
    static std::vector<std::string> names;
    names.reserve(2 * kinds.size());
    std::vector<second_answer> out;
    for (const auto& it : kinds) {
        for (const char* real : {"200 OK", "500 Internal Server Error"}) {
            names.push_back(it.name + "_before_" + std::string(real).substr(0, 3));
            out.push_back({names.back().c_str(), it.status, it.fields, real});
        }
    }
    return out;
}

INSTANTIATE_TEST_SUITE_P(
    kinds, late_answers, testing::ValuesIn(second_answers()), [](const auto& it) {
        return std::string(it.param.name);
    });

// Guards against a whole second answer, or one that is cut in its body, that is taken for
// the answer to the next request where servers don't repeat an id.
TEST(whole_late_answers, are_told_apart_without_an_id)
{
    for (const auto& it : second_answers()) {
        SCOPED_TRACE(it.name);
        answering_twice servers(it);
        const live_entry entry(servers.pool(), {}, servers.declared);
        servers.expect_own_answers(entry, servers.head_length() + 2, servers.length());
    }
}

} // namespace
} // namespace cuminpitch::request
