#include "cuminpitch/net/compression.hpp"
#include "net/frame_codec_priv.hpp"

#include <gtest/gtest.h>

namespace cuminpitch::net {
namespace {

std::optional<frame_reader::raw_frame> read_back(const std::string& bytes)
{
    frame_reader it(1U << 20U);
    it.append(bytes.data(), bytes.size());
    return it.next();
}

// Guards against a long payload that is not compressed or not restored exactly.
TEST(frame_compression, long_payloads_are_restored)
{
    std::string text;
    for (int i = 0; i < 2000; ++i) {
        text += "teams/t/routes/r-" + std::to_string(i) + "/deadline_ms 2500;";
    }
    const auto bytes = encode_frame(2, text);
    EXPECT_LT(bytes.size(), text.size() / 4);
    const auto it = read_back(bytes);
    ASSERT_TRUE(it.has_value());
    EXPECT_EQ(it->channel, 2);
    EXPECT_EQ(it->payload, text);
}

// Guards against a frame to many entries that is compressed once for each of them, and
// against a frame that is delivered compressed.
TEST(frame_compression, compressed_frame_is_sent_unchanged)
{
    const frame plain{channel::control, std::string(5000, 'x')};
    const frame compressed = compress_payload(plain);
    ASSERT_TRUE(compressed.is_compressed);
    EXPECT_LT(compressed.payload.size(), plain.payload.size() / 4);
    EXPECT_EQ(compress_payload(compressed).payload, compressed.payload);
    EXPECT_EQ(encode_frame(compressed), encode_frame(plain));
    EXPECT_EQ(read_back(encode_frame(compressed))->payload, plain.payload);
    const frame dense{channel::control, plain.payload, false, true};
    EXPECT_GT(encode_frame(dense).size(), dense.payload.size());
    EXPECT_EQ(read_back(encode_frame(dense))->payload, plain.payload);
    EXPECT_EQ(decompress_payload(compressed)->payload, plain.payload);
    EXPECT_FALSE(compress_payload({channel::control, "short"}).is_compressed);
    EXPECT_FALSE(
        decompress_payload({channel::control, "not compressed", true}).has_value());
}

// Guards against a damaged or overlong frame that exhausts the memory of the process.
TEST(frame_compression, damaged_and_overlong_frames_are_rejected)
{
    const std::string text(100'000, 'x');
    auto bytes = encode_frame(2, text);
    bytes[bytes.size() / 2] = static_cast<char>(~bytes[bytes.size() / 2]);
    EXPECT_FALSE(read_back(bytes).has_value());
    EXPECT_FALSE(decompress(compress(text), text.size() - 1).has_value());
    EXPECT_EQ(decompress(compress(text), text.size()), text);
    EXPECT_FALSE(decompress("abc", 10).has_value());
}

} // namespace
} // namespace cuminpitch::net
