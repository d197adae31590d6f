#pragma once

#include <absl/time/time.h>

#include <cstdint>

namespace cuminpitch::core {

/// Messages of a process arrive within this time, or not at all.
inline constexpr absl::Duration max_message_delay = absl::Seconds(3);

/// Whether a message is a late one of an earlier start of its sender, of which a message
/// of the start `known` was heard last. The number of a start is the time of day, which
/// may have been set back since, so it orders only messages that follow each other
/// closely.
inline bool is_of_earlier_start(
    std::uint64_t start, std::uint64_t known, absl::Time last_heard, absl::Time now)
{
    return start < known && now - last_heard < max_message_delay;
}

} // namespace cuminpitch::core
