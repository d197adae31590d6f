#pragma once

#include "cuminpitch/net/transport.hpp"

#include <cstddef>
#include <optional>
#include <string>

namespace cuminpitch::net {

/// Bytes before each payload: 4 of length, 1 of channel.
inline constexpr std::size_t frame_header_bytes = 5;

/// Channel value of the first frame of a connection, which names the sender.
inline constexpr std::uint8_t hello_channel = 0;

/// A length as 4 bytes, little-endian.
void put_length(std::string& to, std::size_t length);
/// `from` has at least 4 bytes.
std::uint32_t get_length(std::string_view from);

/// Set in the channel byte of a frame whose payload is from compress().
inline constexpr std::uint8_t compressed_flag = 0x80;
/// Payloads from this length on are compressed if that makes them shorter. Reports and
/// heartbeats are shorter; fleet states and declarations are longer and repeat
/// themselves.
inline constexpr std::size_t least_compressed_bytes = 1024;
/// The whole state at the target size is about 30 MB.
inline constexpr std::size_t largest_frame_bytes = std::size_t{64} << 20U;

/// Compresses the payload where that makes it shorter.
std::string encode_frame(frame it);
std::string encode_frame(std::uint8_t channel, const std::string& payload);

/// "<id> <host>:<port>".
std::string encode_hello(const peer& self);
std::optional<peer> decode_hello(const std::string& payload);

/// Splits a byte stream into frames.
class frame_reader
{
public:
    explicit frame_reader(std::size_t max_frame_bytes) : max_frame_bytes_(max_frame_bytes)
    {
    }

    struct raw_frame
    {
        std::uint8_t channel = 0;
        std::string payload;
    };

    void append(const char* data, std::size_t n) { buf_.append(data, n); }

    /// The next whole frame, or empty if more bytes are needed or the stream is bad.
    std::optional<raw_frame> next();

    /// A frame was longer than allowed. The connection must be closed.
    bool bad() const { return bad_; }

private:
    std::size_t max_frame_bytes_;
    std::string buf_;
    std::size_t start_ = 0;
    bool bad_ = false;
};

} // namespace cuminpitch::net
