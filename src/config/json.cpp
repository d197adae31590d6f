#include "json_priv.hpp"

#include <set>
#include <vector>

namespace cuminpitch::config {
namespace {

// Serialization recurses once per nesting level, so unbounded nesting could exhaust the
// stack. Declarations need two levels.
constexpr int max_depth = 16;

/// Parser callback that rejects duplicate keys and deep nesting, which nlohmann-json
/// accepts.
class strict_json_checker
{
public:
    bool operator()(int depth, nlohmann::json::parse_event_t event, nlohmann::json& value)
    {
        using event_t = nlohmann::json::parse_event_t;
        if (depth > max_depth && reason_.empty()) {
            reason_ =
                "nested deeper than the allowed " + std::to_string(max_depth) + " levels";
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
    std::vector<std::set<std::string>> keys_;
    std::string reason_;
};

} // namespace

parsed_json parse_json(const std::string& text)
{
    strict_json_checker strict;
    parsed_json it;
    try {
        // The parser copies its callback, so the lambda refers to the state by reference.
        it.value = nlohmann::json::parse(text, [&](int depth, auto event, auto& value) {
            return strict(depth, event, value);
        });
        it.reason = strict.reason();
    } catch (const nlohmann::json::exception& e) {
        it.reason = strict.reason();
        if (it.reason.empty()) {
            it.reason =
                std::string("not JSON; allowed: one JSON value in UTF-8: ") + e.what();
        }
    }
    return it;
}

} // namespace cuminpitch::config
