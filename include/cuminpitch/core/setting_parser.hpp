#pragma once

#include "cuminpitch/core/endpoint.hpp"

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cuminpitch::core {

/// Requests that the process ends before it starts its work: it prints `text` (to
/// standard output if `status` is 0, otherwise to standard error) and exits with
/// `status`.
struct exit_request
{
    int status = 0;
    std::string text;
};

/// Exit status for an invalid, missing or contradictory setting.
constexpr int exit_bad_setting = 2;

/// Returns the line "setting --<name>: value '<value>' is not allowed: <allowed>" with
/// the status exit_bad_setting. Control characters are escaped.
exit_request bad_setting(
    const std::string& name, const std::string& value, const std::string& allowed);

/// The parser of a setting's text and a description of the allowed values.
template <class T>
struct setting_type
{
    std::string allowed;
    std::function<std::optional<T>(const std::string&)> read;
};

/// [a-z0-9-], 1 to 63 characters.
setting_type<std::string> name_setting();
/// An IPv4 address other than 0.0.0.0, to which nobody could connect, and a port.
setting_type<endpoint> endpoint_setting();
/// Distinct comma-separated endpoints. An empty text is an empty list if `min` is 0.
setting_type<std::vector<endpoint>>
endpoint_list_setting(std::size_t min, std::size_t max);
/// A duration with a unit, such as "500ms" or "10s".
setting_type<absl::Duration> duration_setting(absl::Duration min, absl::Duration max);
setting_type<std::uint32_t> count_setting(std::uint32_t min, std::uint32_t max);
/// An existing folder in which this process can create files.
setting_type<std::string> writable_folder_setting();
setting_type<std::string> choice_setting(const std::vector<std::string>& choices);

/// Returns the environment variable of a setting: CUMINPITCH_DATA_DIR for "data-dir".
std::string environment_name(const std::string& name);

/// Parses the settings of a process from flags and from the environment variables of
/// environment_name(). A flag takes precedence over its environment variable; an empty
/// variable counts as not set.
class setting_parser
{
public:
    setting_parser(const std::string& program, const std::string& description);
    ~setting_parser();
    setting_parser(const setting_parser&) = delete;
    setting_parser& operator=(const setting_parser&) = delete;

    /// Declares "--<name>". parse() writes the value to `to`, which must still exist
    /// then. Without `default_text` the setting is required.
    template <class T>
    void
    add(const std::string& name,
        const std::string& description,
        const setting_type<T>& type,
        T& to,
        const std::optional<std::string>& default_text = std::nullopt)
    {
        declare(
            name,
            description + " (" + type.allowed + ")",
            type.allowed,
            default_text,
            [read = type.read, &to](const std::string& text) {
                auto it = read(text);
                if (it) {
                    to = std::move(*it);
                }
                return it.has_value();
            });
    }

    /// Declares the flag "--<name>", which takes no value, is left out of --help and
    /// cannot be set by an environment variable. For tests.
    void add_hidden_flag(const std::string& name, bool& to);

    /// Parses all settings. Returns a request to end the process for --help and for the
    /// first invalid or missing setting in the order of declaration.
    std::optional<exit_request> parse(int argc, const char* const* argv);

private:
    using reader = std::function<bool(const std::string&)>;

    void declare(
        const std::string& name,
        const std::string& description,
        const std::string& allowed,
        const std::optional<std::string>& default_text,
        reader read);

    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace cuminpitch::core
