#include "entry/api_priv.hpp"

#include "cuminpitch/core/json.hpp"

#include <algorithm>
#include <limits>

namespace cuminpitch::entry {
namespace {

using json = nlohmann::json;

constexpr std::uint64_t max_slots = 100'000;
constexpr std::uint64_t max_cold_start_ms = 3'600'000;
constexpr std::size_t max_name_length = 128;

/// Reads the members of a JSON object and remembers the first validation error.
class object_reader
{
public:
    explicit object_reader(const json& from) : from_(from) {}

    std::string text(const char* name, bool required = true)
    {
        const auto it = from_.find(name);
        if (it == from_.end() && !required) {
            return {};
        }
        if (it == from_.end() || !it->is_string() ||
            it->get_ref<const std::string&>().empty() ||
            it->get_ref<const std::string&>().size() > max_name_length) {
            record_problem(name, "a string of 1 to 128 characters");
            return {};
        }
        return it->get<std::string>();
    }

    std::uint64_t
    number(const char* name, std::uint64_t max_value, std::uint64_t fallback)
    {
        const auto it = from_.find(name);
        if (it == from_.end()) {
            return fallback;
        }
        if (!it->is_number_unsigned() || it->get<std::uint64_t>() > max_value) {
            record_problem(
                name, "a non-negative integer of at most " + std::to_string(max_value));
            return fallback;
        }
        return it->get<std::uint64_t>();
    }

    void record_problem(const std::string& name, const std::string& allowed)
    {
        if (problem_.empty()) {
            problem_ = name + ": must be " + allowed;
        }
    }

    const std::string& problem() const { return problem_; }

private:
    const json& from_;
    std::string problem_;
};

upstream::availability read_state(object_reader& reader)
{
    const auto text = reader.text("state");
    if (text == "active") {
        return upstream::availability::active;
    }
    if (text == "leaving") {
        return upstream::availability::leaving;
    }
    if (text != "gone") {
        reader.record_problem("state", "active, leaving or gone");
    }
    return upstream::availability::gone;
}

json entry_list(const std::vector<control::entry_record>& entries)
{
    json list = json::array();
    for (const auto& it : entries) {
        list.push_back(it.http.str());
    }
    return list;
}

} // namespace

std::variant<announce_request, std::string> parse_announce(const std::string& body)
{
    const auto parsed = core::parse_json(body);
    if (!parsed.reason.empty() || !parsed.value.is_object()) {
        return "the body must be a JSON object" +
               (parsed.reason.empty() ? "" : ": " + parsed.reason);
    }
    object_reader reader(parsed.value);
    announce_request it;
    it.pool = {core::team_id(reader.text("team")), reader.text("pool")};
    it.announcement.server = core::server_id(reader.text("server"));
    constexpr auto max_int64 = std::numeric_limits<std::int64_t>::max();
    it.announcement.incarnation = reader.number("incarnation", max_int64, 0);
    it.announcement.sequence = reader.number("sequence", max_int64, 0);
    it.announcement.state = read_state(reader);
    const auto address = core::parse_endpoint(reader.text("address"));
    if (address) {
        it.announcement.address = *address;
    } else {
        reader.record_problem("address", "an IPv4 address and a port");
    }
    it.announcement.failure_domain =
        core::failure_domain_id(reader.text("failure_domain", false));
    it.announcement.slots =
        static_cast<std::uint32_t>(reader.number("slots", max_slots, 1));
    if (it.announcement.slots == 0) {
        reader.record_problem("slots", "at least 1");
    }
    it.announcement.connections =
        static_cast<std::uint32_t>(reader.number("connections", max_slots, 0));
    it.announcement.cold_start = absl::Milliseconds(
        static_cast<std::int64_t>(reader.number("cold_start_ms", max_cold_start_ms, 0)));
    if (const auto echo = reader.number("echo", max_int64, 0); echo != 0) {
        it.echo = absl::FromUnixMicros(static_cast<std::int64_t>(echo));
    }
    if (!reader.problem().empty()) {
        return reader.problem();
    }
    return it;
}

std::optional<core::pool_id> parse_pool(const std::string& text)
{
    const auto slash = text.find('/');
    if (slash == 0 || slash == std::string::npos || slash + 1 == text.size()) {
        return std::nullopt;
    }
    return core::pool_id{core::team_id(text.substr(0, slash)), text.substr(slash + 1)};
}

http::response announce_response(
    absl::Time now,
    bool accepted,
    const std::vector<control::entry_record>& entries,
    absl::Duration departure)
{
    const auto renew = std::min(max_renew_interval, departure / renewals_per_departure);
    const json body = {
        {"accepted", accepted},
        {"entries", entry_list(entries)},
        {"renew_ms", absl::ToInt64Milliseconds(renew)},
        {"echo", absl::ToUnixMicros(now)}};
    return http::json_response(200, core::write_json(body));
}

http::response entries_response(
    const core::pool_id& pool,
    core::revision revision,
    const std::vector<control::entry_record>& entries,
    absl::Duration entries_ttl)
{
    const json body = {
        {"pool", pool.str()},
        {"revision", revision.value()},
        {"entries", entry_list(entries)},
        {"keep_ms", absl::ToInt64Milliseconds(entries_ttl)}};
    return http::json_response(200, core::write_json(body));
}

http::response error_response(int status, const std::string& reason)
{
    return http::json_response(status, core::write_json({{"error", reason}}));
}

} // namespace cuminpitch::entry
