#include "cuminpitch/core/setting_parser.hpp"

#include <CLI/CLI.hpp>
#include <absl/strings/ascii.h>
#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_replace.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <filesystem>
#include <set>
#include <unistd.h>

namespace cuminpitch::core {
namespace {

constexpr std::size_t max_name_length = 63;

std::optional<std::string> read_name(const std::string& text)
{
    const bool valid =
        !text.empty() && text.size() <= max_name_length &&
        std::all_of(text.begin(), text.end(), [](char c) {
            return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
        });
    return valid ? std::optional(text) : std::nullopt;
}

std::optional<endpoint> read_endpoint(const std::string& text)
{
    auto it = parse_endpoint(text);
    if (it && it->host == "0.0.0.0") {
        return std::nullopt;
    }
    return it;
}

std::optional<std::vector<endpoint>>
read_endpoints(const std::string& text, std::size_t min, std::size_t max)
{
    std::vector<endpoint> result;
    std::set<endpoint> seen;
    if (!text.empty()) {
        const std::vector<std::string> parts = absl::StrSplit(text, ',');
        for (const auto& part : parts) {
            const auto it = read_endpoint(part);
            if (!it || !seen.insert(*it).second) {
                return std::nullopt;
            }
            result.push_back(*it);
        }
    }
    if (result.size() < min || result.size() > max) {
        return std::nullopt;
    }
    return result;
}

/// Creates a temporary file, since permission bits do not show a read-only file system. A
/// disk that is full or fails at the moment doesn't make the setting wrong.
bool can_create_file_in(const std::string& folder)
{
    std::string probe = folder + "/.writable-XXXXXX";
    const int fd = mkstemp(probe.data());
    if (fd < 0) {
        return errno == ENOSPC || errno == EDQUOT || errno == EIO;
    }
    close(fd);
    unlink(probe.c_str());
    return true;
}

} // namespace

exit_request
bad_setting(const std::string& name, const std::string& value, const std::string& allowed)
{
    return {
        exit_bad_setting,
        absl::StrCat(
            "setting --",
            absl::Utf8SafeCEscape(name),
            ": value '",
            absl::Utf8SafeCEscape(value),
            "' is not allowed: ",
            allowed,
            "\n")};
}

setting_type<std::string> name_setting()
{
    return {"1 to 63 characters of [a-z0-9-]", read_name};
}

setting_type<endpoint> endpoint_setting()
{
    return {
        "a.b.c.d:port with an IPv4 address other than 0.0.0.0 and a port from 1 to 65535",
        read_endpoint};
}

setting_type<std::vector<endpoint>>
endpoint_list_setting(std::size_t min, std::size_t max)
{
    return {
        absl::StrCat(
            min, " to ", max, " distinct comma-separated endpoints a.b.c.d:port"),
        [min, max](const std::string& text) { return read_endpoints(text, min, max); }};
}

setting_type<absl::Duration> duration_setting(absl::Duration min, absl::Duration max)
{
    const std::string allowed = absl::StrCat(
        "a duration with a unit (ms, s, m) from ",
        absl::FormatDuration(min),
        " to ",
        absl::FormatDuration(max));
    return {
        allowed, [min, max](const std::string& text) -> std::optional<absl::Duration> {
            absl::Duration it;
            if (!absl::ParseDuration(text, &it) || it < min || it > max) {
                return std::nullopt;
            }
            return it;
        }};
}

setting_type<std::uint32_t> count_setting(std::uint32_t min, std::uint32_t max)
{
    return {
        absl::StrCat("a whole number from ", min, " to ", max),
        [min, max](const std::string& text) -> std::optional<std::uint32_t> {
            std::uint32_t it = 0;
            if (!absl::SimpleAtoi(text, &it) || it < min || it > max) {
                return std::nullopt;
            }
            return it;
        }};
}

setting_type<std::string> writable_folder_setting()
{
    return {
        "an existing folder in which this process can create files",
        [](const std::string& text) -> std::optional<std::string> {
            std::error_code ec;
            if (!std::filesystem::is_directory(text, ec) || !can_create_file_in(text)) {
                return std::nullopt;
            }
            return text;
        }};
}

setting_type<std::string> choice_setting(const std::vector<std::string>& choices)
{
    return {
        "one of " + absl::StrJoin(choices, ", "),
        [choices](const std::string& text) -> std::optional<std::string> {
            if (std::find(choices.begin(), choices.end(), text) == choices.end()) {
                return std::nullopt;
            }
            return text;
        }};
}

std::string environment_name(const std::string& name)
{
    return "CUMINPITCH_" + absl::AsciiStrToUpper(absl::StrReplaceAll(name, {{"-", "_"}}));
}

struct setting_parser::impl
{
    struct setting
    {
        std::string name;
        std::string allowed;
        std::optional<std::string> default_text;
        reader read;
        CLI::Option* option = nullptr;
    };

    /// The flags of all settings, for error messages about unknown flags.
    std::string names() const
    {
        return absl::StrJoin(settings, ", ", [](std::string* out, const setting& it) {
            absl::StrAppend(out, "--", it.name);
        });
    }

    std::optional<exit_request> read(const setting& it) const
    {
        const auto& given = it.option->results();
        if (given.empty() && !it.default_text) {
            return bad_setting(
                it.name,
                "",
                it.allowed + "; it must be given here or in " +
                    environment_name(it.name));
        }
        if (given.size() > 1) {
            return bad_setting(it.name, absl::StrJoin(given, " "), "one value only");
        }
        const std::string text = given.empty() ? *it.default_text : given.front();
        if (!it.read(text)) {
            return bad_setting(it.name, text, it.allowed);
        }
        return std::nullopt;
    }

    /// Converts an error of CLI11, whose message begins with the option and a colon.
    exit_request to_exit_request(const CLI::ParseError& e) const
    {
        std::string name = e.what();
        name = name.substr(0, name.find(':'));
        for (const auto& it : settings) {
            if (name == "--" + it.name) {
                return bad_setting(it.name, "", it.allowed);
            }
        }
        return bad_setting("", e.what(), "only the settings " + names());
    }

    CLI::App app;
    std::vector<setting> settings;
};

setting_parser::setting_parser(const std::string& program, const std::string& description)
    : impl_(std::make_unique<impl>())
{
    impl_->app.name(program);
    impl_->app.description(description);
    impl_->app.allow_extras();
}

setting_parser::~setting_parser() = default;

void setting_parser::declare(
    const std::string& name,
    const std::string& description,
    const std::string& allowed,
    const std::optional<std::string>& default_text,
    reader read)
{
    CLI::Option* option = impl_->app.add_option("--" + name, description);
    option->envname(environment_name(name));
    option->multi_option_policy(CLI::MultiOptionPolicy::TakeAll);
    option->allow_extra_args(false);
    impl_->settings.push_back({name, allowed, default_text, std::move(read), option});
}

void setting_parser::add_hidden_flag(const std::string& name, bool& to)
{
    impl_->app.add_flag("--" + name, to)->group("");
}

std::optional<exit_request> setting_parser::parse(int argc, const char* const* argv)
{
    try {
        impl_->app.parse(argc, argv);
    } catch (const CLI::CallForHelp&) {
        return exit_request{0, impl_->app.help()};
    } catch (const CLI::ParseError& e) {
        return impl_->to_exit_request(e);
    }
    const auto extras = impl_->app.remaining();
    if (!extras.empty()) {
        const std::string& first = extras.front();
        const bool flag = first.starts_with("--");
        return bad_setting(
            flag ? first.substr(2) : "",
            flag ? "" : first,
            "only the settings " + impl_->names());
    }
    for (const auto& it : impl_->settings) {
        if (auto early_exit = impl_->read(it)) {
            return early_exit;
        }
    }
    return std::nullopt;
}

} // namespace cuminpitch::core
