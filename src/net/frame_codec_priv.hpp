#pragma once

#include "cuminpitch/net/transport.hpp"

#include <cstddef>
#include <optional>
#include <string>

namespace cuminpitch::net {

/// Size of a frame header: 4 bytes of payload length and 1 channel byte.
inline constexpr std::size_t frame_header_bytes = 5;

/// Channel byte of the first frame of a connection, which identifies the sender.
inline constexpr std::uint8_t hello_channel = 0;

/// Appends the length as 4 little-endian bytes.
void put_length(std::string& to, std::size_t length);
/// Decodes the first 4 bytes of `from`, which must have at least as many.
std::uint32_t get_length(std::string_view from);

/// Flag in the channel byte of a frame whose payload was returned by compress().
inline constexpr std::uint8_t compressed_flag = 0x80;
/// Payloads of at least this length are compressed if that makes them shorter. Reports
/// and heartbeats are below it; fleet states and declarations are above it and compress
/// well.
inline constexpr std::size_t min_bytes_to_compress = 1024;
/// Limit of a decompressed payload. The whole fleet state at the target size is about
/// 30 MB.
inline constexpr std::size_t max_decompressed_bytes = std::size_t{64} << 20U;

/// Encodes a frame, with its payload compressed if that makes it shorter.
std::string encode_frame(frame it);
std::string encode_frame(std::uint8_t channel, const std::string& payload);

/// Returns "<id> <host>:<port>", the payload of the first frame of a connection.
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

    /// Returns the next complete frame; empty if more bytes are needed or the stream is
    /// malformed.
    std::optional<raw_frame> next();

    /// Whether a frame was too long or could not be decompressed, after which the
    /// connection must be closed.
    bool is_malformed() const { return is_malformed_; }

    /// Size of the buffer, used or not.
    std::size_t held_bytes() const { return buf_.capacity(); }

private:
    /// Gives back the memory of the frames that were returned.
    void discard_consumed();

    std::size_t max_frame_bytes_;
    std::string buf_;
    std::size_t consumed_ = 0;
    bool is_malformed_ = false;
};

} // namespace cuminpitch::net
