#pragma once

#include <boost/outcome/std_result.hpp>

#include <system_error>

namespace cuminpitch::core {

enum class errc
{
    ok = 0,
    malformed_message, ///< A message from a peer cannot be decoded.
    damaged_record,    ///< A stored record fails its checksum before the end of the log.
    incompatible_format, ///< A stored file has an unknown format version.
    storage_failed,      ///< A write or sync of a stored file failed.
    not_leader,          ///< This control instance is not the Raft leader.
    not_initialized,     ///< This control instance is not in a group yet.
    conflict,            ///< A change was made against an outdated revision.
    invalid_change,      ///< A change would make the declarations invalid.
    address_in_use,      ///< A listening socket cannot be opened.
    unavailable,         ///< No peer that could respond is reachable.
};

const std::error_category& error_category();

inline std::error_code make_error_code(errc it)
{
    return {static_cast<int>(it), error_category()};
}

/// Holds a value or a std::error_code.
template <class T>
using result = boost::outcome_v2::std_result<T>;

} // namespace cuminpitch::core

template <>
struct std::is_error_code_enum<cuminpitch::core::errc> : std::true_type
{
};
