#pragma once

#include "cuminpitch/core/endpoint.hpp"
#include "cuminpitch/core/ids.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace cuminpitch::net {

/// The family of messages that a frame belongs to.
enum class channel : std::uint8_t
{
    consensus = 1, ///< Between control instances.
    control = 2,   ///< Between entries and control instances, and state requests between
                   ///< entries.
    pool = 3,      ///< Between the assigned entries of a pool.
    group = 4,     ///< Between control instances, for all but consensus.
};

/// A message: a verified FlatBuffer of the channel's schema.
struct frame
{
    net::channel channel = net::channel::consensus;
    std::string payload;
    bool is_compressed = false; ///< The payload is already compressed.
    /// Most of the payload is compressed data, so compressing it again would not help.
    bool is_mostly_compressed = false;
};

/// Compresses the payload if that makes it shorter. Use it before sending a frame to many
/// peers, since a transport would otherwise compress the frame for each of them.
frame compress_payload(frame it);
/// Decompresses the payload if it is compressed; empty if it is malformed or too long. A
/// transport delivers frames decompressed.
std::optional<frame> decompress_payload(frame it);

/// The process at the other end of a connection, as identified by itself.
struct peer
{
    core::instance_id id;
    core::endpoint internal; ///< The address at which that process listens.
};

/// Sends frames between processes of the fleet. Each sent frame is delivered at most once
/// and may be lost or delayed. Frames to different peers are not ordered.
class transport
{
public:
    using handler = std::function<void(const peer& from, frame message)>;

    virtual ~transport() = default;

    /// Never blocks. Drops the frame if the peer is unreachable or its send queue is
    /// full.
    virtual void send(const core::endpoint& to, frame message) = 0;
};

} // namespace cuminpitch::net
