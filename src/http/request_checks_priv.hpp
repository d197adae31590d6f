#pragma once

#include "cuminpitch/http/message.hpp"
#include "cuminpitch/http/refusal.hpp"

#include <cstddef>
#include <cstdint>

namespace cuminpitch::http {

/// A refused body is read and discarded up to this size, so that the caller finishes
/// sending and reads the refusal instead of seeing a connection reset.
inline constexpr std::uint64_t discard_limit_bytes = 64U << 20U;
/// Holds the request line and the headers.
inline constexpr std::size_t head_limit_bytes = 64U << 10U;

/// False if the length of the body is ambiguous, so that two parsers could disagree on
/// where the next request begins, or if there are several Host headers.
bool has_unambiguous_framing(const headers& fields);

refusal not_run_refusal(int status, const char* reason);
/// For a request whose body would exceed the limit on all bodies in memory.
refusal memory_refusal();

} // namespace cuminpitch::http
