#include "replicated_log_priv.hpp"

#include <algorithm>
#include <cassert>

namespace cuminpitch::consensus {
namespace {

constexpr std::size_t entry_overhead_bytes = 32;
constexpr std::size_t member_size_bytes = 128;

} // namespace

std::size_t size_of(const entry& it)
{
    if (const auto* cmd = std::get_if<command>(&it.payload)) {
        return entry_overhead_bytes + cmd->bytes.size();
    }
    if (const auto* set = std::get_if<member_set>(&it.payload)) {
        return entry_overhead_bytes + set->members().size() * member_size_bytes;
    }
    return entry_overhead_bytes;
}

bool replicated_log::assign(std::optional<snapshot> base, std::vector<entry> entries)
{
    base_ = std::move(base);
    entries_.assign(
        std::make_move_iterator(entries.begin()), std::make_move_iterator(entries.end()));
    for (std::size_t i = 1; i < entries_.size(); ++i) {
        if (entries_[i].index != entries_[i - 1].index.next() ||
            entries_[i].term < entries_[i - 1].term) {
            return false;
        }
    }
    if (entries_.empty()) {
        return true;
    }
    if (entries_.front().index > base_index().next()) {
        return false;
    }
    // A crash between the writes of a received snapshot and of the log leaves entries
    // that end before the snapshot's last entry, or have another term at its index.
    const entry* last_covered = find(base_index());
    const bool follows = entries_.front().index == base_index().next();
    const bool contains = base_ && last_covered && last_covered->term == base_->info.term;
    if (!follows && !contains) {
        entries_.clear();
    }
    return true;
}

core::log_index replicated_log::base_index() const
{
    return base_ ? base_->info.index : core::log_index();
}

core::log_index replicated_log::first_index() const
{
    return entries_.empty() ? base_index().next() : entries_.front().index;
}

core::log_index replicated_log::last_index() const
{
    return entries_.empty() ? base_index() : entries_.back().index;
}

core::term replicated_log::last_term() const
{
    return term_at(last_index()).value_or(core::term());
}

const entry* replicated_log::find(core::log_index index) const
{
    if (entries_.empty() || index < entries_.front().index || index > last_index()) {
        return nullptr;
    }
    return &entries_[index.value() - entries_.front().index.value()];
}

std::optional<core::term> replicated_log::term_at(core::log_index index) const
{
    if (const entry* it = find(index)) {
        return it->term;
    }
    if (index == base_index()) {
        return base_ ? base_->info.term : core::term();
    }
    return std::nullopt;
}

std::vector<entry> replicated_log::slice(
    core::log_index first, std::size_t max_entries, std::size_t max_bytes) const
{
    std::vector<entry> out;
    std::size_t bytes = 0;
    for (const entry* it = find(first); it != nullptr && out.size() < max_entries;
         it = find(it->index.next())) {
        bytes += size_of(*it);
        if (!out.empty() && bytes > max_bytes) {
            break;
        }
        out.push_back(*it);
    }
    return out;
}

void replicated_log::put(entry it)
{
    assert(it.index <= last_index().next() && it.index >= first_index());
    while (!entries_.empty() && entries_.back().index >= it.index) {
        entries_.pop_back();
    }
    entries_.push_back(std::move(it));
}

std::vector<entry> replicated_log::compact(snapshot base, core::log_index first_kept)
{
    const bool contains = term_at(base.info.index) == base.info.term;
    base_ = std::move(base);
    if (!contains) {
        entries_.clear();
    }
    first_kept = std::min(first_kept, base_index().next());
    while (!entries_.empty() && entries_.front().index < first_kept) {
        entries_.pop_front();
    }
    return {entries_.begin(), entries_.end()};
}

member_set replicated_log::members_at(core::log_index index) const
{
    for (auto it = entries_.rbegin(); it != entries_.rend(); ++it) {
        if (it->index <= base_index()) {
            break;
        }
        if (it->index <= index && std::holds_alternative<member_set>(it->payload)) {
            return std::get<member_set>(it->payload);
        }
    }
    return base_ ? base_->info.members : member_set();
}

core::log_index replicated_log::members_index() const
{
    for (auto it = entries_.rbegin(); it != entries_.rend(); ++it) {
        if (it->index <= base_index()) {
            break;
        }
        if (std::holds_alternative<member_set>(it->payload)) {
            return it->index;
        }
    }
    return base_index();
}

} // namespace cuminpitch::consensus
