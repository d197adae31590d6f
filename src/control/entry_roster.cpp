#include "control/entry_roster_priv.hpp"

#include "core/earlier_start_priv.hpp"
#include "cuminpitch/core/hash.hpp"

#include <absl/container/btree_set.h>

#include <algorithm>

namespace cuminpitch::control {

std::size_t entries_to_name(const entry_demand& it, std::size_t domains)
{
    if (it.slots_per_entry == 0) {
        return it.min_count;
    }
    const std::size_t slots_per_answer =
        it.slots_per_entry * std::max<std::size_t>(1, domains);
    const std::size_t needed = (it.slots + slots_per_answer - 1) / slots_per_answer;
    return std::max(it.min_count, std::min(it.max_count, needed));
}

std::size_t entry_roster::domains(absl::Time now, absl::Duration timeout) const
{
    absl::btree_set<core::failure_domain_id> found;
    for (const auto& [id, it] : entries_) {
        if (it.is_usable(now, timeout)) {
            found.insert(it.record.failure_domain);
        }
    }
    return found.size();
}

std::optional<std::size_t>
entry_roster::slots_per_entry(absl::Time now, absl::Duration timeout) const
{
    std::size_t sum = 0;
    std::size_t count = 0;
    for (const auto& [id, it] : entries_) {
        if (it.slots > 0 && it.is_usable(now, timeout)) {
            sum += it.slots;
            ++count;
        }
    }
    return count == 0 ? std::nullopt : std::optional(sum / count);
}

void entry_roster::receive(absl::Time now, const presence& it)
{
    auto& known = entries_[it.entry.id];
    if (core::is_of_earlier_start(
            it.incarnation, known.incarnation, known.last_heard, now)) {
        return;
    }
    known = {it.entry, it.incarnation, it.ready, it.impaired, it.slots, now};
}

std::vector<entry_record> entry_roster::choose(
    absl::Time now,
    const core::failure_domain_id& caller_domain,
    std::size_t max_count,
    absl::Duration timeout) const
{
    std::vector<const entry*> usable;
    for (const auto& [id, it] : entries_) {
        if (it.is_usable(now, timeout)) {
            usable.push_back(&it);
        }
    }
    const auto is_unimpaired = [](const entry* it) { return !it->impaired; };
    if (std::any_of(usable.begin(), usable.end(), is_unimpaired)) {
        std::erase_if(usable, [&](const entry* it) { return !is_unimpaired(it); });
    }
    const auto is_same_domain = [&](const entry* it) {
        return it->record.failure_domain == caller_domain;
    };
    std::vector<const entry*> chosen;
    std::copy_if(
        usable.begin(), usable.end(), std::back_inserter(chosen), is_same_domain);
    if (chosen.empty()) {
        chosen = std::move(usable);
    }
    std::sort(chosen.begin(), chosen.end(), [](const entry* a, const entry* b) {
        return core::hash64(a->record.id.str()) < core::hash64(b->record.id.str());
    });
    chosen.resize(std::min(chosen.size(), max_count));
    std::vector<entry_record> result;
    result.reserve(chosen.size());
    for (const entry* it : chosen) {
        result.push_back(it->record);
    }
    return result;
}

} // namespace cuminpitch::control
