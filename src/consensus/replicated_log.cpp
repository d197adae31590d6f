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
    entries_.clear();
    for (auto& it : entries) {
        if (!entries_.empty() && (it.index != entries_.back().entry.index.next() ||
                                  it.term < entries_.back().entry.term)) {
            return false;
        }
        append(std::move(it));
    }
    if (entries_.empty()) {
        return true;
    }
    if (first_index() > base_index().next()) {
        return false;
    }
    // A crash between the writes of a received snapshot and of the log leaves entries
    // that end before the snapshot's last entry, or have another term at its index.
    const entry* last_covered = find(base_index());
    const bool follows = first_index() == base_index().next();
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
    return entries_.empty() ? base_index().next() : entries_.front().entry.index;
}

core::log_index replicated_log::last_index() const
{
    return entries_.empty() ? base_index() : entries_.back().entry.index;
}

core::term replicated_log::last_term() const
{
    return term_at(last_index()).value_or(core::term());
}

const entry* replicated_log::find(core::log_index index) const
{
    if (entries_.empty() || index < first_index() || index > last_index()) {
        return nullptr;
    }
    return &entries_[index.value() - first_index().value()].entry;
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

std::size_t
replicated_log::bytes_between(core::log_index after, core::log_index last) const
{
    const auto bytes_up_to = [this](core::log_index it) {
        if (entries_.empty() || it >= last_index()) {
            return end_bytes();
        }
        return entries_
            [std::max(it.next(), first_index()).value() - first_index().value()]
                .bytes_before;
    };
    return after < last ? bytes_up_to(last) - bytes_up_to(after) : 0;
}

std::size_t replicated_log::bytes() const
{
    return entries_.empty() ? 0 : end_bytes() - entries_.front().bytes_before;
}

std::uint64_t replicated_log::end_bytes() const
{
    return entries_.empty()
               ? 0
               : entries_.back().bytes_before + size_of(entries_.back().entry);
}

void replicated_log::append(entry it)
{
    const auto bytes_before = end_bytes();
    entries_.push_back({std::move(it), bytes_before});
}

void replicated_log::put(entry it)
{
    assert(it.index <= last_index().next() && it.index >= first_index());
    while (!entries_.empty() && last_index() >= it.index) {
        entries_.pop_back();
    }
    append(std::move(it));
}

std::vector<entry> replicated_log::compact(snapshot base, core::log_index first_kept)
{
    const bool contains = term_at(base.info.index) == base.info.term;
    base_ = std::move(base);
    if (!contains) {
        entries_.clear();
    }
    first_kept = std::min(first_kept, base_index().next());
    while (!entries_.empty() && first_index() < first_kept) {
        entries_.pop_front();
    }
    std::vector<entry> out;
    out.reserve(entries_.size());
    for (const auto& it : entries_) {
        out.push_back(it.entry);
    }
    return out;
}

member_set replicated_log::members_at(core::log_index index) const
{
    for (auto it = entries_.rbegin(); it != entries_.rend(); ++it) {
        const auto& [index_at, term, payload] = it->entry;
        if (index_at <= base_index()) {
            break;
        }
        if (index_at <= index && std::holds_alternative<member_set>(payload)) {
            return std::get<member_set>(payload);
        }
    }
    return base_ ? base_->info.members : member_set();
}

core::log_index replicated_log::members_index() const
{
    for (auto it = entries_.rbegin(); it != entries_.rend(); ++it) {
        const auto& [index, term, payload] = it->entry;
        if (index <= base_index()) {
            break;
        }
        if (std::holds_alternative<member_set>(payload)) {
            return index;
        }
    }
    return base_index();
}

} // namespace cuminpitch::consensus
