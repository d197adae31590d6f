#include "log_file_priv.hpp"

#include "bytes_priv.hpp"
#include "cuminpitch/core/hash.hpp"

#include <limits>
#include <optional>

namespace cuminpitch::consensus {
namespace {

constexpr std::string_view log_magic = "cplog001";
constexpr std::string_view record_marker = "\xC1\x9Drc";
constexpr std::size_t record_header_bytes = 16;
constexpr std::size_t checksum_bytes = 8;

/// Returns the payload of the record at the offset, or an empty optional if there is no
/// complete record with a correct checksum.
std::optional<std::string_view> record_at(std::string_view bytes, std::size_t offset)
{
    const std::string_view rest = bytes.substr(offset);
    if (rest.size() < record_header_bytes || !rest.starts_with(record_marker)) {
        return std::nullopt;
    }
    byte_reader header(rest.substr(record_marker.size()));
    const std::uint32_t length = header.get_u32();
    const std::uint64_t checksum = header.get_u64();
    if (rest.size() - record_header_bytes < length) {
        return std::nullopt;
    }
    const std::string_view payload = rest.substr(record_header_bytes, length);
    if (core::hash64(payload, length) != checksum) {
        return std::nullopt;
    }
    return payload;
}

bool has_record_after(std::string_view bytes, std::size_t offset)
{
    for (std::size_t at = bytes.find(record_marker, offset + 1); at != bytes.npos;
         at = bytes.find(record_marker, at + 1)) {
        if (record_at(bytes, at)) {
            return true;
        }
    }
    return false;
}

/// Appends the entries of a record. An entry replaces all earlier ones at or after its
/// index. Returns false if the record is malformed or leaves a gap in the indexes.
bool append_entries(std::string_view payload, std::vector<entry>& entries)
{
    byte_reader in(payload);
    const std::uint32_t count = in.get_u32();
    for (std::uint32_t i = 0; i < count && in.ok(); ++i) {
        entry it = in.get_entry();
        while (!entries.empty() && entries.back().index >= it.index) {
            entries.pop_back();
        }
        if (!entries.empty() && entries.back().index.next() != it.index) {
            return false;
        }
        entries.push_back(std::move(it));
    }
    return in.ok() && in.at_end();
}

} // namespace

std::string empty_log_file()
{
    return std::string(log_magic);
}

std::string encode_log_record(const std::vector<entry>& entries)
{
    byte_writer body;
    body.put_u32(static_cast<std::uint32_t>(entries.size()));
    for (const auto& it : entries) {
        body.put(it);
    }
    const std::string payload = body.take();
    const auto length = static_cast<std::uint32_t>(payload.size());
    byte_writer header;
    header.put_u32(length);
    header.put_u64(core::hash64(payload, length));
    return std::string(record_marker) + header.take() + payload;
}

core::result<decoded_log> decode_log_file(std::string_view bytes)
{
    if (!bytes.starts_with(log_magic)) {
        return make_error_code(core::errc::incompatible_format);
    }
    decoded_log out;
    std::size_t at = log_magic.size();
    while (at < bytes.size()) {
        const auto payload = record_at(bytes, at);
        if (!payload) {
            if (has_record_after(bytes, at)) {
                return make_error_code(core::errc::damaged_record);
            }
            break;
        }
        if (!append_entries(*payload, out.entries)) {
            return make_error_code(core::errc::damaged_record);
        }
        at += record_header_bytes + payload->size();
    }
    out.intact_bytes = at;
    return out;
}

std::string encode_checked_file_header(
    std::string_view magic, std::string_view first, std::string_view second)
{
    byte_writer checksum;
    checksum.put_u64(core::hash64({first, second}, first.size() + second.size()));
    return std::string(magic) + checksum.take();
}

core::result<std::string_view>
decode_checked_file(std::string_view magic, std::string_view bytes)
{
    if (!bytes.starts_with(magic)) {
        return make_error_code(core::errc::incompatible_format);
    }
    bytes.remove_prefix(magic.size());
    byte_reader header(bytes);
    const std::uint64_t checksum = header.get_u64();
    if (!header.ok()) {
        return make_error_code(core::errc::damaged_record);
    }
    bytes.remove_prefix(checksum_bytes);
    if (core::hash64(bytes, bytes.size()) != checksum) {
        return make_error_code(core::errc::damaged_record);
    }
    return bytes;
}

} // namespace cuminpitch::consensus
