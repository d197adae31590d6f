#include "net/frame_codec_priv.hpp"

#include "cuminpitch/net/compression.hpp"

namespace cuminpitch::net {

void put_length(std::string& to, std::size_t length)
{
    const auto n = static_cast<std::uint32_t>(length);
    for (unsigned shift = 0; shift < 32; shift += 8) {
        to.push_back(static_cast<char>((n >> shift) & 0xffU));
    }
}

std::uint32_t get_length(std::string_view from)
{
    std::uint32_t n = 0;
    for (unsigned i = 0; i < 4; ++i) {
        n |= std::uint32_t{static_cast<unsigned char>(from[i])} << (8 * i);
    }
    return n;
}

frame compress_payload(frame it)
{
    const bool is_short = it.payload.size() < min_bytes_to_compress;
    if (it.is_compressed || it.is_mostly_compressed || is_short) {
        return it;
    }
    std::string compressed = compress(it.payload);
    if (!compressed.empty() && compressed.size() < it.payload.size()) {
        it.payload = std::move(compressed);
        it.is_compressed = true;
    }
    return it;
}

std::optional<frame> decompress_payload(frame it)
{
    if (it.is_compressed) {
        auto decompressed = decompress(it.payload, max_decompressed_bytes);
        if (!decompressed) {
            return std::nullopt;
        }
        it.payload = std::move(*decompressed);
        it.is_compressed = false;
    }
    return it;
}

std::string encode_frame(frame it)
{
    it = compress_payload(std::move(it));
    const auto channel = static_cast<std::uint8_t>(it.channel);
    std::string buf;
    buf.reserve(frame_header_bytes + it.payload.size());
    put_length(buf, it.payload.size());
    buf.push_back(static_cast<char>(channel | (it.is_compressed ? compressed_flag : 0)));
    buf += it.payload;
    return buf;
}

std::string encode_frame(std::uint8_t channel, const std::string& payload)
{
    return encode_frame(frame{net::channel{channel}, payload});
}

std::string encode_hello(const peer& self)
{
    return self.id.str() + " " + self.internal.str();
}

std::optional<peer> decode_hello(const std::string& payload)
{
    const auto space = payload.find(' ');
    if (space == std::string::npos || space == 0) {
        return std::nullopt;
    }
    auto internal = core::parse_endpoint(payload.substr(space + 1));
    if (!internal) {
        return std::nullopt;
    }
    return peer{core::instance_id(payload.substr(0, space)), *std::move(internal)};
}

std::optional<frame_reader::raw_frame> frame_reader::next()
{
    if (is_malformed_) {
        return std::nullopt;
    }
    if (buf_.size() - consumed_ < frame_header_bytes) {
        discard_consumed();
        return std::nullopt;
    }
    const std::uint32_t n = get_length(std::string_view(buf_).substr(consumed_));
    if (n > max_frame_bytes_) {
        is_malformed_ = true;
        return std::nullopt;
    }
    if (buf_.size() - consumed_ < frame_header_bytes + n) {
        discard_consumed();
        return std::nullopt;
    }
    raw_frame it;
    it.channel = static_cast<std::uint8_t>(buf_[consumed_ + 4]);
    it.payload = buf_.substr(consumed_ + frame_header_bytes, n);
    consumed_ += frame_header_bytes + n;
    if ((it.channel & compressed_flag) != 0) {
        auto decompressed = decompress(it.payload, max_frame_bytes_);
        if (!decompressed) {
            is_malformed_ = true;
            return std::nullopt;
        }
        it.channel &= static_cast<std::uint8_t>(~compressed_flag);
        it.payload = std::move(*decompressed);
    }
    return it;
}

void frame_reader::discard_consumed()
{
    constexpr std::size_t kept_capacity = 16U << 10U;
    buf_.erase(0, consumed_);
    consumed_ = 0;
    if (buf_.empty() && buf_.capacity() > kept_capacity) {
        std::string().swap(buf_); // An assignment keeps the capacity.
    }
}

} // namespace cuminpitch::net
