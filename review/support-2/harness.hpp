// Stand-ins of the review of issue 54 for the users' platform, their operator, backend
// servers and callers. They need only the standard library and sockets. Real clock,
// loopback addresses, and the commands of deploy/system.toml.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review {

/// Exit statuses of a script.
enum verdict : int
{
    rule_held = 0,
    rule_broken = 1,
    could_not_run = 2,
};

/// Milliseconds since the start of the program, by the steady clock.
std::int64_t now_ms();
void sleep_ms(std::int64_t ms);
/// False if TROUBLE=0 is set, in which case a script leaves its disruption out.
bool has_trouble();

/// Writes a line with the time to the file that is named by RECORD. Thread-safe.
void record(const std::string& line);
/// Ends the program without a verdict.
[[noreturn]] void give_up(const std::string& why);
/// Waits until `is_true` or the time is over; returns its last value.
bool wait_for(const std::function<bool()>& is_true, std::int64_t ms);

struct message
{
    std::string start; ///< Request line or status line.
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    bool complete = false;

    std::string get(const std::string& name) const;
    bool has(const std::string& name) const;
    int status() const;
    std::string method() const;
    std::string target() const;
};

struct endpoint
{
    std::string host;
    int port = 0;
    std::string str() const { return host + ":" + std::to_string(port); }
};

/// A connected socket.
class connection
{
public:
    explicit connection(int fd) : fd_(fd) {}
    ~connection() { close(); }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    /// Null if the connection can't be made in time.
    static std::unique_ptr<connection> open(const endpoint& to, std::int64_t timeout_ms);
    bool send(const std::string& bytes);
    /// Reads one message. `complete` is false if the connection ended or the time was
    /// over.
    message read(std::int64_t timeout_ms, bool is_request, bool is_head = false);
    /// True if the peer has closed its side or reset the connection.
    bool is_closed() const;
    void close();
    void reset();
    int fd() const { return fd_; }

private:
    bool fill(std::int64_t end);
    int fd_;
    std::string buffer_;
    bool ended_ = false;
};

/// One exchange on a new connection. The status is 0 if there was no complete response.
message exchange(
    const endpoint& to,
    const std::string& method,
    const std::string& target,
    const std::vector<std::pair<std::string, std::string>>& fields,
    const std::string& body,
    std::int64_t timeout_ms);

/// Bytes of a request.
std::string request_bytes(
    const std::string& method,
    const std::string& target,
    const std::vector<std::pair<std::string, std::string>>& fields,
    const std::string& body = "");

/// A process of the fleet.
struct process
{
    std::string name;
    std::string role; ///< entry or control
    std::string ip;
    std::string zone;
    std::string data_dir;
    std::string settings;
    pid_t pid = -1;
    int starts = 0;
};

struct fleet_options
{
    unsigned control = 3;
    unsigned entries = 2;
    unsigned zones = 1;
    std::string contracts = "base,drain,config,cost,retry,recover,health";
    int grace_s = 6;
};

/// The processes of a small deployment, with settings from the templates in deploy/. Ends
/// all of them in its destructor.
class fleet
{
public:
    explicit fleet(const fleet_options& options);
    ~fleet();

    void start(const std::string& name);
    void signal(const std::string& name, int number);
    /// Waits for the end of a process. Returns false if it still runs.
    bool wait_exit(const std::string& name, std::int64_t ms, int* status = nullptr);
    void kill(const std::string& name);
    /// Empties the data folder of a process that doesn't run.
    void wipe(const std::string& name);

    endpoint http(const std::string& name) const;
    endpoint readiness(const std::string& name) const;
    endpoint directory(const std::string& name) const;
    std::vector<std::string> control() const { return names("control"); }
    std::vector<std::string> entries() const { return names("entry"); }
    bool is_ready(const std::string& name) const;
    std::string log_of(const std::string& name) const;
    pid_t pid(const std::string& name) const { return processes_.at(name).pid; }

    /// A call to control_plane: follows a 307 twice, tries the other nodes. Returns the
    /// last response.
    message call(
        const std::string& method,
        const std::string& target,
        const std::string& body,
        std::int64_t timeout_ms = 15000) const;
    /// Sends a configuration until it is confirmed; gives up after 20 s.
    void configure(const std::string& text) const;
    /// A host address for a stand-in.
    std::string address(unsigned group, unsigned n) const;
    int port(int offset) const { return first_port_ + offset; }

private:
    std::vector<std::string> names(const std::string& role) const;
    void write_settings(process& it, bool is_first_start);

    fleet_options options_;
    std::string folder_;
    int network_ = 0;
    int first_port_ = 0;
    std::map<std::string, process> processes_;
};

/// What a backend server got.
struct arrival
{
    std::int64_t at = 0;
    std::string server;
    std::string attempt; ///< X-Attempt-Id
    std::string target;
    std::string outcome; ///< running, answered, dropped, rejected, misdirected, timeout
};

/// A backend server that follows PROTOCOL.md: checks in, works on `slots` requests at a
/// time, queues a few, drops a request when its connection closes, stops at its deadline.
class backend
{
public:
    struct options
    {
        std::string id;
        std::string service;
        std::string zone = "zone-1";
        endpoint at;
        unsigned slots = 4;
        unsigned queue = 16;
        /// Working time of a request.
        std::function<std::int64_t(const message&)> work_ms = [](const message&) {
            return 20;
        };
        bool checks_in = true;
    };

    backend(options it, const fleet& platform);
    ~backend();
    backend(const backend&) = delete;
    backend& operator=(const backend&) = delete;

    bool is_registered() const { return registered_; }
    /// Reports draining until it is confirmed; returns the time of the confirmation, or
    /// -1.
    std::int64_t drain();
    /// Checks in no more.
    void pause_beats();
    std::vector<arrival> arrivals() const;
    std::size_t running() const { return running_; }

private:
    void accept_loop();
    void serve(std::shared_ptr<connection> it);
    bool answer(connection& to, const message& in);
    void check_in_loop();
    bool check_in(const std::string& state);
    std::size_t note(const message& in, const std::string& outcome);
    void finish(std::size_t index, const std::string& outcome);

    const options options_;
    const fleet& platform_;
    const std::int64_t born_;
    int listener_ = -1;
    std::atomic<bool> stopping_{false};
    std::atomic<bool> registered_{false};
    std::atomic<std::size_t> running_{0};
    std::atomic<std::size_t> queued_{0};
    std::atomic<std::uint64_t> seq_{0};
    mutable std::mutex mutex_;
    std::vector<arrival> arrivals_;
    std::mutex beat_mutex_;
    std::string state_ = "ready";
    std::vector<std::thread> threads_;
};

/// A route of a configuration.
struct route
{
    std::string prefix;
    std::string kind;
    std::string service;
    int timeout_ms = 3000;
    int max_attempts = 2;
    int priority = 1;
};

/// Text of a configuration for the host "host.example".
std::string configuration(
    int version,
    const std::vector<route>& routes,
    const std::vector<std::string>& services);

/// A new id for a request.
std::string attempt_id();

} // namespace review
