#pragma once

#include "cuminpitch/core/error.hpp"
#include "cuminpitch/net/transport.hpp"

#include <cstddef>
#include <memory>
#include <optional>

namespace cuminpitch::net {

struct tcp_transport_options
{
    peer self; ///< Sent to each peer when a connection opens.
    /// Where to listen if that isn't `self.internal`, as behind a forwarder.
    std::optional<core::endpoint> listen;
    /// A frame longer than this closes the connection that it came on.
    std::size_t max_frame_bytes = std::size_t{64} << 20U;
    /// Frames that wait for one peer; further ones are dropped. A longer frame is sent if
    /// no other waits: a snapshot of the fleet state may be that long.
    std::size_t max_queued_bytes = std::size_t{16} << 20U;
};

/// Transport over TCP, run by one thread. A connection carries frames in one direction
/// only: from the process that opened it.
///
/// A frame is a 4-byte little-endian payload length, one byte of channel, and the
/// payload. The first frame of a connection names the sender.
class tcp_transport : public transport
{
public:
    /// The handler runs on the transport's thread and must not block.
    /// Error: address_in_use.
    static core::result<std::unique_ptr<tcp_transport>>
    create(tcp_transport_options options, handler on_frame);

    ~tcp_transport() override;
    tcp_transport(const tcp_transport&) = delete;
    tcp_transport& operator=(const tcp_transport&) = delete;

    void send(const core::endpoint& to, frame message) override;

    /// Drops all frames to that peer while set. Tests use it to make one-way partitions.
    void set_blocked(const core::endpoint& to, bool blocked);

private:
    struct impl;
    explicit tcp_transport(std::unique_ptr<impl> it);
    std::unique_ptr<impl> impl_;
};

} // namespace cuminpitch::net
