#pragma once

// A small HTTP/1.1 client and message reader on blocking sockets, for the stand-ins of
// the review.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <string>
#include <strings.h>
#include <utility>
#include <vector>

namespace review {

using clock = std::chrono::steady_clock;

inline std::int64_t now_ms()
{
    static const auto begin = clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() - begin)
        .count();
}

struct address
{
    std::string ip;
    std::uint16_t port = 0;

    std::string str() const { return ip + ":" + std::to_string(port); }
};

inline address parse_address(const std::string& text)
{
    const auto colon = text.rfind(':');
    return {
        text.substr(0, colon),
        static_cast<std::uint16_t>(std::atoi(text.c_str() + colon + 1))};
}

inline sockaddr_in to_sockaddr(const address& it)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(it.port);
    inet_pton(AF_INET, it.ip.c_str(), &out.sin_addr);
    return out;
}

using header_list = std::vector<std::pair<std::string, std::string>>;

struct message
{
    std::string start_line;
    header_list headers;
    std::string body;
    int status = 0; ///< Of a response; 0 if none came in full.

    std::string get(const char* name) const
    {
        for (const auto& [key, value] : headers) {
            if (strcasecmp(key.c_str(), name) == 0) {
                return value;
            }
        }
        return {};
    }
    bool has(const char* name) const
    {
        return std::any_of(headers.begin(), headers.end(), [&](const auto& it) {
            return strcasecmp(it.first.c_str(), name) == 0;
        });
    }
};

/// A connected socket with the bytes that were read beyond the last message.
class connection
{
public:
    explicit connection(int fd = -1) : fd_(fd) {}
    connection(connection&& it) noexcept
        : fd_(std::exchange(it.fd_, -1)), rest_(std::move(it.rest_))
    {
    }
    connection& operator=(connection&& it) noexcept
    {
        std::swap(fd_, it.fd_);
        std::swap(rest_, it.rest_);
        return *this;
    }
    ~connection() { close(); }

    bool valid() const { return fd_ >= 0; }
    int fd() const { return fd_; }
    void close()
    {
        if (fd_ >= 0) {
            ::close(std::exchange(fd_, -1));
        }
    }

    bool open(const address& to, int timeout_ms, const std::string& from = {})
    {
        close();
        rest_.clear();
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        if (!from.empty()) {
            const auto own = to_sockaddr({from, 0});
            ::bind(fd_, reinterpret_cast<const sockaddr*>(&own), sizeof own);
        }
        const int one = 1;
        setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        const auto at = to_sockaddr(to);
        if (::connect(fd_, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) {
            pollfd it{fd_, POLLOUT, 0};
            int error = 0;
            socklen_t size = sizeof error;
            if (errno != EINPROGRESS || ::poll(&it, 1, timeout_ms) != 1 ||
                getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
                close();
                return false;
            }
        }
        return true;
    }

    bool send(const std::string& bytes, std::int64_t until_ms)
    {
        std::size_t at = 0;
        while (at < bytes.size()) {
            const auto n =
                ::send(fd_, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
            if (n > 0) {
                at += static_cast<std::size_t>(n);
            } else if (errno != EAGAIN || !wait(POLLOUT, until_ms)) {
                return false;
            }
        }
        return true;
    }

    /// Reads a request or a response. False if the connection or the time ends first.
    bool read(message& out, std::int64_t until_ms)
    {
        std::size_t end = 0;
        while ((end = rest_.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(until_ms)) {
                return false;
            }
        }
        const std::string head = rest_.substr(0, end + 2);
        rest_.erase(0, end + 4);
        parse_head(head, out);
        const bool is_response = out.start_line.rfind("HTTP/", 0) == 0;
        if (strcasecmp(out.get("Transfer-Encoding").c_str(), "chunked") == 0) {
            return read_chunks(out.body, until_ms);
        }
        if (out.has("Content-Length")) {
            const auto size = static_cast<std::size_t>(
                std::strtoull(out.get("Content-Length").c_str(), nullptr, 10));
            while (rest_.size() < size) {
                if (!fill(until_ms)) {
                    return false;
                }
            }
            out.body = rest_.substr(0, size);
            rest_.erase(0, size);
        } else if (is_response) {
            while (fill(until_ms)) {
            }
            out.body = std::exchange(rest_, {});
        }
        return true;
    }

private:
    bool wait(short events, std::int64_t until_ms) const
    {
        const auto left = until_ms - now_ms();
        pollfd it{fd_, events, 0};
        return left > 0 && ::poll(&it, 1, static_cast<int>(left)) == 1;
    }

    bool fill(std::int64_t until_ms)
    {
        char buf[65536];
        if (fd_ < 0 || !wait(POLLIN, until_ms)) {
            return false;
        }
        const auto n = ::recv(fd_, buf, sizeof buf, 0);
        if (n <= 0) {
            return false;
        }
        rest_.append(buf, static_cast<std::size_t>(n));
        return true;
    }

    static void parse_head(const std::string& head, message& out)
    {
        std::size_t at = head.find("\r\n");
        out.start_line = head.substr(0, at);
        out.headers.clear();
        out.body.clear();
        if (out.start_line.rfind("HTTP/", 0) == 0 && out.start_line.size() > 12) {
            out.status = std::atoi(out.start_line.c_str() + 9);
        }
        for (at += 2; at < head.size();) {
            const auto end = head.find("\r\n", at);
            const std::string line = head.substr(at, end - at);
            const auto colon = line.find(':');
            if (colon != std::string::npos) {
                auto value = line.find_first_not_of(" \t", colon + 1);
                out.headers.emplace_back(
                    line.substr(0, colon),
                    value == std::string::npos ? "" : line.substr(value));
            }
            at = end + 2;
        }
    }

    bool read_chunks(std::string& body, std::int64_t until_ms)
    {
        for (;;) {
            std::size_t end = 0;
            while ((end = rest_.find("\r\n")) == std::string::npos) {
                if (!fill(until_ms)) {
                    return false;
                }
            }
            const auto size =
                static_cast<std::size_t>(std::strtoull(rest_.c_str(), nullptr, 16));
            while (rest_.size() < end + 2 + size + 2) {
                if (!fill(until_ms)) {
                    return false;
                }
            }
            body += rest_.substr(end + 2, size);
            rest_.erase(0, end + 2 + size + 2);
            if (size == 0) {
                return true;
            }
        }
    }

    int fd_;
    std::string rest_;
};

inline std::string write_request(
    const std::string& method,
    const std::string& target,
    const header_list& headers,
    const std::string& body)
{
    std::string out = method + " " + target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : headers) {
        out += name + ": " + value + "\r\n";
    }
    if (!body.empty() || method == "POST" || method == "PUT") {
        out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return out + "\r\n" + body;
}

/// One call on a new connection. The status is 0 if no full response came in time.
inline message call(
    const address& to,
    const std::string& method,
    const std::string& target,
    header_list headers,
    const std::string& body,
    int timeout_ms)
{
    message out;
    const auto until = now_ms() + timeout_ms;
    connection it;
    headers.emplace_back("Connection", "close");
    if (!it.open(to, std::min(timeout_ms, 1000)) ||
        !it.send(write_request(method, target, headers, body), until) ||
        !it.read(out, until)) {
        out.status = 0;
    }
    return out;
}

} // namespace review
