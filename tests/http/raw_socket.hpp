#pragma once

#include "cuminpitch/core/endpoint.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace cuminpitch::http {

inline sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in it{};
    it.sin_family = AF_INET;
    it.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    it.sin_port = htons(port);
    return it;
}

inline void send_all(int socket, const std::string& bytes)
{
    ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
}

/// Reads until `enough` returns true, the peer closes, or the socket's receive timeout
/// expires (3 s for raw_caller).
inline std::string
read_until(int socket, const std::function<bool(const std::string&)>& enough)
{
    std::string out;
    char buf[65536];
    while (!enough(out)) {
        const auto n = ::recv(socket, buf, sizeof buf, 0);
        if (n <= 0) {
            break;
        }
        out.append(buf, static_cast<std::size_t>(n));
    }
    return out;
}

/// A connection to 127.0.0.1 that the destructor closes.
class raw_caller
{
public:
    explicit raw_caller(std::uint16_t port) : socket_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        const timeval limit{3, 0};
        ::setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
        const auto address = loopback(port);
        // If the connection fails, the test reads an empty response.
        static_cast<void>(::connect(
            socket_, reinterpret_cast<const sockaddr*>(&address), sizeof address));
    }
    ~raw_caller() { close(); }
    raw_caller(const raw_caller&) = delete;

    void send(const std::string& bytes) const { send_all(socket_, bytes); }
    /// Reads until the server closes the connection.
    std::string read_all() const
    {
        return read_until(socket_, [](const auto&) { return false; });
    }
    /// Returns false if the server has reset the connection.
    bool can_send(const std::string& bytes) const
    {
        return ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL) >= 0;
    }
    std::string read_to(const std::string& end) const
    {
        return read_until(
            socket_, [&](const auto& it) { return it.find(end) != std::string::npos; });
    }
    void close()
    {
        if (socket_ >= 0) {
            ::close(socket_);
            socket_ = -1;
        }
    }

private:
    int socket_;
};

/// A server that counts the requests that it has read and sends the raw bytes that the
/// test returns for each: script(n, request) for the n-th request, counted from 1.
class raw_server
{
public:
    struct reply
    {
        std::string bytes;
        bool close_after = false;
        bool reset = false;
        /// Sent repeatedly after `bytes` until the peer closes.
        std::string without_end;
        /// Sent `pause` after `bytes`, in a segment of its own.
        std::string after_pause;
        std::chrono::milliseconds pause{1};
    };
    using script = std::function<reply(unsigned n, const std::string& request)>;

    explicit raw_server(script it)
        : script_(std::move(it)), listener_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        auto address = loopback(0);
        socklen_t size = sizeof address;
        static_cast<void>(::bind(
            listener_, reinterpret_cast<const sockaddr*>(&address), sizeof address));
        ::listen(listener_, 64);
        ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
        port_ = ntohs(address.sin_port);
        acceptor_ = std::thread([this] { accept(); });
    }
    ~raw_server()
    {
        stopping_ = true;
        acceptor_.join();
        for (auto& it : workers_) {
            it.join();
        }
        ::close(listener_);
    }
    raw_server(const raw_server&) = delete;

    core::endpoint at() const { return {"127.0.0.1", port_}; }
    /// Answers requests of which so many bytes have arrived, without reading the rest.
    void answer_after(std::size_t bytes) { early_bytes_ = bytes; }
    unsigned executions() const { return executions_; }
    unsigned connections() const { return connections_; }
    /// Bytes of endless responses that were sent.
    std::size_t endless_bytes() const { return endless_bytes_; }
    /// Endless responses that are still being sent.
    unsigned endless_answers() const { return endless_answers_; }

private:
    /// Sends `bytes` repeatedly until the peer closes.
    void send_without_end(int socket, const std::string& bytes)
    {
        constexpr int step_ms = 10;
        ++endless_answers_;
        for (std::size_t at = 0; !stopping_; at %= bytes.size()) {
            pollfd it{socket, POLLOUT, 0};
            if (::poll(&it, 1, step_ms) == 0) {
                continue;
            }
            const auto n = ::send(
                socket,
                bytes.data() + at,
                bytes.size() - at,
                MSG_NOSIGNAL | MSG_DONTWAIT);
            if (n < 0) {
                break;
            }
            at += static_cast<std::size_t>(n);
            endless_bytes_ += static_cast<std::size_t>(n);
        }
        --endless_answers_;
    }
    bool wait(int socket) const
    {
        constexpr int step_ms = 10;
        pollfd it{socket, POLLIN, 0};
        while (!stopping_) {
            if (::poll(&it, 1, step_ms) > 0) {
                return true;
            }
        }
        return false;
    }
    void accept()
    {
        while (wait(listener_)) {
            const int socket = ::accept(listener_, nullptr, nullptr);
            const int on = 1;
            ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            ++connections_;
            workers_.emplace_back([this, socket] { serve(socket); });
        }
    }
    static bool is_whole(const std::string& text)
    {
        const auto head = text.find("\r\n\r\n");
        if (head == std::string::npos) {
            return false;
        }
        const auto length = text.find("Content-Length: ");
        const auto body = length < head ? std::stoul(text.substr(length + 16)) : 0;
        return text.size() >= head + 4 + body;
    }
    void serve(int socket)
    {
        std::string request;
        char buf[65536];
        while (wait(socket)) {
            const auto n = ::recv(socket, buf, sizeof buf, 0);
            if (n <= 0) {
                break;
            }
            request.append(buf, static_cast<std::size_t>(n));
            if (!is_whole(request) && request.size() < early_bytes_) {
                continue;
            }
            const reply out = script_(++executions_, request);
            request.clear();
            send_all(socket, out.bytes);
            if (!out.after_pause.empty()) {
                std::this_thread::sleep_for(out.pause);
                send_all(socket, out.after_pause);
            }
            if (!out.without_end.empty()) {
                send_without_end(socket, out.without_end);
                break;
            }
            if (out.reset) {
                const linger now{1, 0};
                ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &now, sizeof now);
            }
            if (out.close_after || out.reset) {
                break;
            }
        }
        ::close(socket);
    }

    const script script_;
    const int listener_;
    std::uint16_t port_ = 0;
    std::atomic<bool> stopping_{false};
    std::atomic<std::size_t> early_bytes_{std::string::npos};
    std::atomic<unsigned> executions_{0};
    std::atomic<unsigned> connections_{0};
    std::atomic<std::size_t> endless_bytes_{0};
    std::atomic<unsigned> endless_answers_{0};
    std::thread acceptor_;
    std::vector<std::thread> workers_;
};

} // namespace cuminpitch::http
