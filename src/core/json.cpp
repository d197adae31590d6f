#include "cuminpitch/core/json.hpp"

#include <cmath>
#include <set>
#include <vector>

namespace cuminpitch::core {
namespace {

/// Parser callback that rejects duplicate keys and deep nesting, which nlohmann-json
/// accepts.
class strict_json_checker
{
public:
    explicit strict_json_checker(int max_depth) : max_depth_(max_depth) {}

    bool operator()(int depth, nlohmann::json::parse_event_t event, nlohmann::json& value)
    {
        using event_t = nlohmann::json::parse_event_t;
        if (depth > max_depth_ && reason_.empty()) {
            reason_ = "nested deeper than the allowed " + std::to_string(max_depth_) +
                      " levels";
        }
        if (event == event_t::object_start) {
            keys_.emplace_back();
        } else if (event == event_t::object_end) {
            keys_.pop_back();
        } else if (event == event_t::key) {
            const auto& key = value.get_ref<const std::string&>();
            if (!keys_.back().insert(key).second && reason_.empty()) {
                reason_ = "duplicate key '" + key + "'; each key is allowed once";
            }
        }
        return reason_.empty();
    }

    const std::string& reason() const { return reason_; }

private:
    int max_depth_;
    std::vector<std::set<std::string>> keys_;
    std::string reason_;
};

} // namespace

parsed_json parse_json(const std::string& text, int max_depth)
{
    strict_json_checker strict(max_depth);
    parsed_json it;
    try {
        // The parser copies its callback, so the lambda refers to the state by reference.
        it.value = nlohmann::json::parse(text, [&](int depth, auto event, auto& value) {
            return strict(depth, event, value);
        });
        it.reason = strict.reason();
    } catch (const nlohmann::json::parse_error& e) {
        // The text of the exception quotes the input, which may hold a secret.
        it.reason = strict.reason();
        if (it.reason.empty()) {
            it.reason = "not JSON; allowed: one JSON value in UTF-8; error at byte " +
                        std::to_string(e.byte);
        }
    } catch (const nlohmann::json::exception&) {
        it.reason = strict.reason();
        if (it.reason.empty()) {
            it.reason = "not JSON; allowed: one JSON value in UTF-8";
        }
    }
    return it;
}

std::string write_json(const nlohmann::json& it)
{
    return it.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<std::int64_t> to_integer(const nlohmann::json& it)
{
    constexpr std::int64_t max_integer = std::int64_t{1} << 53;
    constexpr auto limit = static_cast<double>(max_integer);
    if (it.is_number_unsigned()) {
        const auto n = it.get<std::uint64_t>();
        return n <= static_cast<std::uint64_t>(max_integer)
                   ? std::optional(static_cast<std::int64_t>(n))
                   : std::nullopt;
    }
    if (it.is_number_integer()) {
        const auto n = it.get<std::int64_t>();
        return n >= -max_integer ? std::optional(n) : std::nullopt;
    }
    const double n = it.is_number() ? it.get<double>() : std::nan("");
    return std::abs(n) <= limit ? std::optional(static_cast<std::int64_t>(n))
                                : std::nullopt;
}

} // namespace cuminpitch::core
