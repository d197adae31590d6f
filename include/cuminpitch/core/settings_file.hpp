#pragma once

#include "cuminpitch/core/setting_parser.hpp"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cuminpitch::core {

/// A text file with one setting "<name>=<value>" per line, used instead of flags. Empty
/// lines, lines that begin with '#' and settings with an empty value are ignored.
class settings_file
{
public:
    explicit settings_file(std::string path) : path_(std::move(path)) {}

    /// Returns the flags "--<name>=<value>", or a request to end the process if the file
    /// is unreadable or malformed.
    std::variant<std::vector<std::string>, exit_request> read();

    /// Whether the content differs from what read() last loaded. A file that is currently
    /// unreadable counts as unchanged.
    bool has_changed() const;

private:
    std::optional<std::string> content() const;

    std::string path_;
    std::string last_content_;
};

} // namespace cuminpitch::core
