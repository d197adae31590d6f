#include "support/open_sockets.hpp"

#include <netinet/in.h>
#include <sys/socket.h>

namespace cuminpitch::testing {
namespace {

constexpr int max_descriptor = 1024;

using address_function = int (*)(int, sockaddr*, socklen_t*);

std::uint16_t port_of(int fd, address_function read)
{
    sockaddr_in it{};
    socklen_t n = sizeof it;
    const bool is_read = read(fd, reinterpret_cast<sockaddr*>(&it), &n) == 0;
    return is_read && it.sin_family == AF_INET ? ntohs(it.sin_port) : 0;
}

} // namespace

std::vector<int> connected_to(std::uint16_t peer_port)
{
    std::vector<int> out;
    for (int fd = 0; fd < max_descriptor; ++fd) {
        if (port_of(fd, &::getpeername) == peer_port) {
            out.push_back(fd);
        }
    }
    return out;
}

std::vector<int> accepted_at(std::uint16_t own_port)
{
    std::vector<int> out;
    for (int fd = 0; fd < max_descriptor; ++fd) {
        if (port_of(fd, &::getsockname) == own_port && port_of(fd, &::getpeername) != 0) {
            out.push_back(fd);
        }
    }
    return out;
}

int socket_option(int fd, int level, int name)
{
    int out = 0;
    socklen_t n = sizeof out;
    return ::getsockopt(fd, level, name, &out, &n) == 0 ? out : -1;
}

} // namespace cuminpitch::testing
