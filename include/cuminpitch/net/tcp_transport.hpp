#pragma once

#include "cuminpitch/core/error.hpp"
#include "cuminpitch/net/transport.hpp"

#include <cstddef>
#include <memory>
#include <optional>

namespace cuminpitch::net {

struct tcp_transport_options
{
    peer self; ///< Sent as the first frame of each outbound connection.
    /// Listening address if it differs from `self.internal`, for example behind a port
    /// forwarder.
    std::optional<core::endpoint> listen;
    /// A connection that delivers a longer frame is closed.
    std::size_t max_frame_bytes = std::size_t{64} << 20U;
    /// Limit of the frames queued for one peer; frames beyond it are dropped. A longer
    /// frame is accepted if the queue is empty, since a snapshot of the fleet state may
    /// exceed the limit.
    std::size_t max_queued_bytes = std::size_t{16} << 20U;
    /// Limit of the frames queued for all peers together; frames beyond it are dropped
    /// unless they are shorter than `min_limited_bytes`, as heartbeats are.
    std::size_t max_total_queued_bytes = std::size_t{64} << 20U;
    std::size_t min_limited_bytes = std::size_t{4} << 10U;
};

/// Sends and receives frames over TCP on a thread of its own. A connection carries frames
/// in one direction only: from the process that opened it.
///
/// A frame consists of a 4-byte little-endian payload length, one channel byte and the
/// payload. The first frame of a connection identifies the sender.
class tcp_transport : public transport
{
public:
    /// Starts to listen. `on_frame` runs on the transport's thread and must not block.
    /// Fails with address_in_use.
    static core::result<std::unique_ptr<tcp_transport>>
    create(tcp_transport_options options, handler on_frame);

    ~tcp_transport() override;
    tcp_transport(const tcp_transport&) = delete;
    tcp_transport& operator=(const tcp_transport&) = delete;

    void send(const core::endpoint& to, frame message) override;

    /// Drops all frames to that peer while `blocked` is set. Tests simulate one-way
    /// network partitions with it.
    void set_blocked(const core::endpoint& to, bool blocked);

private:
    struct impl;
    explicit tcp_transport(std::unique_ptr<impl> it);
    std::unique_ptr<impl> impl_;
};

} // namespace cuminpitch::net
