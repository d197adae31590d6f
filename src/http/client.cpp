#include "cuminpitch/http/client.hpp"

#include "attempt_priv.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <curl/curl.h>

#include <algorithm>
#include <thread>
#include <utility>
#include <vector>

namespace cuminpitch::http {
namespace {

constexpr int poll_ms = 1000;

class curl_client : public client
{
public:
    explicit curl_client(client_options options)
        : options_(options), multi_(curl_multi_init())
    {
        curl_multi_setopt(
            multi_,
            CURLMOPT_MAXCONNECTS,
            static_cast<long>(options_.idle_connection_limit));
        curl_multi_setopt(multi_, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
        thread_ = std::thread([this] { run(); });
    }

    ~curl_client() override
    {
        {
            const absl::MutexLock lock(&mutex_);
            stopping_ = true;
        }
        curl_multi_wakeup(multi_);
        thread_.join();
        curl_multi_cleanup(multi_);
    }

    handle start(client_request request, callback done) override
    {
        handle it = 0;
        {
            const absl::MutexLock lock(&mutex_);
            it = ++last_handle_;
            commands_.push_back({it, std::move(request), std::move(done)});
        }
        curl_multi_wakeup(multi_);
        return it;
    }

    void cancel(handle it) override
    {
        {
            const absl::MutexLock lock(&mutex_);
            commands_.push_back({it, {}, nullptr});
        }
        curl_multi_wakeup(multi_);
    }

private:
    /// Starts an attempt, or cancels it if `done` is empty.
    struct command
    {
        handle id;
        client_request request;
        callback done;
    };

    void run();
    void execute(command it);
    void finish_done();
    /// Aborts the largest responses while all together exceed their limit, and those that
    /// exceed the framing limit.
    void abort_endless_responses();
    handle largest() const;
    std::unique_ptr<attempt> take(handle it);

    const client_options options_;
    CURLM* const multi_;
    absl::Mutex mutex_;
    bool stopping_ = false;
    handle last_handle_ = 0;
    std::vector<command> commands_;
    received_bytes received_;
    connection_table connections_;
    absl::flat_hash_map<handle, std::unique_ptr<attempt>> active_;
    absl::flat_hash_map<CURL*, handle> handles_;
    std::thread thread_;
};

void curl_client::run()
{
    for (bool stopping = false; !stopping;) {
        std::vector<command> commands;
        {
            const absl::MutexLock lock(&mutex_);
            commands.swap(commands_);
            stopping = stopping_;
        }
        for (auto& it : commands) {
            execute(std::move(it));
        }
        int running = 0;
        curl_multi_perform(multi_, &running);
        finish_done();
        abort_endless_responses();
        if (!stopping) {
            curl_multi_poll(multi_, nullptr, 0, poll_ms, nullptr);
        }
    }
    while (!active_.empty()) {
        take(active_.begin()->first)->cancel();
    }
}

void curl_client::execute(command it)
{
    if (!it.done) {
        if (const auto cancelled = take(it.id)) {
            cancelled->cancel();
        }
        return;
    }
    auto next = std::make_unique<attempt>(
        std::move(it.request),
        std::move(it.done),
        options_.allow_resend,
        received_,
        connections_);
    CURL* easy = next->easy();
    if (easy == nullptr) {
        next->finish(CURLE_OUT_OF_MEMORY);
        return;
    }
    curl_easy_setopt(
        easy,
        CURLOPT_MAXAGE_CONN,
        static_cast<long>(absl::ToInt64Seconds(options_.idle_connection_age)));
    handles_[easy] = it.id;
    active_[it.id] = std::move(next);
    curl_multi_add_handle(multi_, easy);
}

std::unique_ptr<attempt> curl_client::take(handle it)
{
    const auto found = active_.find(it);
    if (found == active_.end()) {
        return nullptr;
    }
    auto out = std::move(found->second);
    active_.erase(found);
    handles_.erase(out->easy());
    curl_multi_remove_handle(multi_, out->easy());
    return out;
}

void curl_client::abort_endless_responses()
{
    while (received_.held > options_.max_held_response_bytes) {
        take(largest())->abort_endless();
    }
    if (!std::exchange(received_.any_exceeds_framing_limit, false)) {
        return;
    }
    std::vector<handle> overrun;
    for (const auto& [id, it] : active_) {
        if (it->exceeds_framing_limit()) {
            overrun.push_back(id);
        }
    }
    for (const handle id : overrun) {
        take(id)->abort_endless();
    }
}

client::handle curl_client::largest() const
{
    const auto it = std::max_element(
        active_.begin(), active_.end(), [](const auto& left, const auto& right) {
            return left.second->held_bytes() < right.second->held_bytes();
        });
    return it->first;
}

void curl_client::finish_done()
{
    int left = 0;
    while (const CURLMsg* message = curl_multi_info_read(multi_, &left)) {
        if (message->msg == CURLMSG_DONE) {
            const CURLcode code = message->data.result;
            CURL* const easy = message->easy_handle;
            const handle id = handles_.at(easy);
            if (active_.at(id)->needs_restart()) {
                curl_multi_remove_handle(multi_, easy);
                curl_multi_add_handle(multi_, easy);
                continue;
            }
            take(id)->finish(code);
        }
    }
}

} // namespace

std::unique_ptr<client> client::create(client_options options)
{
    static const CURLcode ready = curl_global_init(CURL_GLOBAL_DEFAULT);
    if (ready != CURLE_OK) {
        return nullptr;
    }
    return std::make_unique<curl_client>(options);
}

} // namespace cuminpitch::http
