#include "cuminpitch/consensus/memory_storage.hpp"

#include "cuminpitch/core/overloaded.hpp"

#include <algorithm>
#include <variant>

namespace cuminpitch::consensus {

struct memory_storage::impl
{
    using pending = std::variant<hard_state, entry>;

    stored_state durable;
    std::vector<pending> unsynced;
    bool failing = false;

    void flush(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            std::visit(
                core::overloaded{
                    [&](hard_state& it) { durable.hard_state = std::move(it); },
                    [&](entry& it) { put(std::move(it)); }},
                unsynced[i]);
        }
        unsynced.clear();
    }

    void put(entry it)
    {
        while (!durable.entries.empty() && durable.entries.back().index >= it.index) {
            durable.entries.pop_back();
        }
        durable.entries.push_back(std::move(it));
    }
};

memory_storage::memory_storage() : impl_(std::make_unique<impl>()) {}
memory_storage::~memory_storage() = default;

core::result<stored_state> memory_storage::load()
{
    return impl_->durable;
}

core::result<void> memory_storage::write(const write_hard_state& update)
{
    impl_->unsynced.emplace_back(update.state);
    return boost::outcome_v2::success();
}

core::result<void> memory_storage::write(const write_entries& update)
{
    impl_->unsynced.insert(
        impl_->unsynced.end(), update.entries.begin(), update.entries.end());
    return boost::outcome_v2::success();
}

core::result<void> memory_storage::write(const write_snapshot& update)
{
    if (auto done = sync(); !done) {
        return done.error();
    }
    impl_->durable.snapshot = update.snapshot;
    impl_->durable.entries = update.kept;
    return boost::outcome_v2::success();
}

core::result<void> memory_storage::sync()
{
    if (impl_->failing) {
        return make_error_code(core::errc::storage_failed);
    }
    impl_->flush(impl_->unsynced.size());
    return boost::outcome_v2::success();
}

std::size_t memory_storage::unsynced_writes() const
{
    return impl_->unsynced.size();
}

void memory_storage::crash(std::size_t surviving)
{
    impl_->flush(std::min(surviving, impl_->unsynced.size()));
}

void memory_storage::fail_syncs()
{
    impl_->failing = true;
}

} // namespace cuminpitch::consensus
