#pragma once

// Starts the programs of the project as the platform does, on loopback addresses.

#include "http.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include <atomic>
#include <cstdarg>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <sstream>
#include <thread>

namespace review {

/// Writes record.txt: one line for each thing that was sent, answered, run or done.
class record
{
public:
    explicit record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {}
    ~record() { std::fclose(file_); }

    __attribute__((format(printf, 2, 3))) void line(const char* format, ...)
    {
        const std::lock_guard lock(mutex_);
        std::fprintf(file_, "%7.3f ", static_cast<double>(now_ms()) / 1000);
        va_list args;
        va_start(args, format);
        std::vfprintf(file_, format, args);
        va_end(args);
        std::fputc('\n', file_);
        std::fflush(file_);
    }

private:
    std::FILE* file_;
    std::mutex mutex_;
};

inline void sleep_ms(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/// Loopback network of this process, "127.N.", so that several tests can run at a time.
inline std::string network()
{
    return "127." + std::to_string(80 + ::getpid() % 170) + ".";
}

/// The fleet: control instances at network()1.N, entries at network()2.N, three zones.
class fleet
{
public:
    struct node
    {
        std::string name;
        std::string role;
        std::string ip;
        std::string zone;
        std::string data;
        pid_t pid = -1;
        address ingress, readiness, admin, directory;
    };

    fleet(record& log, unsigned control, unsigned entries) : log_(log)
    {
        char text[] = "/tmp/cuminpitch-review-XXXXXX";
        folder_ = ::mkdtemp(text);
        first_port_ = free_ports(6, control, entries);
        for (unsigned n = 1; n <= control; ++n) {
            add("control", network() + "1.", n);
        }
        for (unsigned n = 1; n <= entries; ++n) {
            add("entry", network() + "2.", n);
        }
        for (auto& it : nodes) {
            start(it, true);
        }
    }

    ~fleet()
    {
        for (auto& it : nodes) {
            end(it);
        }
        std::error_code ec;
        std::filesystem::remove_all(folder_, ec);
    }

    std::vector<node> nodes;

    node& at(const std::string& name)
    {
        for (auto& it : nodes) {
            if (it.name == name) {
                return it;
            }
        }
        std::abort();
    }

    std::vector<node*> all(const std::string& role)
    {
        std::vector<node*> out;
        for (auto& it : nodes) {
            if (it.role == role) {
                out.push_back(&it);
            }
        }
        return out;
    }

    /// Starts the process with the command of the deploy file.
    void start(node& it, bool is_first)
    {
        const std::string settings = write_settings(it, is_first);
        const std::string out = folder_ + "/" + it.name + ".log";
        const std::string command = read_run_command(it.role);
        it.pid = ::fork();
        if (it.pid == 0) {
            const int fd =
                ::open(out.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
            ::dup2(fd, 1);
            ::dup2(fd, 2);
            ::setenv("CUMINPITCH_CONFIG", settings.c_str(), 1);
            std::istringstream words(command);
            std::vector<std::string> parts;
            for (std::string word; words >> word;) {
                parts.push_back(word);
            }
            std::vector<char*> argv;
            for (auto& part : parts) {
                argv.push_back(part.data());
            }
            argv.push_back(nullptr);
            ::execv(argv[0], argv.data());
            ::_exit(127);
        }
        log_.line("started %s pid=%d at %s", it.name.c_str(), int(it.pid), it.ip.c_str());
    }

    /// Sends a signal to a process that this fleet started.
    void signal(node& it, int number)
    {
        log_.line("signal %d to %s", number, it.name.c_str());
        ::kill(it.pid, number);
    }

    void end(node& it)
    {
        if (it.pid > 0) {
            ::kill(it.pid, SIGCONT);
            ::kill(it.pid, SIGKILL);
            ::waitpid(it.pid, nullptr, 0);
            it.pid = -1;
        }
    }

    /// True if the process has ended by itself.
    bool has_ended(node& it, int& status)
    {
        if (it.pid > 0 && ::waitpid(it.pid, &status, WNOHANG) == it.pid) {
            it.pid = -1;
            return true;
        }
        return false;
    }

    const std::string& folder() const { return folder_; }
    std::uint16_t port(unsigned n) const
    {
        return static_cast<std::uint16_t>(first_port_ + n);
    }

    /// Calls control as its callers do: tries the instances in turn, follows a redirect
    /// twice, moves on after a failure or a second without a response.
    message call_control(
        const std::string& method,
        const std::string& target,
        const std::string& body,
        std::size_t first = 0)
    {
        const auto control = all("control");
        message out;
        for (std::size_t i = 0; i < control.size(); ++i) {
            address to = control[(first + i) % control.size()]->admin;
            for (int hop = 0; hop < 3; ++hop) {
                out = call(to, method, target, json_headers(to, body), body, 1000);
                if (out.status != 307) {
                    break;
                }
                const std::string url = out.get("Location").substr(7);
                to = parse_address(url.substr(0, url.find('/')));
            }
            if (out.status != 0 && out.status < 500 && out.status != 307) {
                return out;
            }
        }
        return out;
    }

    /// Sends a configuration until it is confirmed or refused. Returns the status.
    int configure(const std::string& body, int tries = 40)
    {
        int status = 0;
        for (int i = 0; i < tries; ++i) {
            status = call_control("PUT", "/-/config", body, std::size_t(i)).status;
            if (status == 200 || (status >= 400 && status < 500)) {
                break;
            }
            sleep_ms(250);
        }
        log_.line("operator sent %s, answered %d", body.substr(0, 18).c_str(), status);
        return status;
    }

    /// Waits until each entry answers its readiness check with 200.
    bool wait_ready(int timeout_ms)
    {
        const auto until = now_ms() + timeout_ms;
        for (auto* it : all("entry")) {
            while (call(it->readiness, "GET", "/-/readiness", {{"Host", "x"}}, "", 500)
                       .status != 200) {
                if (now_ms() > until) {
                    return false;
                }
                sleep_ms(50);
            }
        }
        return true;
    }

private:
    static header_list json_headers(const address& to, const std::string& body)
    {
        header_list out = {{"Host", to.str()}};
        if (!body.empty()) {
            out.emplace_back("Content-Type", "application/json");
        }
        return out;
    }

    void add(const std::string& role, const std::string& network, unsigned n)
    {
        node it;
        it.name = role + "-" + std::to_string(n);
        it.role = role;
        it.ip = network + std::to_string(n);
        it.zone = "zone-" + std::to_string((n - 1) % 3 + 1);
        it.ingress = {it.ip, port(0)};
        it.readiness = {it.ip, port(1)};
        it.admin = {it.ip, port(2)};
        it.directory = {it.ip, port(3)};
        it.data = folder_ + "/" + it.name + ".data";
        nodes.push_back(it);
    }

    static std::uint16_t
    free_ports(std::uint16_t count, unsigned control, unsigned entries)
    {
        std::vector<std::string> ips;
        for (unsigned n = 1; n <= control; ++n) {
            ips.push_back(network() + "1." + std::to_string(n));
        }
        for (unsigned n = 1; n <= entries; ++n) {
            ips.push_back(network() + "2." + std::to_string(n));
        }
        for (int first = 20000 + ::getpid() % 10000;; first += count) {
            bool is_free = true;
            for (const auto& ip : ips) {
                for (int p = first; p < first + count && is_free; ++p) {
                    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
                    const auto at = to_sockaddr({ip, static_cast<std::uint16_t>(p)});
                    is_free =
                        ::bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) ==
                        0;
                    ::close(fd);
                }
            }
            if (is_free) {
                return static_cast<std::uint16_t>(first);
            }
        }
    }

    static std::string read_file(const std::string& path)
    {
        std::ifstream in(path);
        std::ostringstream out;
        out << in.rdbuf();
        return out.str();
    }

    static std::string read_run_command(const std::string& role)
    {
        const std::string text = read_file("deploy/system.toml");
        const auto table = text.find("[roles." + role + "]");
        const auto begin = text.find('"', text.find("run = ", table)) + 1;
        return text.substr(begin, text.find('"', begin) - begin);
    }

    /// Fills the template of the role as the platform does.
    std::string write_settings(const node& it, bool is_first)
    {
        const std::string path = folder_ + "/" + it.name + ".settings";
        std::filesystem::create_directories(it.data);
        std::string seeds;
        unsigned n = 0;
        for (auto* each : all("control")) {
            if (n++ < 3) {
                seeds += (seeds.empty() ? "" : ",") + each->admin.str();
            }
        }
        const std::map<std::string, std::string> values = {
            {"node-name", it.name},
            {"ip", it.ip},
            {"zone", it.zone},
            {"data-dir", it.data},
            {"bootstrap", is_first ? "true" : "false"},
            {"seeds", seeds},
            {"listen.ingress", it.ingress.str()},
            {"listen.readiness", it.readiness.str()},
            {"listen.admin", it.admin.str()},
            {"listen.directory", it.directory.str()},
            {"internal-ports.0", std::to_string(port(4))},
            {"limits.memory-mb", it.role == "entry" ? "260" : "256"},
            {"bounds.retry-ratio", "0.2"},
            {"bounds.ttl_max_s", "5"},
            {"bounds.grace-s", "6"}};
        std::string text = read_file("deploy/" + it.role + ".settings");
        for (std::size_t at = 0; (at = text.find("{{", at)) != std::string::npos;) {
            const auto end = text.find("}}", at);
            const auto value = values.find(text.substr(at + 2, end - at - 2));
            text.replace(at, end + 2 - at, value == values.end() ? "" : value->second);
        }
        std::ofstream(path) << text;
        return path;
    }

    record& log_;
    std::string folder_;
    std::uint16_t first_port_ = 0;
};

/// A backend server as the platform's pages describe it. Thread for each connection.
class upstream
{
public:
    struct options
    {
        std::string id;
        std::string service;
        std::string ip;
        std::string zone = "zone-1";
        int slots = 4;
        int queue = 4;
        int work_ms = 50;
    };

    upstream(record& log, fleet& fleet, options it)
        : log_(log), fleet_(fleet), options_(std::move(it)), born_(unix_ms())
    {
        listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto at = to_sockaddr({options_.ip, 0});
        ::bind(listener_, reinterpret_cast<const sockaddr*>(&at), sizeof at);
        ::listen(listener_, 256);
        socklen_t size = sizeof at;
        ::getsockname(listener_, reinterpret_cast<sockaddr*>(&at), &size);
        address_ = {options_.ip, ntohs(at.sin_port)};
        threads_.emplace_back([this] { accept_all(); });
        threads_.emplace_back([this] { announce(); });
    }

    ~upstream() { stop(); }

    void stop()
    {
        if (stopping_.exchange(true)) {
            return;
        }
        ::shutdown(listener_, SHUT_RDWR);
        for (auto& it : threads_) {
            it.join();
        }
        ::close(listener_);
        while (open_ > 0) {
            sleep_ms(5);
        }
    }

    static std::int64_t unix_ms()
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
    }

    const address& at() const { return address_; }
    const options& description() const { return options_; }
    int runs() const { return runs_; }
    int acknowledged() const { return acknowledged_; }
    std::int64_t last_run_ms() const { return last_run_ms_; }

    /// Called for each request that the server runs, with its head and body.
    std::function<void(const message&)> on_run;
    /// May change an answer to a request that was run. Closes the connection after it if
    /// the result is false.
    std::function<bool(const message&, std::string&)> alter;

    std::string check_in(const std::string& state)
    {
        return "{\"service\":\"" + options_.service + "\",\"address\":\"" +
               address_.str() + "\",\"zone\":\"" + options_.zone +
               "\",\"version\":\"v1\",\"slots\":" + std::to_string(options_.slots) +
               ",\"state\":\"" + state +
               "\",\"warmup-ms\":0,\"born\":" + std::to_string(born_) +
               ",\"seq\":" + std::to_string(++sequence_) + "}";
    }

private:
    void announce()
    {
        for (std::size_t n = 0; !stopping_; ++n) {
            const auto status =
                fleet_
                    .call_control(
                        "PUT", "/-/upstreams/" + options_.id, check_in("ready"), n)
                    .status;
            acknowledged_ += status == 200 ? 1 : 0;
            for (int i = 0; i < 30 && !stopping_; ++i) {
                sleep_ms(status == 200 ? 50 : 10);
            }
        }
    }

    void accept_all()
    {
        while (!stopping_) {
            const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd >= 0) {
                ++open_;
                std::thread([this, fd] {
                    serve(connection(fd));
                    --open_;
                }).detach();
            }
        }
    }

    void serve(connection it)
    {
        message request;
        while (!stopping_) {
            if (!it.read(request, now_ms() + 200)) {
                char c = 0;
                const auto n = ::recv(it.fd(), &c, 1, MSG_PEEK | MSG_DONTWAIT);
                if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
                    continue;
                }
                return;
            }
            bool keeps = true;
            const std::string text = answer(request, keeps);
            if (!it.send(text, now_ms() + 5000) || !keeps) {
                return;
            }
        }
    }

    std::string answer(const message& it, bool& keeps)
    {
        const std::string id = it.get("X-Attempt-Id");
        const auto path = it.start_line.substr(it.start_line.find(' ') + 1);
        if (path.rfind("/health ", 0) == 0) {
            return "HTTP/1.1 200 OK\r\nX-Instance-Id: " + options_.id +
                   "\r\nContent-Length: 0\r\n\r\n";
        }
        if (it.has("X-Target-Instance") && it.get("X-Target-Instance") != options_.id) {
            return "HTTP/1.1 421 Misdirected\r\nX-Attempt-Id: " + id +
                   "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        }
        if (id.empty() || ++waiting_ > options_.slots + options_.queue) {
            if (!id.empty()) {
                --waiting_;
            }
            return std::string("HTTP/1.1 ") + (id.empty() ? "400" : "503") +
                   " Refused\r\nX-Attempt-Id: " + id +
                   "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        }
        while (busy_.fetch_add(1) >= options_.slots) {
            --busy_;
            sleep_ms(2);
        }
        ++runs_;
        last_run_ms_ = now_ms();
        if (on_run) {
            on_run(it);
        }
        sleep_ms(options_.work_ms);
        --busy_;
        --waiting_;
        const std::string body = "run by " + options_.id + " for " + id + "\n";
        std::string out = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id +
                          "\r\nX-Upstream-Signature: " + options_.id + "." + id +
                          "\r\nContent-Length: " + std::to_string(body.size()) +
                          "\r\n\r\n" + body;
        keeps = !alter || alter(it, out);
        return out;
    }

    record& log_;
    fleet& fleet_;
    const options options_;
    const std::int64_t born_;
    int listener_ = -1;
    address address_;
    std::atomic<bool> stopping_{false};
    std::atomic<int> open_{0}, waiting_{0}, busy_{0}, runs_{0}, acknowledged_{0};
    std::atomic<std::int64_t> last_run_ms_{-1};
    std::atomic<std::uint64_t> sequence_{0};
    std::vector<std::thread> threads_;
};

struct rule
{
    std::string name;
    std::string prefix;
    std::string service;
    std::string kind = "safe";
    int timeout_ms = 2000;
    int target_ms = 1000;
    int priority = 1;
    int weight_of_second = -1; ///< If set, `second` gets this share in 100.
    std::string second = {};
};

struct listener
{
    std::string host;
    std::vector<rule> rules;
};

/// A complete configuration, as the operator sends it.
inline std::string configuration(
    int version,
    const std::vector<listener>& listeners,
    const std::vector<std::string>& services)
{
    std::ostringstream out;
    out << "{\"version\":\"r" << version
        << "\",\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":67108864,"
           "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},\"listeners\":[";
    const char* comma = "";
    for (const auto& it : listeners) {
        out << comma << "{\"host\":\"" << it.host << "\",\"rule-set\":[";
        comma = "";
        for (const auto& r : it.rules) {
            out << comma << "{\"name\":\"" << r.name << "\",\"kind\":\"" << r.kind
                << "\",\"target-latency-ms\":" << r.target_ms
                << ",\"priority\":" << r.priority << ",\"match\":{\"path-prefix\":\""
                << r.prefix << "\"},\"action\":{";
            if (r.weight_of_second < 0) {
                out << "\"service\":\"" << r.service << "\"";
            } else {
                out << "\"traffic-split\":[{\"service\":\"" << r.service
                    << "\",\"weight\":" << 100 - r.weight_of_second << "},{\"service\":\""
                    << r.second << "\",\"weight\":" << r.weight_of_second << "}]";
            }
            out << ",\"timeout-ms\":" << r.timeout_ms << ",\"max-attempts\":2}}";
            comma = ",";
        }
        out << "]}";
        comma = ",";
    }
    out << "],\"clusters\":[";
    comma = "";
    for (const auto& it : services) {
        out << comma << "{\"name\":\"" << it
            << "\",\"health-path\":\"/health\",\"max-connections\":330,"
               "\"protocol\":\"h1\",\"tls\":false}";
        comma = ",";
    }
    out << "]}";
    return out.str();
}

inline bool has_trouble()
{
    const char* text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

enum exit_status
{
    held = 0,
    broken = 1,
    cannot_run = 2,
};

} // namespace review
