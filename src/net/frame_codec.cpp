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

std::string encode_frame(std::uint8_t channel, const std::string& payload)
{
    std::string shorter;
    if (payload.size() >= least_compressed_bytes) {
        shorter = compress(payload);
    }
    const bool is_compressed = !shorter.empty() && shorter.size() < payload.size();
    const std::string& sent = is_compressed ? shorter : payload;
    std::string buf;
    buf.reserve(frame_header_bytes + sent.size());
    put_length(buf, sent.size());
    buf.push_back(static_cast<char>(channel | (is_compressed ? compressed_flag : 0)));
    buf += sent;
    return buf;
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
