#pragma once

#include "cuminpitch/consensus/entry.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cuminpitch::consensus {

/// Serializes values in the format of the stored files: integers are little-endian, and
/// strings are prefixed with their length as a 32-bit integer.
class byte_writer
{
public:
    void put_u8(std::uint8_t it);
    void put_u32(std::uint32_t it);
    void put_u64(std::uint64_t it);
    void put_string(std::string_view it);
    void put(const member_set& it);
    void put(const entry& it);
    void put(const hard_state& it);
    void put(const snapshot_info& it);

    std::string take() { return std::move(bytes_); }

private:
    std::string bytes_;
};

/// Deserializes what byte_writer wrote. After a read past the end or of an invalid value,
/// all further reads return zeros or empty values and ok() is false.
class byte_reader
{
public:
    explicit byte_reader(std::string_view bytes) : bytes_(bytes) {}

    std::uint8_t get_u8();
    std::uint32_t get_u32();
    std::uint64_t get_u64();
    std::string get_string();
    member_set get_members();
    entry get_entry();
    hard_state get_hard_state();
    snapshot_info get_snapshot_info();

    bool ok() const { return ok_; }
    bool at_end() const { return bytes_.empty(); }
    std::size_t remaining() const { return bytes_.size(); }

private:
    std::string_view take(std::size_t size);
    void fail();

    std::string_view bytes_;
    bool ok_ = true;
};

} // namespace cuminpitch::consensus
