#include "cuminpitch/config/loader.hpp"

#include "cuminpitch/config/compile.hpp"
#include "cuminpitch/core/json.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <system_error>

namespace cuminpitch::config {
namespace {

namespace fs = std::filesystem;

constexpr std::uintmax_t max_file_bytes = 1U << 20U;
const std::string name_allowed = "allowed: [a-z0-9-], 1 to 63 characters";

/// Reads one folder of declarations recursively.
class folder_reader
{
public:
    explicit folder_reader(fs::path root) : root_(std::move(root)) {}

    loaded_folder run()
    {
        std::error_code ec;
        if (!fs::is_directory(root_, ec)) {
            report(root_.string(), "not a folder; allowed: a folder with teams/");
            return std::move(result_);
        }
        for (const auto& it : children("")) {
            if (it != "teams" && !it.starts_with('.')) {
                report(it, "unexpected; allowed here: teams/");
            }
        }
        for (const auto& team : folders("teams")) {
            read_team(team);
        }
        std::sort(result_.problems.begin(), result_.problems.end());
        return std::move(result_);
    }

private:
    void report(const std::string& file, const std::string& reason)
    {
        result_.problems.push_back({file, "", reason});
    }

    /// Returns the sorted names in a folder; reports an empty or unreadable folder.
    std::vector<std::string> children(const std::string& folder)
    {
        std::vector<std::string> names;
        std::error_code ec;
        for (fs::directory_iterator it(root_ / folder, ec), end; !ec && it != end;
             it.increment(ec)) {
            names.push_back(it->path().filename().string());
        }
        const std::string shown = folder.empty() ? root_.string() : folder;
        if (ec) {
            report(shown, "can't be read: " + ec.message());
        } else if (names.empty()) {
            report(shown, "empty folder; allowed: folders with declarations");
        }
        std::sort(names.begin(), names.end());
        return names;
    }

    /// Returns the paths of the subfolders with valid names; reports everything else.
    std::vector<std::string> folders(const std::string& folder)
    {
        std::vector<std::string> result;
        for (const auto& name : children(folder)) {
            const std::string path = absl::StrCat(folder, "/", name);
            std::error_code ec;
            if (!fs::is_directory(root_ / path, ec)) {
                report(path, "not a folder; allowed here: one folder for each team");
            } else if (!is_name(name)) {
                report(path, "name is not allowed; " + name_allowed);
            } else {
                result.push_back(path);
            }
        }
        return result;
    }

    void read_team(const std::string& team)
    {
        for (const auto& kind : children(team)) {
            const std::string path = absl::StrCat(team, "/", kind);
            std::error_code ec;
            const bool is_kind = kind == "pools" || kind == "routes" ||
                                 kind == "customers" || kind == "limits";
            if (!is_kind || !fs::is_directory(root_ / path, ec)) {
                report(
                    path,
                    "unexpected; allowed here: folders pools/, routes/ and limits/");
                continue;
            }
            for (const auto& name : children(path)) {
                read_entry(path, name);
            }
        }
    }

    void read_entry(const std::string& folder, const std::string& name)
    {
        const std::string file = folder + "/" + name;
        std::error_code ec;
        if (!name.ends_with(".json") || !fs::is_regular_file(root_ / file, ec)) {
            report(file, "unexpected; allowed here: files <name>.json");
            return;
        }
        const std::string stem = name.substr(0, name.size() - 5);
        if (!is_name(stem)) {
            report(file, "name is not allowed; " + name_allowed + " before .json");
            return;
        }
        read_file(file, folder + "/" + stem);
    }

    void read_file(const std::string& file, const std::string& prefix)
    {
        std::error_code ec;
        const auto size = fs::file_size(root_ / file, ec);
        std::ifstream in(root_ / file, std::ios::binary);
        if (ec || !in) {
            report(file, "can't be read");
            return;
        }
        if (size > max_file_bytes) {
            report(file, "larger than 1 MiB; allowed: up to 1 MiB");
            return;
        }
        const std::string text{
            std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
        const auto parsed = core::parse_json(text);
        if (!parsed.reason.empty()) {
            report(file, parsed.reason);
        } else if (!parsed.value.is_object() || parsed.value.empty()) {
            report(file, "allowed: one JSON object with at least one setting");
        } else {
            for (const auto& [key, value] : parsed.value.items()) {
                add(file, prefix, key, value);
            }
        }
    }

    void
    add(const std::string& file,
        const std::string& prefix,
        const std::string& key,
        const nlohmann::json& value)
    {
        if (key.empty() || key.find('/') != std::string::npos) {
            report(
                file, "setting '" + key + "' is not allowed; allowed: names without '/'");
        } else {
            result_.tree.emplace(prefix + "/" + key, value.dump());
        }
    }

    fs::path root_;
    loaded_folder result_;
};

} // namespace

loaded_folder load_folder(const std::filesystem::path& folder)
{
    return folder_reader(folder).run();
}

loaded_folder load_and_check(const std::filesystem::path& folder)
{
    loaded_folder result = load_folder(folder);
    auto compiled = compile(result.tree);
    if (auto* more = std::get_if<std::vector<problem>>(&compiled)) {
        result.problems.insert(result.problems.end(), more->begin(), more->end());
        std::sort(result.problems.begin(), result.problems.end());
    }
    return result;
}

} // namespace cuminpitch::config
