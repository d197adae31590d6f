#include "pipelined_server_priv.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>

namespace cuminpitch::http {
namespace {

/// Returns a listening socket, or -1.
int listen_at(const core::endpoint& at)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(at.port);
    if (::inet_pton(AF_INET, at.host.c_str(), &address.sin_addr) != 1) {
        return -1;
    }
    const int it = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(it, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    // Accepted sockets inherit this. Without it, a response waits for the acknowledgement
    // of the one before it.
    ::setsockopt(it, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (::bind(it, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(it, SOMAXCONN) != 0) {
        ::close(it);
        return -1;
    }
    return it;
}

} // namespace

core::result<std::unique_ptr<server>>
pipelined_server::create(server_options options, handler it)
{
    const int listener = listen_at(options.listen);
    if (listener < 0) {
        return core::make_error_code(core::errc::address_in_use);
    }
    return std::unique_ptr<server>(
        new pipelined_server(std::move(options), std::move(it), listener));
}

pipelined_server::pipelined_server(server_options options, handler it, int listener)
    : context_{std::move(options), std::move(it)}, listener_(listener)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    const unsigned threads = std::max(1U, context_.options.threads);
    const unsigned limit = std::max(1U, context_.options.connection_limit / threads);
    for (unsigned i = 0; i < threads; ++i) {
        loops_.push_back(std::make_unique<event_loop>(context_, listener_, limit));
    }
}

pipelined_server::~pipelined_server()
{
    stop_listening();
    for (const auto& it : loops_) {
        it->stop();
    }
    loops_.clear();
    ::close(listener_);
}

core::endpoint pipelined_server::listening() const
{
    return {context_.options.listen.host, port_};
}

void pipelined_server::stop_listening()
{
    ::shutdown(listener_, SHUT_RDWR);
}

} // namespace cuminpitch::http
