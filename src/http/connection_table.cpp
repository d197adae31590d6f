#include "connection_table_priv.hpp"

namespace cuminpitch::http {

connection_table::connection&
connection_table::add(const core::endpoint& remote, int local_port, int socket)
{
    const key at(remote, local_port);
    keys_[socket] = at;
    return connections_[at] = {socket, 0, absl::InfinitePast()};
}

connection_table::connection*
connection_table::find(const core::endpoint& remote, int local_port)
{
    const auto it = connections_.find(key(remote, local_port));
    return it == connections_.end() ? nullptr : &it->second;
}

void connection_table::remove(int socket)
{
    if (const auto it = keys_.find(socket); it != keys_.end()) {
        connections_.erase(it->second);
        keys_.erase(it);
    }
}

} // namespace cuminpitch::http
