#pragma once

#include "cuminpitch/consensus/storage.hpp"

#include <cstddef>
#include <memory>

namespace cuminpitch::consensus {

/// Storage for tests. It keeps writes separate from the durable state until they are
/// synced.
class memory_storage : public storage
{
public:
    memory_storage();
    ~memory_storage() override;

    core::result<stored_state> load() override;
    core::result<void> write(const write_hard_state& update) override;
    core::result<void> write(const write_entries& update) override;
    core::result<void> write(const write_snapshot& update) override;
    core::result<void> sync() override;

    /// Number of writes since the last sync. Each entry counts as one write.
    std::size_t unsynced_writes() const;
    /// Simulates a power loss: only the first `surviving` unsynced writes become durable.
    void crash(std::size_t surviving);
    /// Makes all later syncs and snapshot writes return errc::storage_failed.
    void fail_syncs();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace cuminpitch::consensus
