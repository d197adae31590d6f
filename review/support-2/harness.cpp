#include "harness.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <stdexcept>

namespace review {
namespace {

std::mutex record_mutex;

std::string lower(std::string it)
{
    std::transform(it.begin(), it.end(), it.begin(), [](unsigned char c) {
        return std::tolower(c);
    });
    return it;
}

std::string random_hex()
{
    static std::mutex mutex;
    static std::mt19937_64 random(std::random_device{}());
    const std::lock_guard lock(mutex);
    char text[17];
    std::snprintf(
        text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
    return text;
}

sockaddr_in address_of(const endpoint& it)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(it.port));
    ::inet_pton(AF_INET, it.host.c_str(), &out.sin_addr);
    return out;
}

int listen_at(const endpoint& it)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto at = address_of(it);
    if (::bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 ||
        ::listen(fd, 512) != 0) {
        ::close(fd);
        return -1;
    }
    return fd;
}

std::string read_file(const std::string& path)
{
    std::ifstream in(path, std::ios::binary);
    std::ostringstream out;
    out << in.rdbuf();
    return out.str();
}

std::string
fill_template(std::string text, const std::map<std::string, std::string>& values)
{
    std::string out;
    for (std::size_t at = 0;;) {
        const auto begin = text.find("{{", at);
        if (begin == std::string::npos) {
            return out + text.substr(at);
        }
        const auto end = text.find("}}", begin);
        out += text.substr(at, begin - at);
        const auto found = values.find(text.substr(begin + 2, end - begin - 2));
        out += found == values.end() ? "" : found->second;
        at = end + 2;
    }
}

} // namespace

std::int64_t now_ms()
{
    static const auto begin = std::chrono::steady_clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now() - begin)
        .count();
}

void sleep_ms(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

bool has_trouble()
{
    const char* it = std::getenv("TROUBLE");
    return it == nullptr || std::string(it) != "0";
}

void record(const std::string& line)
{
    const std::lock_guard lock(record_mutex);
    static const char* path = std::getenv("RECORD");
    static std::ofstream out(path == nullptr ? "/dev/null" : path, std::ios::trunc);
    char at[24];
    std::snprintf(at, sizeof at, "%8.3f ", static_cast<double>(now_ms()) / 1000);
    out << at << line << std::endl;
}

void give_up(const std::string& why)
{
    record("could not run: " + why);
    std::cerr << why << std::endl;
    throw std::runtime_error(why);
}

bool wait_for(const std::function<bool()>& is_true, std::int64_t ms)
{
    const auto end = now_ms() + ms;
    while (!is_true()) {
        if (now_ms() >= end) {
            return false;
        }
        sleep_ms(5);
    }
    return true;
}

std::string message::get(const std::string& name) const
{
    for (const auto& [key, value] : fields) {
        if (lower(key) == lower(name)) {
            return value;
        }
    }
    return {};
}

bool message::has(const std::string& name) const
{
    return std::any_of(fields.begin(), fields.end(), [&](const auto& it) {
        return lower(it.first) == lower(name);
    });
}

int message::status() const
{
    return start.size() >= 12 && start.starts_with("HTTP/1.")
               ? std::atoi(start.c_str() + 9)
               : 0;
}

std::string message::method() const
{
    return start.substr(0, start.find(' '));
}

std::string message::target() const
{
    const auto begin = std::min(start.find(' ') + 1, start.size());
    return start.substr(begin, start.find(' ', begin) - begin);
}

std::unique_ptr<connection> connection::open(const endpoint& to, std::int64_t timeout_ms)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    auto out = std::make_unique<connection>(fd);
    const auto at = address_of(to);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 &&
        errno != EINPROGRESS) {
        return nullptr;
    }
    pollfd waiting{fd, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    if (::poll(&waiting, 1, static_cast<int>(timeout_ms)) != 1 ||
        ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
        return nullptr;
    }
    ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return out;
}

bool connection::send(const std::string& bytes)
{
    for (std::size_t sent = 0; sent < bytes.size();) {
        const auto n =
            ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

bool connection::fill(std::int64_t end)
{
    const auto left = end - now_ms();
    pollfd waiting{fd_, POLLIN, 0};
    if (ended_ || left <= 0 || ::poll(&waiting, 1, static_cast<int>(left)) != 1) {
        return false;
    }
    char buf[65536];
    const auto n = ::recv(fd_, buf, sizeof buf, 0);
    if (n <= 0) {
        ended_ = true;
        return false;
    }
    buffer_.append(buf, static_cast<std::size_t>(n));
    return true;
}

message connection::read(std::int64_t timeout_ms, bool is_request, bool is_head)
{
    const auto end = now_ms() + timeout_ms;
    message out;
    std::size_t head_end = 0;
    while ((head_end = buffer_.find("\r\n\r\n")) == std::string::npos) {
        if (!fill(end)) {
            return out;
        }
    }
    std::istringstream head(buffer_.substr(0, head_end));
    buffer_.erase(0, head_end + 4);
    std::string line;
    std::getline(head, line);
    out.start = line.substr(0, line.find('\r'));
    while (std::getline(head, line)) {
        line = line.substr(0, line.find('\r'));
        const auto colon = line.find(':');
        const auto value = line.find_first_not_of(" \t", colon + 1);
        out.fields.emplace_back(
            line.substr(0, colon), value == std::string::npos ? "" : line.substr(value));
    }
    if (is_head) {
        out.complete = true;
        return out;
    }
    if (lower(out.get("Transfer-Encoding")) == "chunked") {
        for (;;) {
            std::size_t at = 0;
            while ((at = buffer_.find("\r\n")) == std::string::npos) {
                if (!fill(end)) {
                    return out;
                }
            }
            const auto size = std::strtoull(buffer_.c_str(), nullptr, 16);
            while (buffer_.size() < at + 2 + size + 2) {
                if (!fill(end)) {
                    return out;
                }
            }
            out.body += buffer_.substr(at + 2, size);
            buffer_.erase(0, at + 2 + size + 2);
            if (size == 0) {
                out.complete = true;
                return out;
            }
        }
    }
    if (!out.has("Content-Length")) {
        out.complete = is_request || out.status() == 204 || out.status() == 304;
        if (!out.complete) { // Ends with the connection.
            while (fill(end)) {
            }
            out.body = std::move(buffer_);
            out.complete = ended_;
        }
        return out;
    }
    const auto size = std::strtoull(out.get("Content-Length").c_str(), nullptr, 10);
    while (buffer_.size() < size) {
        if (!fill(end)) {
            out.body = buffer_;
            return out;
        }
    }
    out.body = buffer_.substr(0, size);
    buffer_.erase(0, size);
    out.complete = true;
    return out;
}

bool connection::is_closed() const
{
    pollfd it{fd_, POLLRDHUP, 0};
    return ::poll(&it, 1, 0) == 1 && (it.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void connection::close()
{
    if (fd_ >= 0) {
        ::close(fd_);
        fd_ = -1;
    }
}

void connection::reset()
{
    const linger at_once{1, 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    close();
}

std::string request_bytes(
    const std::string& method,
    const std::string& target,
    const std::vector<std::pair<std::string, std::string>>& fields,
    const std::string& body)
{
    std::string out = method + " " + target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : fields) {
        out += name + ": " + value + "\r\n";
    }
    if (!body.empty() || method == "POST" || method == "PUT") {
        out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return out + "\r\n" + body;
}

message exchange(
    const endpoint& to,
    const std::string& method,
    const std::string& target,
    const std::vector<std::pair<std::string, std::string>>& fields,
    const std::string& body,
    std::int64_t timeout_ms)
{
    const auto end = now_ms() + timeout_ms;
    const auto it = connection::open(to, std::min<std::int64_t>(1000, timeout_ms));
    if (!it || !it->send(request_bytes(method, target, fields, body))) {
        return {};
    }
    auto out = it->read(end - now_ms(), false, method == "HEAD");
    if (!out.complete) {
        out.start.clear();
    }
    return out;
}

fleet::fleet(const fleet_options& options) : options_(options)
{
    char name[] = "/tmp/cuminpitch-review-XXXXXX";
    if (::mkdtemp(name) == nullptr) {
        give_up("no temporary folder");
    }
    folder_ = name;
    // Every address uses the same ports, as on the platform.
    std::mt19937 random(std::random_device{}());
    for (int tries = 0; first_port_ == 0 && tries < 200; ++tries) {
        network_ = 64 + static_cast<int>(random() % 128);
        const int port = 21000 + static_cast<int>(random() % 9000);
        bool is_free = true;
        for (int i = 0; i < 8 && is_free; ++i) {
            for (const unsigned group : {1U, 2U}) {
                const int fd = listen_at({address(group, 1), port + i});
                is_free = is_free && fd >= 0;
                if (fd >= 0) {
                    ::close(fd);
                }
            }
        }
        first_port_ = is_free ? port : 0;
    }
    if (first_port_ == 0) {
        give_up("no free ports");
    }
    const auto add = [&](const std::string& role, unsigned group, unsigned count) {
        for (unsigned n = 1; n <= count; ++n) {
            process it;
            it.name = role + "-" + std::to_string(n);
            it.role = role;
            it.ip = address(group, n);
            it.zone = "zone-" + std::to_string(1 + (n - 1) % options_.zones);
            it.settings = folder_ + "/" + it.name + ".settings";
            if (role == "control") {
                it.data_dir = folder_ + "/" + it.name;
                std::filesystem::create_directory(it.data_dir);
            }
            processes_[it.name] = it;
        }
    };
    add("control", 1, options_.control);
    add("entry", 2, options_.entries);
    for (const auto& [key, it] : processes_) {
        start(key);
    }
}

fleet::~fleet()
{
    for (auto& [name, it] : processes_) {
        if (it.pid > 0) {
            ::kill(it.pid, SIGCONT);
            ::kill(it.pid, SIGKILL);
            ::waitpid(it.pid, nullptr, 0);
        }
    }
    std::error_code ignored;
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(folder_, ignored);
    } else {
        std::cerr << "logs in " << folder_ << std::endl;
    }
}

std::string fleet::address(unsigned group, unsigned n) const
{
    return "127." + std::to_string(network_) + "." + std::to_string(group) + "." +
           std::to_string(n);
}

void fleet::write_settings(process& it, bool is_first_start)
{
    std::string seeds;
    for (unsigned n = 1; n <= std::min(options_.control, 3U); ++n) {
        seeds += (n > 1 ? "," : "") + address(1, n) + ":" + std::to_string(port(0));
    }
    const std::map<std::string, std::string> values = {
        {"node-name", it.name},
        {"ip", it.ip},
        {"zone", it.zone},
        {"data-dir", it.data_dir},
        {"bootstrap", is_first_start ? "true" : "false"},
        {"listen.admin", it.ip + ":" + std::to_string(port(0))},
        {"listen.ingress", it.ip + ":" + std::to_string(port(0))},
        {"listen.readiness", it.ip + ":" + std::to_string(port(1))},
        {"listen.directory", it.ip + ":" + std::to_string(port(2))},
        {"internal-ports.0", std::to_string(port(3))},
        {"limits.memory-mb", it.role == "control" ? "256" : "260"},
        {"seeds", seeds},
        {"bounds.grace-s", std::to_string(options_.grace_s)},
        {"bounds.retry-ratio", "0.2"},
        {"bounds.ttl_max_s", "5"},
        {"terms.contracts", options_.contracts}};
    std::ofstream(it.settings) << fill_template(
        read_file("deploy/" + it.role + ".settings"), values);
}

void fleet::start(const std::string& name)
{
    auto& it = processes_.at(name);
    write_settings(it, it.starts++ == 0);
    const std::string config = "CUMINPITCH_CONFIG=" + it.settings;
    const std::string log = log_of(name);
    const char* binary_override = std::getenv("REVIEW_PROGRAM");
    const std::string program =
        binary_override == nullptr ? "target/bin/cuminpitch-platform" : binary_override;
    if (::access(program.c_str(), X_OK) != 0) {
        give_up(program + " isn't built");
    }
    const pid_t pid = ::fork();
    if (pid == 0) {
        ::prctl(
            PR_SET_PDEATHSIG, SIGKILL); // Ends with the script, also if that is killed.
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(out, 1);
        ::dup2(out, 2);
        const char* args[] = {program.c_str(), it.role.c_str(), nullptr};
        const char* variables[] = {
            config.c_str(), "PATH=/usr/bin:/bin", "LANG=C", nullptr};
        ::execve(
            program.c_str(), const_cast<char**>(args), const_cast<char**>(variables));
        ::_exit(127);
    }
    it.pid = pid;
    record("start " + name);
}

std::string fleet::log_of(const std::string& name) const
{
    return folder_ + "/" + name + ".log";
}

void fleet::signal(const std::string& name, int number)
{
    record("signal " + std::to_string(number) + " to " + name);
    const auto& it = processes_.at(name);
    if (it.pid > 0) {
        ::kill(it.pid, number);
    }
}

bool fleet::wait_exit(const std::string& name, std::int64_t ms, int* status)
{
    auto& it = processes_.at(name);
    return wait_for(
        [&] {
            int how = 0;
            if (it.pid > 0 && ::waitpid(it.pid, &how, WNOHANG) == it.pid) {
                it.pid = -1;
                if (status != nullptr) {
                    *status = how;
                }
                record(
                    name + (WIFSIGNALED(how)
                                ? " ended by signal " + std::to_string(WTERMSIG(how))
                                : " exited with " + std::to_string(WEXITSTATUS(how))));
            }
            return it.pid <= 0;
        },
        ms);
}

void fleet::kill(const std::string& name)
{
    signal(name, SIGKILL);
    wait_exit(name, 5000);
}

void fleet::wipe(const std::string& name)
{
    const auto& it = processes_.at(name);
    std::filesystem::remove_all(it.data_dir);
    std::filesystem::create_directory(it.data_dir);
    record("data folder of " + name + " emptied");
}

endpoint fleet::http(const std::string& name) const
{
    return {processes_.at(name).ip, port(0)};
}

endpoint fleet::readiness(const std::string& name) const
{
    return {processes_.at(name).ip, port(1)};
}

endpoint fleet::directory(const std::string& name) const
{
    return {processes_.at(name).ip, port(2)};
}

std::vector<std::string> fleet::names(const std::string& role) const
{
    std::vector<std::string> out;
    for (const auto& [name, it] : processes_) {
        if (it.role == role) {
            out.push_back(name);
        }
    }
    return out;
}

bool fleet::is_ready(const std::string& name) const
{
    return exchange(readiness(name), "GET", "/-/readiness", {{"Host", "x"}}, "", 1000)
               .status() == 200;
}

message fleet::call(
    const std::string& method,
    const std::string& target,
    const std::string& body,
    std::int64_t timeout_ms) const
{
    static std::atomic<unsigned> turn{0};
    const auto nodes = control();
    const auto end = now_ms() + timeout_ms;
    message out;
    std::int64_t pause = 50;
    while (now_ms() < end) {
        endpoint to = http(nodes[turn++ % nodes.size()]);
        for (int hops = 0; hops < 3; ++hops) {
            out = exchange(
                to,
                method,
                target,
                {{"Host", to.str()}, {"Content-Type", "application/json"}},
                body,
                1000);
            if (out.status() != 307) {
                break;
            }
            const auto location = out.get("Location"); // http://host:port/path
            const auto host_end = location.find(':', 7);
            to = {
                location.substr(7, host_end - 7),
                std::atoi(location.c_str() + host_end + 1)};
        }
        const int status = out.status();
        if (status == 200 ||
            (status >= 400 && status < 500 && status != 408 && status != 429)) {
            return out;
        }
        sleep_ms(pause);
        pause = std::min<std::int64_t>(400, pause * 2);
    }
    return out;
}

void fleet::configure(const std::string& text) const
{
    record("configuration sent: " + text);
    const auto answer = call("PUT", "/-/config", text, 20000);
    if (answer.status() != 200) {
        give_up("configuration not confirmed: " + answer.start + " " + answer.body);
    }
    record("configuration confirmed");
}

backend::backend(options it, const fleet& platform)
    : options_(std::move(it)), platform_(platform),
      born_(std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count())
{
    listener_ = listen_at(options_.at);
    if (listener_ < 0) {
        give_up("no port for " + options_.id);
    }
    threads_.emplace_back([this] { accept_loop(); });
    if (options_.checks_in) {
        threads_.emplace_back([this] { check_in_loop(); });
    }
}

backend::~backend()
{
    stopping_ = true;
    ::shutdown(listener_, SHUT_RDWR);
    for (auto& it : threads_) {
        it.join();
    }
    ::close(listener_);
    wait_for([&] { return running_ == 0; }, 2000);
    sleep_ms(50);
}

void backend::accept_loop()
{
    while (!stopping_) {
        const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
            continue;
        }
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        auto it = std::make_shared<connection>(fd);
        ++running_;
        std::thread([this, it] {
            serve(it);
            --running_;
        }).detach();
    }
}

void backend::serve(std::shared_ptr<connection> it)
{
    while (!stopping_) {
        pollfd waiting{it->fd(), POLLIN, 0};
        if (::poll(&waiting, 1, 100) != 1) {
            continue;
        }
        const auto in = it->read(10000, true);
        if (!in.complete || !answer(*it, in)) {
            return;
        }
    }
}

std::size_t backend::note(const message& in, const std::string& outcome)
{
    const std::lock_guard lock(mutex_);
    arrivals_.push_back(
        {now_ms(), options_.id, in.get("X-Attempt-Id"), in.target(), outcome});
    record(
        options_.id + " got " + in.method() + " " + in.target() + " " +
        in.get("X-Attempt-Id") + " " + outcome);
    return arrivals_.size() - 1;
}

void backend::finish(std::size_t index, const std::string& outcome)
{
    const std::lock_guard lock(mutex_);
    arrivals_[index].outcome = outcome;
    record(options_.id + " " + outcome + " " + arrivals_[index].attempt);
}

std::vector<arrival> backend::arrivals() const
{
    const std::lock_guard lock(mutex_);
    return arrivals_;
}

bool backend::answer(connection& to, const message& in)
{
    const auto reply = [&](const std::string& status,
                           const std::string& fields,
                           const std::string& body) {
        return to.send(
            "HTTP/1.1 " + status + "\r\n" + fields +
            "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    };
    if (in.target() == "/health") {
        return reply("200 OK", "X-Instance-Id: " + options_.id + "\r\n", "");
    }
    const auto wanted = in.get("X-Target-Instance");
    if (!wanted.empty() && wanted != options_.id) {
        note(in, "misdirected");
        return reply(
            "421 Misdirected Request", "X-Instance-Id: " + options_.id + "\r\n", "");
    }
    const auto attempt = in.get("X-Attempt-Id");
    const std::string id_field = "X-Attempt-Id: " + attempt + "\r\n";
    static std::mutex slots_mutex;
    std::size_t place = 0;
    static std::map<const backend*, std::size_t> busy;
    {
        const std::lock_guard lock(slots_mutex);
        if (busy[this] >= options_.slots && queued_ >= options_.queue) {
            note(in, "rejected");
            return reply(
                "503 Service Unavailable", id_field + "X-Not-Executed: 1\r\n", "");
        }
        ++queued_;
    }
    const auto deadline = in.has("X-Deadline-Ms")
                              ? now_ms() + std::atoll(in.get("X-Deadline-Ms").c_str())
                              : now_ms() + 60000;
    for (;;) { // Waits for a slot.
        {
            const std::lock_guard lock(slots_mutex);
            if (busy[this] < options_.slots) {
                ++busy[this];
                --queued_;
                break;
            }
            if (now_ms() >= deadline || to.is_closed()) {
                --queued_;
                place = 1;
            }
        }
        if (place == 1) {
            note(in, "rejected");
            return reply(
                "503 Service Unavailable", id_field + "X-Not-Executed: 1\r\n", "");
        }
        sleep_ms(2);
    }
    const auto index = note(in, "running");
    const auto end = now_ms() + options_.work_ms(in);
    bool is_dropped = false;
    while (now_ms() < end && now_ms() < deadline && !is_dropped && !stopping_) {
        sleep_ms(2);
        is_dropped = to.is_closed();
    }
    {
        const std::lock_guard lock(slots_mutex);
        --busy[this];
    }
    if (is_dropped) {
        finish(index, "dropped");
        return false;
    }
    const std::string signature =
        "X-Upstream-Signature: " + options_.id + "." + attempt + "\r\n";
    if (now_ms() < end) {
        finish(index, "timeout");
        return reply("504 Gateway Timeout", id_field + signature, "late");
    }
    finish(index, "answered");
    return reply("200 OK", id_field + signature, options_.id + " ran " + attempt);
}

bool backend::check_in(const std::string& state)
{
    std::ostringstream body;
    body << R"({"service":")" << options_.service << R"(","address":")"
         << options_.at.str() << R"(","zone":")" << options_.zone
         << R"(","version":"v1","slots":)" << options_.slots << R"(,"state":")" << state
         << R"(","warmup-ms":0,"seq":)" << ++seq_ << R"(,"born":)" << born_ << "}";
    return platform_.call("PUT", "/-/upstreams/" + options_.id, body.str(), 3000)
               .status() == 200;
}

void backend::check_in_loop()
{
    while (!stopping_) {
        {
            const std::lock_guard lock(beat_mutex_);
            if (!state_.empty() && check_in(state_) && !registered_) {
                registered_ = true;
                record(options_.id + " registered");
            }
        }
        for (int i = 0; i < (registered_ ? 150 : 20) && !stopping_; ++i) {
            sleep_ms(10);
        }
    }
}

std::int64_t backend::drain()
{
    const std::lock_guard lock(beat_mutex_);
    state_ = "draining";
    record(options_.id + " reports draining");
    if (!check_in(state_)) {
        return -1;
    }
    record(options_.id + " draining confirmed");
    return now_ms();
}

void backend::pause_beats()
{
    const std::lock_guard lock(beat_mutex_);
    state_.clear();
}

std::string configuration(
    int version,
    const std::vector<route>& routes,
    const std::vector<std::string>& services)
{
    std::ostringstream out;
    out << R"({"version":"r)" << version
        << R"(","limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-ms":3000,)"
        << R"("idle-timeout-ms":15000},"listeners":[{"host":"host.example","rule-set":[)";
    for (std::size_t i = 0; i < routes.size(); ++i) {
        const auto& it = routes[i];
        out << (i > 0 ? "," : "") << R"({"name":"route-)" << i << R"(","kind":")"
            << it.kind << R"(","target-latency-ms":1200,"priority":)" << it.priority
            << R"(,"match":{"path-prefix":")" << it.prefix
            << R"("},"action":{"service":")" << it.service << R"(","timeout-ms":)"
            << it.timeout_ms << R"(,"max-attempts":)" << it.max_attempts << "}}";
    }
    out << R"(]}],"clusters":[)";
    for (std::size_t i = 0; i < services.size(); ++i) {
        out << (i > 0 ? "," : "") << R"({"name":")" << services[i]
            << R"(","health-path":"/health","max-connections":390,"protocol":"h1","tls":false})";
    }
    out << "]}";
    return out.str();
}

std::string attempt_id()
{
    return random_hex();
}

} // namespace review
