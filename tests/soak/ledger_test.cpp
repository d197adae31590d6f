#include "soak/ledger.hpp"

#include <absl/strings/str_cat.h>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace cuminpitch::testing {
namespace {

using ::testing::ElementsAre;
using ::testing::HasSubstr;
using ::testing::IsEmpty;

/// Guards against checks that miss the violation they look for: a soak run could then
/// pass although a guarantee is broken.
class ledger_test : public ::testing::Test
{
protected:
    void add_answered_request(
        request_kind kind, int status, std::string body = "", int runs = 0)
    {
        request_record it{"q", kind, "entry-1", now, now + absl::Milliseconds(50), {}};
        it.result.verdict = core::verdict::ran;
        it.result.response.status = status;
        if (!body.empty()) {
            it.result.response.headers.set("X-Attempt-Id", "q");
            it.result.response.headers.set("X-Upstream-Signature", "s/q/1");
        }
        it.result.response.body = std::move(body);
        records.add(std::move(it));
        for (int i = 0; i < runs; ++i) {
            records.add(arrival_record{"q", "s", now, true});
        }
    }
    void add_server_answer(const std::string& request, int status)
    {
        answer_record it{request, {}};
        it.response.status = status;
        it.response.headers.set("X-Attempt-Id", request);
        it.response.headers.set("X-Upstream-Signature", "s/q/1");
        it.response.body = body_for(request, "s/q/1");
        records.add(std::move(it));
    }
    void expect_problem(const std::string& text) const
    {
        EXPECT_THAT(records.problems(disturbed), ElementsAre(HasSubstr(text)));
    }

    /// Customers "A" with the key k-a and "B" with the key k-b, whose rate is 10 with a
    /// burst of 10. The key k-old of "A" was revoked at `now`, and k-new added.
    void declare_customers()
    {
        records.add(customer_record{"A"});
        records.add(customer_record{"B", 10, 10});
        records.add_key("k-a", {"A"});
        records.add_key("k-b", {"B"});
        key_record change{"A"};
        change.revoke_sent = now - absl::Milliseconds(10);
        change.revoked = now;
        records.add_key("k-old", change);
        records.add_key("k-new", {"A", change.revoke_sent, now});
    }
    /// A request that a server ran at once and that its caller got no answer to.
    void add_run(
        const std::string& id,
        absl::Time at,
        const std::string& key,
        const std::string& customer)
    {
        request_record it{id, request_kind::safe, "entry-1", at, at, {}, key};
        it.result.failure = http::failure::timeout;
        records.add(std::move(it));
        records.add(arrival_record{id, "s", at, true, customer});
    }
    void add_answer(absl::Time at, const std::string& key, int status)
    {
        request_record it{"q", request_kind::safe, "entry-1", at, at, {}, key};
        it.result.response.status = status;
        records.add(std::move(it));
    }

    ledger records;
    disturbances disturbed;
    absl::Time now = absl::FromUnixSeconds(1000);
};

TEST_F(ledger_test, accepts_expected_results)
{
    add_server_answer("q", 200);
    add_answered_request(request_kind::order, 200, body_for("q", "s/q/1"), 1);
    add_answered_request(request_kind::safe, 503);
    EXPECT_THAT(records.problems(disturbed), IsEmpty());
}

TEST_F(ledger_test, detects_an_order_executed_twice)
{
    add_answered_request(request_kind::order, 502, "", 2);
    expect_problem("executed more than once");
}

TEST_F(ledger_test, detects_an_executed_refusal)
{
    add_answered_request(request_kind::upload, 503, "", 1);
    expect_problem("refused as not executed, but executed");
}

TEST_F(ledger_test, detects_the_response_to_another_request)
{
    add_server_answer("q", 200);
    add_answered_request(request_kind::safe, 200, body_for("other", "s/q/1"), 1);
    expect_problem("response incomplete or for another request");
}

TEST_F(ledger_test, detects_a_success_where_the_server_answered_with_a_failure)
{
    add_server_answer("q", 500);
    add_answered_request(request_kind::safe, 200, body_for("q", "s/q/1"), 1);
    expect_problem("server answered with status 500");
}

TEST_F(ledger_test, detects_a_failure_where_the_server_answered_with_a_success)
{
    add_server_answer("q", 200);
    add_answered_request(request_kind::safe, 500, body_for("q", "s/q/1"), 1);
    expect_problem("server answered with status 200");
}

TEST_F(ledger_test, detects_the_signature_of_another_run)
{
    add_server_answer("other", 200);
    add_answered_request(request_kind::safe, 200, body_for("q", "s/q/1"), 1);
    expect_problem("signature of another run");
}

TEST_F(ledger_test, detects_a_foreign_id)
{
    add_server_answer("q", 200);
    request_record it{"q", request_kind::safe, "entry-1", now, now, {}};
    it.result.response.status = 200;
    it.result.response.headers.set("X-Attempt-Id", "other");
    it.result.response.headers.set("X-Upstream-Signature", "s/q/1");
    it.result.response.body = body_for("q", "s/q/1");
    records.add(std::move(it));
    expect_problem("id differs");
}

TEST_F(ledger_test, detects_a_success_without_a_signature)
{
    add_answered_request(request_kind::safe, 200);
    expect_problem("without the signature");
}

TEST_F(ledger_test, detects_a_client_error)
{
    add_answered_request(request_kind::safe, 404);
    expect_problem("rejected");
}

TEST_F(ledger_test, detects_a_cut_connection_except_at_a_killed_entry)
{
    request_record it{"q", request_kind::safe, "entry-1", now, now, {}};
    it.result.failure = http::failure::reset;
    it.result.verdict = core::verdict::may_have_run;
    records.add(it);
    expect_problem("cut without a fault");
    disturbed.add("entry-1", now, now);
    EXPECT_THAT(records.problems(disturbed), IsEmpty());
}

TEST_F(ledger_test, detects_a_request_to_a_departed_server)
{
    records.add_departure("s", now);
    records.add(arrival_record{"q", "s", now + absl::Milliseconds(1900), true});
    EXPECT_THAT(records.problems(disturbed), IsEmpty());
    records.add(arrival_record{"r", "s", now + absl::Milliseconds(2100), true});
    expect_problem("after its departure");
}

TEST_F(ledger_test, detects_a_stale_configuration)
{
    records.add_acknowledged(4, now);
    records.add_read(3, now + absl::Seconds(1));
    EXPECT_THAT(records.problems(disturbed), IsEmpty());
    records.add_read(3, now + absl::Milliseconds(2100));
    expect_problem("stale configuration");
}

TEST_F(ledger_test, accepts_requests_of_customers)
{
    declare_customers();
    add_run("1", now, "k-a", "A");
    add_run("2", now + absl::Milliseconds(1900), "k-old", "A");
    add_run("3", now, "k-new", "A");
    add_answer(now + absl::Seconds(3), "k-old", 401);
    add_answer(now + absl::Seconds(1), "k-new", 401);
    add_answer(now, "", 401);
    EXPECT_THAT(records.problems(disturbed), IsEmpty());
}

TEST_F(ledger_test, detects_a_run_without_a_known_key)
{
    declare_customers();
    for (const char* key : {"", "k-unknown"}) {
        add_run(absl::StrCat("q", key), now, key, "");
    }
    add_run("early", now - absl::Seconds(1), "k-new", "A");
    EXPECT_THAT(
        records.problems(disturbed),
        ElementsAre(
            HasSubstr("executed without a known key"),
            HasSubstr("executed without a known key"),
            HasSubstr("executed without a known key")));
}

TEST_F(ledger_test, detects_a_run_under_a_revoked_key_except_after_a_fault)
{
    declare_customers();
    add_run("q", now + absl::Milliseconds(2100), "k-old", "A");
    expect_problem("executed under a key revoked");
    disturbed.add("control-1", now, now);
    EXPECT_THAT(records.problems(disturbed), IsEmpty());
}

TEST_F(ledger_test, detects_the_name_of_another_customer)
{
    declare_customers();
    add_run("q", now, "k-a", "B");
    expect_problem("got the name 'B' for a key of 'A'");
}

TEST_F(ledger_test, detects_a_key_that_reaches_a_server)
{
    declare_customers();
    records.add(arrival_record{"q", "s", now, false, "A", true});
    expect_problem("a server got a key");
}

TEST_F(ledger_test, detects_an_exceeded_rate)
{
    declare_customers();
    // 86 runs are allowed: (10 x 5 + 10) x 1.1 + 20.
    for (int n = 0; n < 86; ++n) {
        add_run(absl::StrCat("q", n), now + absl::Milliseconds(50) * n, "k-b", "B");
    }
    add_run("later", now + absl::Seconds(5), "k-b", "B");
    EXPECT_THAT(records.problems(disturbed), IsEmpty());
    add_run("one more", now + absl::Milliseconds(4990), "k-b", "B");
    expect_problem("rate exceeded: 87 runs of B");
}

TEST_F(ledger_test, detects_a_valid_key_that_is_refused)
{
    declare_customers();
    add_answer(now, "k-a", 401);
    add_answer(now + absl::Milliseconds(2100), "k-new", 401);
    EXPECT_THAT(
        records.problems(disturbed),
        ElementsAre(HasSubstr("valid key refused"), HasSubstr("valid key refused")));
    disturbed.add("entry-1", now, now);
    expect_problem("valid key refused");
}

TEST_F(ledger_test, requests_refused_rightly_do_not_lower_the_served_fraction)
{
    declare_customers();
    add_answer(now, "k-a", 200);
    add_answer(now, "k-unknown", 401);
    add_answer(now, "k-b", 429);
    EXPECT_EQ(records.served_since(now), 1);
    add_answer(now, "k-a", 429);
    EXPECT_EQ(records.served_since(now), 0.5);
    add_answer(now, "k-b", 503);
    EXPECT_LT(records.served_since(now), 0.4);
}

} // namespace
} // namespace cuminpitch::testing
