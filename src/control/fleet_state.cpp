#include "cuminpitch/control/fleet_state.hpp"

#include "control/view_builder_priv.hpp"
#include "cuminpitch/wire/control_codec.hpp"

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <absl/strings/match.h>

#include <algorithm>
#include <cassert>
#include <deque>
#include <utility>

namespace cuminpitch::control {
namespace {

// Returns the team of a path "teams/<team>" or below; empty for any other path.
core::team_id team_of(const std::string& path)
{
    static const std::string root = "teams/";
    if (path.compare(0, root.size(), root) != 0) {
        return {};
    }
    const auto end = path.find('/', root.size());
    return core::team_id(path.substr(root.size(), end - root.size()));
}

/// Approximate size of an encoded list of commands or of a part of the state.
constexpr std::size_t item_overhead_bytes = 48;
constexpr std::size_t record_bytes = 160;
/// A shorter list of commands is sent without comparing it with the contents.
constexpr std::size_t always_sent_bytes = 16U << 10U;

std::size_t size_of(const command& it)
{
    const auto* settings_change = std::get_if<change>(&it);
    if (settings_change == nullptr) {
        return record_bytes;
    }
    std::size_t n = record_bytes;
    for (const auto& op : settings_change->operations) {
        n += item_overhead_bytes + op.path.size() + (op.value ? op.value->size() : 0);
    }
    return n;
}

std::size_t size_of(const fleet_contents& it)
{
    std::size_t n = record_bytes *
                    (1 + it.entries.size() + it.assignments.size() + it.servers.size());
    for (const auto& [path, value] : it.settings) {
        n += item_overhead_bytes + path.size() + value.size();
    }
    return n;
}

using id_set = absl::btree_set<core::instance_id>;

std::size_t symmetric_difference_size(const id_set& a, const id_set& b)
{
    std::size_t n = 0;
    for (const auto& it : a) {
        n += b.contains(it) ? 0 : 1;
    }
    for (const auto& it : b) {
        n += a.contains(it) ? 0 : 1;
    }
    return n;
}

} // namespace

class fleet_state::impl
{
public:
    impl(compile_function compile, const memory_limits& limits)
        : compile_(std::move(compile)), limits_(limits)
    {
        declarations_ = std::make_shared<const config::declarations>();
    }

    outcome apply(core::revision index, const command& it)
    {
        if (index <= last_index_) {
            return ignored{};
        }
        last_index_ = index;
        return std::visit([&](const auto& body) { return apply_body(body); }, it);
    }

    std::vector<numbered_command>
    changes_after(core::revision after, std::size_t limit) const
    {
        std::vector<numbered_command> result;
        for (const auto& it : history_) {
            if (it.revision > after && result.size() < limit) {
                result.push_back(it);
            }
        }
        return result;
    }

    fleet_view_ptr view() const
    {
        if (!view_) {
            view_ = build_view(contents_, declarations_);
        }
        return view_;
    }

    update update_for(core::revision base) const
    {
        if (can_send_delta(base)) {
            return delta{base, contents_.revision, commands_after(base)};
        }
        if (!shared_contents_) {
            auto copy = std::make_shared<fleet_contents>(contents_);
            copy->document.source.clear();
            shared_contents_ = std::move(copy);
        }
        return shared_contents_;
    }

    update packed_update_for(core::revision base) const
    {
        if (can_send_delta(base)) {
            return delta{base, contents_.revision, commands_after(base)};
        }
        if (!packed_bytes_) {
            packed_bytes_ = std::make_shared<const std::string>(wire::pack(contents_));
        }
        return packed_contents{packed_bytes_};
    }

    std::string snapshot() const
    {
        return wire::encode(wire::fleet_snapshot_view{
            last_index_,
            contents_,
            team_revisions_,
            outcome_order_,
            outcomes_,
            history_});
    }

    core::result<void> restore(std::string_view bytes)
    {
        auto decoded = wire::decode_snapshot(bytes, limits_.history);
        if (!decoded) {
            return decoded.error();
        }
        auto& from = decoded.value();
        auto compiled = compile_(from.contents.settings, nullptr);
        if (!compiled.declarations) {
            return core::errc::incompatible_format;
        }
        impl result(compile_, limits_);
        result.declarations_ = std::move(compiled.declarations);
        result.last_index_ = from.last_index;
        result.contents_ = std::move(from.contents);
        result.team_revisions_.insert(
            from.team_revisions.begin(), from.team_revisions.end());
        for (auto& [id, outcome] : from.outcomes) {
            result.store_outcome(id, std::move(outcome));
        }
        for (auto& it : from.history) {
            result.append_history(std::move(it));
        }
        result.is_history_cut_ = result.is_history_cut_ || from.is_history_cut;
        result.recent_base_ = result.contents_.revision;
        *this = std::move(result);
        return boost::outcome_v2::success();
    }

    const fleet_contents& contents() const { return contents_; }
    core::revision last_index() const { return last_index_; }
    std::size_t history_bytes() const { return history_bytes_; }
    std::size_t recent_command_bytes() const
    {
        return recent_commands_.empty()
                   ? 0
                   : recent_memory_ - recent_commands_.front().memory_before;
    }
    bool is_history_cut() const { return is_history_cut_; }

    bool declares(const core::pool_id& id) const
    {
        return declarations_->pools.contains(id);
    }

    std::optional<outcome> find_outcome(const core::change_id& id) const
    {
        const auto it = outcomes_.find(id);
        return it == outcomes_.end() ? std::nullopt : std::optional(it->second);
    }

private:
    outcome apply_body(const change& it)
    {
        if (it.id.empty() || it.id.str().size() > change_id_limit) {
            return invalid{{{"", "the change id must have 1 to 128 bytes"}}};
        }
        if (const auto first = find_outcome(it.id)) {
            return *first;
        }
        auto result = evaluate(it);
        store_outcome(it.id, result);
        return result;
    }

    outcome apply_body(const server_announced& it)
    {
        if (effect_of(contents_.servers, it.server) != announcement_effect::changes) {
            return ignored{};
        }
        return commit(it);
    }

    outcome apply_body(const entry_joined& it)
    {
        const auto known = contents_.entries.find(it.entry.id);
        if (known != contents_.entries.end() &&
            (it.incarnation < known->second.incarnation ||
             entry_member{it.entry, it.incarnation} == known->second)) {
            return ignored{};
        }
        return commit(it);
    }

    outcome apply_body(const entry_removed& it)
    {
        if (!contents_.entries.contains(it.id)) {
            return ignored{};
        }
        return commit(it);
    }

    outcome apply_body(const set_assignment& it)
    {
        const id_set next(it.entries.begin(), it.entries.end());
        if (!declarations_->pools.contains(it.pool) || next.empty() ||
            next.size() != it.entries.size() || next.size() > assignment_limit) {
            return ignored{};
        }
        const auto known = contents_.assignments.find(it.pool);
        const bool is_new = known == contents_.assignments.end();
        const auto old =
            is_new ? id_set{}
                   : id_set(known->second.entries.begin(), known->second.entries.end());
        for (const auto& id : next) {
            if (!old.contains(id) && !contents_.entries.contains(id)) {
                return ignored{};
            }
        }
        const auto expected = is_new ? core::revision{} : known->second.list_revision;
        const bool single = is_new || symmetric_difference_size(old, next) <= 1;
        if (!it.forced && (it.expected_list_revision != expected || !single)) {
            return ignored{};
        }
        if (!is_new && known->second.entries == it.entries) {
            return ignored{};
        }
        return commit(it);
    }

    outcome evaluate(const change& it)
    {
        if (it.base_revision > contents_.revision) {
            return invalid{{{"", "the base revision is higher than the current one"}}};
        }
        auto problems = check_paths(it);
        if (!problems.empty()) {
            return invalid{std::move(problems)};
        }
        if (it.document && it.document->number <= contents_.document.number) {
            return ignored{};
        }
        auto paths = conflicting_paths(it);
        if (!paths.empty()) {
            return conflict{contents_.revision, std::move(paths)};
        }
        return apply_operations(it);
    }

    static std::vector<problem> check_paths(const change& it)
    {
        std::vector<problem> result;
        if (it.operations.empty() && !it.document) {
            result.push_back({"", "the change has no operations"});
        }
        for (const auto& op : it.operations) {
            if (team_of(op.path).empty() && result.size() < outcome_detail_limit) {
                result.push_back({op.path, "the path must begin with teams/<team>"});
            }
        }
        return result;
    }

    std::vector<std::string> conflicting_paths(const change& it) const
    {
        std::vector<std::string> result;
        for (const auto& op : it.operations) {
            const auto changed = team_revisions_.find(team_of(op.path));
            if (changed != team_revisions_.end() && changed->second > it.base_revision &&
                result.size() < outcome_detail_limit) {
                result.push_back(op.path);
            }
        }
        return result;
    }

    outcome apply_operations(const change& it)
    {
        const auto before = affected_settings(it);
        const auto document_before = contents_.document;
        const auto current = contents_.revision;
        apply_command(contents_, {last_index_, it});
        compile_base base{declarations_, {}};
        append_paths(it, base.changed);
        auto compiled = compile_(contents_.settings, &base);
        if (!compiled.declarations) {
            revert(it, before);
            contents_.document = document_before;
            contents_.revision = current;
            auto& problems = compiled.problems;
            problems.resize(std::min(problems.size(), outcome_detail_limit));
            return invalid{std::move(problems)};
        }
        declarations_ = std::move(compiled.declarations);
        for (const auto& op : it.operations) {
            team_revisions_.insert_or_assign(team_of(op.path), last_index_);
        }
        numbered_command item{last_index_, without_document_source(it)};
        append_history(item);
        return publish(std::move(item));
    }

    void append_history(numbered_command it)
    {
        history_bytes_ += memory_bytes(it.command);
        history_.push_back(std::move(it));
        while (history_.size() > history_limit || history_bytes_ > limits_.history) {
            is_history_cut_ = is_history_cut_ || history_.size() <= history_limit;
            history_bytes_ -= memory_bytes(history_.front().command);
            history_.pop_front();
        }
    }

    // The settings at and below the paths of a change.
    settings_tree affected_settings(const change& it) const
    {
        settings_tree result;
        const auto& all = contents_.settings;
        for (const auto& op : it.operations) {
            if (const auto at = all.find(op.path); at != all.end()) {
                result.insert(*at);
            }
            const auto prefix = op.path + "/";
            for (auto at = all.lower_bound(prefix);
                 at != all.end() && absl::StartsWith(at->first, prefix);
                 ++at) {
                result.insert(*at);
            }
        }
        return result;
    }

    void revert(const change& it, const settings_tree& before)
    {
        for (const auto& op : it.operations) {
            contents_.settings.erase(op.path);
        }
        for (const auto& [path, value] : before) {
            contents_.settings.insert_or_assign(path, value);
        }
    }

    outcome commit(const command& it)
    {
        numbered_command item{last_index_, it};
        apply_command(contents_, item);
        return publish(std::move(item));
    }

    outcome publish(numbered_command it)
    {
        const auto revision = it.revision;
        const auto encoded = size_of(it.command);
        const auto memory = memory_bytes(it.command);
        recent_commands_.push_back({std::move(it), recent_bytes_, recent_memory_});
        recent_bytes_ += encoded;
        recent_memory_ += memory;
        while (recent_commands_.size() > history_limit ||
               recent_command_bytes() > limits_.recent_commands) {
            recent_base_ = recent_commands_.front().command.revision;
            recent_commands_.pop_front();
        }
        contents_bytes_.reset();
        view_.reset();
        shared_contents_.reset();
        packed_bytes_.reset();
        return applied{revision};
    }

    struct recent_command
    {
        numbered_command command;
        std::size_t bytes_before = 0;  ///< Encoded size of all earlier commands.
        std::size_t memory_before = 0; ///< Their size in memory.
    };

    std::deque<recent_command>::const_iterator first_after(core::revision base) const
    {
        return std::upper_bound(
            recent_commands_.begin(),
            recent_commands_.end(),
            base,
            [](core::revision value, const recent_command& it) {
                return value < it.command.revision;
            });
    }

    std::vector<numbered_command> commands_after(core::revision base) const
    {
        std::vector<numbered_command> result;
        for (auto it = first_after(base); it != recent_commands_.end(); ++it) {
            result.push_back(it->command);
        }
        return result;
    }

    bool can_send_delta(core::revision base) const
    {
        return base >= recent_base_ && is_shorter_than_contents(base);
    }

    /// The commands after `base` may be much longer than the contents that they lead to:
    /// settings that are changed again and again stand in them each time.
    bool is_shorter_than_contents(core::revision base) const
    {
        const auto first = first_after(base);
        const auto bytes =
            first == recent_commands_.end() ? 0 : recent_bytes_ - first->bytes_before;
        if (bytes <= always_sent_bytes) {
            return true;
        }
        if (!contents_bytes_) {
            contents_bytes_ = size_of(contents_);
        }
        return bytes <= *contents_bytes_;
    }

    void store_outcome(const core::change_id& id, outcome it)
    {
        outcomes_.insert_or_assign(id, std::move(it));
        outcome_order_.push_back(id);
        if (outcome_order_.size() > outcome_limit) {
            outcomes_.erase(outcome_order_.front());
            outcome_order_.pop_front();
        }
    }

    compile_function compile_;
    memory_limits limits_;
    core::revision last_index_;
    fleet_contents contents_;
    std::shared_ptr<const config::declarations> declarations_;
    absl::btree_map<core::team_id, core::revision> team_revisions_;
    absl::flat_hash_map<core::change_id, outcome> outcomes_;
    std::deque<core::change_id> outcome_order_;
    std::deque<numbered_command> history_;
    std::size_t history_bytes_ = 0;
    bool is_history_cut_ = false;
    // The latest state-changing commands. A delta can start at recent_base_ or any later
    // revision.
    std::deque<recent_command> recent_commands_;
    core::revision recent_base_;
    std::size_t recent_bytes_ = 0;  ///< Encoded size of all commands since the start.
    std::size_t recent_memory_ = 0; ///< Their size in memory.
    mutable std::optional<std::size_t> contents_bytes_; ///< Size of contents_.
    mutable fleet_view_ptr view_;
    mutable std::shared_ptr<const fleet_contents> shared_contents_;
    mutable std::shared_ptr<const std::string> packed_bytes_; ///< Compressed contents_.
};

fleet_state::fleet_state(compile_function compile, const memory_limits& limits)
    : impl_(std::make_unique<impl>(std::move(compile), limits))
{
}

fleet_state::~fleet_state() = default;
fleet_state::fleet_state(fleet_state&&) noexcept = default;
fleet_state& fleet_state::operator=(fleet_state&&) noexcept = default;

outcome fleet_state::apply(core::revision index, const command& it)
{
    return impl_->apply(index, it);
}

core::revision fleet_state::revision() const
{
    return impl_->contents().revision;
}

core::revision fleet_state::last_index() const
{
    return impl_->last_index();
}

const fleet_contents& fleet_state::contents() const
{
    return impl_->contents();
}

bool fleet_state::declares(const core::pool_id& id) const
{
    return impl_->declares(id);
}

std::optional<outcome> fleet_state::find_outcome(const core::change_id& id) const
{
    return impl_->find_outcome(id);
}

std::vector<numbered_command>
fleet_state::changes_after(core::revision after, std::size_t limit) const
{
    return impl_->changes_after(after, limit);
}

fleet_view_ptr fleet_state::view() const
{
    return impl_->view();
}

update fleet_state::update_for(core::revision base) const
{
    return impl_->update_for(base);
}

update fleet_state::packed_update_for(core::revision base) const
{
    return impl_->packed_update_for(base);
}

std::size_t fleet_state::history_bytes() const
{
    return impl_->history_bytes();
}

std::size_t fleet_state::recent_command_bytes() const
{
    return impl_->recent_command_bytes();
}

bool fleet_state::is_history_cut() const
{
    return impl_->is_history_cut();
}

std::string fleet_state::snapshot() const
{
    return impl_->snapshot();
}

core::result<void> fleet_state::restore(std::string_view snapshot)
{
    return impl_->restore(snapshot);
}

} // namespace cuminpitch::control
