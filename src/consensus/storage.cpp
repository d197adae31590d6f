#include "cuminpitch/consensus/storage.hpp"

#include "cuminpitch/core/overloaded.hpp"

#include <algorithm>

namespace cuminpitch::consensus {
namespace {

/// Index and term of the first snapshot of a group.
constexpr std::uint64_t first_index = 1;
constexpr std::uint64_t first_term = 1;

} // namespace

core::result<void> execute(storage& store, const action& to_execute)
{
    return std::visit(
        core::overloaded{
            [&](const write_hard_state& w) { return store.write(w); },
            [&](const write_entries& w) { return store.write(w); },
            [&](const write_snapshot& w) { return store.write(w); },
            [&](const sync_writes&) { return store.sync(); },
            [](const auto&) -> core::result<void> {
                return boost::outcome_v2::success();
            }},
        to_execute);
}

core::result<void> form_group(storage& store, const member_set& voters)
{
    auto loaded = store.load();
    if (!loaded) {
        return loaded.error();
    }
    const group_id group = group_of(voters);
    stored_state& state = loaded.value();
    const bool other_group =
        state.hard_state.group != group_id() && state.hard_state.group != group;
    if (other_group || !state.entries.empty()) {
        return make_error_code(core::errc::conflict);
    }
    if (state.snapshot) {
        return boost::outcome_v2::success();
    }
    // `voted_for` is kept, so that a vote given before this call stays valid.
    state.hard_state.group = group;
    state.hard_state.term = std::max(state.hard_state.term, core::term(first_term));
    if (auto done = store.write(write_hard_state{state.hard_state}); !done) {
        return done.error();
    }
    if (auto done = store.sync(); !done) {
        return done.error();
    }
    snapshot first;
    first.info = {core::log_index(first_index), core::term(first_term), voters};
    first.bytes = std::make_shared<const std::string>();
    return store.write(write_snapshot{std::move(first), {}});
}

} // namespace cuminpitch::consensus
