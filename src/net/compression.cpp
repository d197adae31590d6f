#include "cuminpitch/net/compression.hpp"

#include "net/frame_codec_priv.hpp"

#include <zlib.h>

namespace cuminpitch::net {

std::string compress(std::string_view bytes)
{
    std::string out;
    put_length(out, bytes.size());
    const std::size_t header_bytes = out.size();
    uLongf n = compressBound(static_cast<uLong>(bytes.size()));
    out.resize(header_bytes + n);
    const int rc = compress2(
        reinterpret_cast<Bytef*>(out.data() + header_bytes),
        &n,
        reinterpret_cast<const Bytef*>(bytes.data()),
        static_cast<uLong>(bytes.size()),
        Z_BEST_SPEED);
    out.resize(header_bytes + n);
    return rc == Z_OK ? out : std::string();
}

std::optional<std::string> decompress(std::string_view bytes, std::size_t limit)
{
    constexpr std::size_t header_bytes = 4;
    if (bytes.size() < header_bytes || get_length(bytes) > limit) {
        return std::nullopt;
    }
    std::string out(get_length(bytes), '\0');
    uLongf n = out.size();
    const int rc = uncompress(
        reinterpret_cast<Bytef*>(out.data()),
        &n,
        reinterpret_cast<const Bytef*>(bytes.data() + header_bytes),
        static_cast<uLong>(bytes.size() - header_bytes));
    return rc == Z_OK && n == out.size() ? std::optional(std::move(out)) : std::nullopt;
}

} // namespace cuminpitch::net
