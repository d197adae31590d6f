#include "control_client_priv.hpp"

#include "cuminpitch/core/json.hpp"

#include <absl/random/distributions.h>
#include <absl/time/clock.h>
#include <curl/curl.h>

#include <algorithm>
#include <memory>

namespace cuminpitch::cli {
namespace {

constexpr absl::Duration initial_backoff = absl::Milliseconds(50);
constexpr absl::Duration max_backoff = absl::Seconds(1);
constexpr absl::Duration connect_timeout = absl::Seconds(1);
constexpr absl::Duration attempt_timeout = absl::Seconds(5);
// A settings tree of the target size is about 20 MB.
constexpr std::size_t max_response_bytes = 256U << 20U;

constexpr long status_misdirected = 421;
constexpr long status_unknown = 503;

std::size_t append(const char* data, std::size_t size, std::size_t count, void* to)
{
    auto& text = *static_cast<std::string*>(to);
    if (text.size() + size * count > max_response_bytes) {
        return 0;
    }
    text.append(data, size * count);
    return size * count;
}

struct curl_deleter
{
    void operator()(CURL* it) const { curl_easy_cleanup(it); }
    void operator()(curl_slist* it) const { curl_slist_free_all(it); }
};

/// One HTTP exchange on a new connection, so that libcurl never resends the request.
class exchange
{
public:
    exchange(const core::endpoint& to, const std::string& target, absl::Duration timeout)
        : curl_(curl_easy_init()), url_("http://" + to.str() + target)
    {
        set(CURLOPT_URL, url_.c_str());
        set(CURLOPT_PROXY, "");
        set(CURLOPT_NOSIGNAL, 1L);
        set(CURLOPT_CONNECTTIMEOUT_MS, absl::ToInt64Milliseconds(connect_timeout));
        set(CURLOPT_TIMEOUT_MS, std::max<long>(1, absl::ToInt64Milliseconds(timeout)));
        set(CURLOPT_WRITEFUNCTION, append);
        set(CURLOPT_WRITEDATA, &text_);
    }

    CURLcode run(const std::string& method, const std::string& body)
    {
        if (method == "POST") {
            fields_.reset(curl_slist_append(nullptr, "Content-Type: application/json"));
            fields_.reset(curl_slist_append(fields_.release(), "Expect:"));
            set(CURLOPT_HTTPHEADER, fields_.get());
            set(CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(body.size()));
            set(CURLOPT_POSTFIELDS, body.c_str());
        }
        return curl_easy_perform(curl_.get());
    }

    long status() const
    {
        long value = 0;
        curl_easy_getinfo(curl_.get(), CURLINFO_RESPONSE_CODE, &value);
        return value;
    }
    const std::string& text() const { return text_; }

private:
    template <class T>
    void set(CURLoption option, T value)
    {
        curl_easy_setopt(curl_.get(), option, value);
    }

    std::unique_ptr<CURL, curl_deleter> curl_;
    std::unique_ptr<curl_slist, curl_deleter> fields_;
    std::string url_;
    std::string text_;
};

} // namespace

control_client::control_client(
    std::vector<core::endpoint> instances, core::random_source random)
    : instances_(std::move(instances)), random_(random), backoff_(initial_backoff)
{
}

std::optional<response> control_client::call(
    const std::string& method, const std::string& target, const std::string& body)
{
    backoff_ = initial_backoff;
    do {
        response it;
        if (attempt(method, target, body, it) == attempt_result::answered) {
            return it;
        }
    } while (prepare_retry());
    return std::nullopt;
}

std::optional<response> control_client::call_once(
    const std::string& target, const std::string& body, bool first_only)
{
    backoff_ = initial_backoff;
    do {
        response it;
        const auto end = attempt("POST", target, body, it);
        outcome_unknown_ = end == attempt_result::unknown;
        if (end == attempt_result::answered) {
            return it;
        }
        if (end == attempt_result::unknown || first_only) {
            return std::nullopt;
        }
    } while (prepare_retry());
    return std::nullopt;
}

control_client::attempt_result control_client::attempt(
    const std::string& method,
    const std::string& target,
    const std::string& body,
    response& to)
{
    const core::endpoint instance = leader_.value_or(instances_[next_]);
    leader_.reset();
    exchange it(instance, target, std::min(attempt_timeout, deadline_ - absl::Now()));
    const CURLcode code = it.run(method, body);
    if (code != CURLE_OK) {
        error_ = instance.str() + ": " + curl_easy_strerror(code);
        return code == CURLE_COULDNT_CONNECT ? attempt_result::not_sent
                                             : attempt_result::unknown;
    }
    const auto end = parse_response(it.status(), it.text(), to);
    if (end != attempt_result::answered) {
        error_ = instance.str() + ": status " + std::to_string(it.status());
    } else {
        leader_ = instance;
    }
    return end;
}

control_client::attempt_result
control_client::parse_response(long status, const std::string& text, response& to)
{
    to.status = static_cast<int>(status);
    // An answer with the history holds values in lists of operations of changes.
    constexpr int max_answer_depth = core::max_json_depth + 8;
    auto parsed = core::parse_json(text, max_answer_depth);
    to.body = parsed.reason.empty() ? std::move(parsed.value) : nlohmann::json();
    if (status == status_misdirected) {
        follow_redirect(to.body);
        return attempt_result::redirected;
    }
    if (status == status_unknown || !to.body.is_object()) {
        return attempt_result::unknown;
    }
    return attempt_result::answered;
}

void control_client::follow_redirect(const nlohmann::json& body)
{
    if (body.is_object() && body.contains("leader") && body["leader"].is_string()) {
        leader_ = core::parse_endpoint(body["leader"].get<std::string>());
    }
}

bool control_client::prepare_retry()
{
    if (!leader_) {
        next_ = (next_ + 1) % instances_.size();
    }
    // Jitter keeps several operators from calling a new leader at the same time.
    const absl::Duration pause = absl::Uniform(random_, 0.5, 1.0) * backoff_;
    if (absl::Now() + pause >= deadline_) {
        return false;
    }
    absl::SleepFor(pause);
    backoff_ = std::min(2 * backoff_, max_backoff);
    return true;
}

std::string escape(const std::string& value)
{
    char* text = curl_easy_escape(nullptr, value.c_str(), static_cast<int>(value.size()));
    std::string result = text == nullptr ? "" : text;
    curl_free(text);
    return result;
}

} // namespace cuminpitch::cli
