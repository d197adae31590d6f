#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace cuminpitch::config {

struct parsed_json
{
    nlohmann::json value;
    std::string reason; ///< Why the text was rejected; empty if it was accepted.
};

/// Parses exactly one JSON value in UTF-8; rejects duplicate keys and deep nesting.
parsed_json parse_json(const std::string& text);

} // namespace cuminpitch::config
