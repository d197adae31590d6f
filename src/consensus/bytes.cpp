#include "bytes_priv.hpp"

#include "cuminpitch/core/overloaded.hpp"

namespace cuminpitch::consensus {
namespace {

enum class payload_kind : std::uint8_t
{
    no_operation = 1,
    command = 2,
    members = 3,
};

constexpr unsigned bits_per_byte = 8;

std::uint64_t little_endian(std::string_view bytes)
{
    std::uint64_t out = 0;
    for (std::size_t i = bytes.size(); i-- > 0;) {
        out = out << bits_per_byte | static_cast<unsigned char>(bytes[i]);
    }
    return out;
}

} // namespace

void byte_writer::put_u8(std::uint8_t it)
{
    bytes_ += static_cast<char>(it);
}

void byte_writer::put_u32(std::uint32_t it)
{
    for (std::size_t i = 0; i < sizeof(it); ++i) {
        put_u8(static_cast<std::uint8_t>(it >> (bits_per_byte * i)));
    }
}

void byte_writer::put_u64(std::uint64_t it)
{
    for (std::size_t i = 0; i < sizeof(it); ++i) {
        put_u8(static_cast<std::uint8_t>(it >> (bits_per_byte * i)));
    }
}

void byte_writer::put_string(std::string_view it)
{
    put_u32(static_cast<std::uint32_t>(it.size()));
    bytes_ += it;
}

void byte_writer::put(const member_set& it)
{
    put_u32(static_cast<std::uint32_t>(it.members().size()));
    for (const auto& m : it.members()) {
        put_string(m.id.str());
        put_string(m.name.str());
        put_string(m.internal.host);
        put_u32(m.internal.port);
        put_u8(static_cast<std::uint8_t>(m.role));
    }
}

void byte_writer::put(const entry& it)
{
    put_u64(it.index.value());
    put_u64(it.term.value());
    std::visit(
        core::overloaded{
            [&](const no_operation&) {
                put_u8(static_cast<std::uint8_t>(payload_kind::no_operation));
            },
            [&](const command& c) {
                put_u8(static_cast<std::uint8_t>(payload_kind::command));
                put_string(c.bytes);
            },
            [&](const member_set& m) {
                put_u8(static_cast<std::uint8_t>(payload_kind::members));
                put(m);
            }},
        it.payload);
}

void byte_writer::put(const hard_state& it)
{
    put_u64(it.term.value());
    put_string(it.voted_for.str());
    put_u64(it.group.value());
}

void byte_writer::put(const snapshot_info& it)
{
    put_u64(it.index.value());
    put_u64(it.term.value());
    put(it.members);
}

void byte_reader::fail()
{
    ok_ = false;
    bytes_ = {};
}

std::string_view byte_reader::take(std::size_t size)
{
    if (size > bytes_.size()) {
        fail();
        return {};
    }
    const std::string_view out = bytes_.substr(0, size);
    bytes_.remove_prefix(size);
    return out;
}

std::uint8_t byte_reader::get_u8()
{
    return static_cast<std::uint8_t>(little_endian(take(sizeof(std::uint8_t))));
}

std::uint32_t byte_reader::get_u32()
{
    return static_cast<std::uint32_t>(little_endian(take(sizeof(std::uint32_t))));
}

std::uint64_t byte_reader::get_u64()
{
    return little_endian(take(sizeof(std::uint64_t)));
}

std::string byte_reader::get_string()
{
    const std::uint32_t size = get_u32();
    return std::string(take(size));
}

member_set byte_reader::get_members()
{
    member_set out;
    const std::uint32_t count = get_u32();
    for (std::uint32_t i = 0; i < count && ok_; ++i) {
        member it;
        it.id = member_id(get_string());
        it.name = core::instance_id(get_string());
        it.internal.host = get_string();
        it.internal.port = static_cast<std::uint16_t>(get_u32());
        it.role = static_cast<member_role>(get_u8());
        if (it.role != member_role::voter && it.role != member_role::learner) {
            fail();
        }
        out.put(std::move(it));
    }
    return out;
}

entry byte_reader::get_entry()
{
    entry out;
    out.index = core::log_index(get_u64());
    out.term = core::term(get_u64());
    switch (static_cast<payload_kind>(get_u8())) {
    case payload_kind::no_operation:
        out.payload = no_operation{};
        return out;
    case payload_kind::command:
        out.payload = command{get_string()};
        return out;
    case payload_kind::members:
        out.payload = get_members();
        return out;
    }
    fail();
    return out;
}

hard_state byte_reader::get_hard_state()
{
    hard_state out;
    out.term = core::term(get_u64());
    out.voted_for = member_id(get_string());
    out.group = group_id(get_u64());
    return out;
}

snapshot_info byte_reader::get_snapshot_info()
{
    snapshot_info out;
    out.index = core::log_index(get_u64());
    out.term = core::term(get_u64());
    out.members = get_members();
    return out;
}

} // namespace cuminpitch::consensus
