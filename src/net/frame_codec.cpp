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

frame packed(frame it)
{
    const bool is_short = it.payload.size() < least_compressed_bytes;
    if (it.is_packed || it.is_dense || is_short) {
        return it;
    }
    std::string shorter = compress(it.payload);
    if (!shorter.empty() && shorter.size() < it.payload.size()) {
        it.payload = std::move(shorter);
        it.is_packed = true;
    }
    return it;
}

std::optional<frame> unpacked(frame it)
{
    if (it.is_packed) {
        auto whole = expand(it.payload, largest_frame_bytes);
        if (!whole) {
            return std::nullopt;
        }
        it.payload = std::move(*whole);
        it.is_packed = false;
    }
    return it;
}

std::string encode_frame(frame it)
{
    it = packed(std::move(it));
    const auto channel = static_cast<std::uint8_t>(it.channel);
    std::string buf;
    buf.reserve(frame_header_bytes + it.payload.size());
    put_length(buf, it.payload.size());
    buf.push_back(static_cast<char>(channel | (it.is_packed ? compressed_flag : 0)));
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
    if (bad_ || buf_.size() - start_ < frame_header_bytes) {
        return std::nullopt;
    }
    const std::uint32_t n = get_length(std::string_view(buf_).substr(start_));
    if (n > max_frame_bytes_) {
        bad_ = true;
        return std::nullopt;
    }
    if (buf_.size() - start_ < frame_header_bytes + n) {
        buf_.erase(0, start_);
        start_ = 0;
        return std::nullopt;
    }
    raw_frame it;
    it.channel = static_cast<std::uint8_t>(buf_[start_ + 4]);
    it.payload = buf_.substr(start_ + frame_header_bytes, n);
    start_ += frame_header_bytes + n;
    if ((it.channel & compressed_flag) != 0) {
        auto whole = expand(it.payload, max_frame_bytes_);
        if (!whole) {
            bad_ = true;
            return std::nullopt;
        }
        it.channel &= static_cast<std::uint8_t>(~compressed_flag);
        it.payload = std::move(*whole);
    }
    return it;
}

} // namespace cuminpitch::net
