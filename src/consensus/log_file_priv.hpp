#pragma once

#include "cuminpitch/consensus/entry.hpp"
#include "cuminpitch/core/error.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cuminpitch::consensus {

/// Returns the content of a log file without records.
std::string empty_log_file();

/// Returns one record, which has all entries of one sync: a marker, the length of the
/// payload, the XXH64 of the payload seeded with the length, and the payload.
std::string encode_log_record(const std::vector<entry>& entries);

struct decoded_log
{
    std::vector<entry> entries;
    /// Size of the part with valid records. Anything after it is a record whose write was
    /// interrupted.
    std::uint64_t intact_bytes = 0;
};

/// Returns errc::incompatible_format if the file does not begin like a log file, and
/// errc::damaged_record if a valid record follows an invalid one, or a record with a
/// correct checksum is malformed or leaves a gap in the indexes. Damage in the last
/// record can't be distinguished from an interrupted write and is not an error.
core::result<decoded_log> decode_log_file(std::string_view bytes);

/// Returns the first bytes of a file that consists of magic bytes, a checksum and one
/// payload, which is the concatenation of two parts.
std::string encode_checked_file_header(
    std::string_view magic, std::string_view first, std::string_view second);
/// Returns the payload of such a file as a part of `bytes`, errc::incompatible_format if
/// the magic bytes differ, or errc::damaged_record if the checksum is wrong.
core::result<std::string_view>
decode_checked_file(std::string_view magic, std::string_view bytes);

} // namespace cuminpitch::consensus
