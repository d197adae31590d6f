#pragma once

#include "cuminpitch/core/endpoint.hpp"
#include "cuminpitch/core/ids.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace cuminpitch::net {

/// Which family of messages a frame carries.
enum class channel : std::uint8_t
{
    consensus = 1, ///< Between control instances.
    control = 2,   ///< Between entries and control, and state requests between entries.
    pool = 3,      ///< Between the assigned entries of a pool.
    group = 4,     ///< Between control instances, besides consensus.
};

/// One message: a verified FlatBuffer of the channel's schema.
struct frame
{
    net::channel channel = net::channel::consensus;
    std::string payload;
    bool is_packed = false; ///< The payload is compressed already.
    /// Most of the payload is compressed data, so that compressing takes time in vain.
    bool is_dense = false;
};

/// The frame with its payload compressed, if that makes it shorter. For a frame that goes
/// to many: a transport would compress it for each of them.
frame packed(frame it);
/// The frame with its payload as it was; empty if that can't be restored. A transport
/// delivers frames unpacked.
std::optional<frame> unpacked(frame it);

/// The process at the other end, as it named itself.
struct peer
{
    core::instance_id id;
    core::endpoint internal; ///< Where that process listens.
};

/// Sends frames between processes of the fleet. A frame arrives at most once per send,
/// may be lost or late, and frames to different peers are not ordered.
class transport
{
public:
    using handler = std::function<void(const peer& from, frame message)>;

    virtual ~transport() = default;

    /// Never blocks. Drops the frame if the peer can't be reached or its send queue is
    /// full.
    virtual void send(const core::endpoint& to, frame message) = 0;
};

} // namespace cuminpitch::net
