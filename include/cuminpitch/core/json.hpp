#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace cuminpitch::core {

struct parsed_json
{
    nlohmann::json value;
    std::string reason; ///< Why the text was rejected; empty if it was accepted.
};

/// Levels of nesting that no declaration or message needs.
constexpr int max_json_depth = 16;

/// Parses exactly one JSON value in UTF-8 from an untrusted writer. Rejects duplicate
/// keys, numbers that no double can hold, and nesting deeper than `max_depth`, which
/// would exhaust the stack when the value is copied or written.
parsed_json parse_json(const std::string& text, int max_depth = max_json_depth);

/// Writes a value whose strings may come from an untrusted writer. Replaces invalid
/// UTF-8, for which nlohmann::json throws by default.
std::string write_json(const nlohmann::json& it);

/// Converts a number to an integer, rounded towards zero. Empty if it isn't a number, or
/// not between -2^53 and 2^53, where a double holds each integer.
std::optional<std::int64_t> to_integer(const nlohmann::json& it);

} // namespace cuminpitch::core
