#pragma once

#include "cuminpitch/consensus/storage.hpp"
#include "cuminpitch/core/random.hpp"

#include <filesystem>
#include <memory>

namespace cuminpitch::consensus {

/// Storage in one data folder with the files `identity`, `lock`, `hard_state`, `log` and
/// `snapshot`. Writes are buffered in memory, and sync() writes all buffered entries as
/// one log record with one checksum. An interrupted write can therefore damage only the
/// last record.
class file_storage : public storage
{
public:
    /// Creates the folder if it does not exist. A folder without an identity gets
    /// `new_identity` (32 hex digits) or, if that is not given, a random one.
    /// Returns std::errc::device_or_resource_busy if another process uses the folder,
    /// errc::incompatible_format if the identity file has another format, and
    /// errc::damaged_record if the folder has stored state but no identity.
    static core::result<std::unique_ptr<file_storage>> open(
        const std::filesystem::path& folder,
        core::random_source& random,
        const std::optional<member_id>& new_identity = std::nullopt);

    ~file_storage() override;

    /// Identity of this data folder.
    const member_id& identity() const;

    /// Truncates the log after its last valid record, which removes a record whose write
    /// was interrupted. Returns errc::damaged_record also if the log or the hard state is
    /// missing.
    core::result<stored_state> load() override;
    core::result<void> write(const write_hard_state& update) override;
    core::result<void> write(const write_entries& update) override;
    core::result<void> write(const write_snapshot& update) override;
    core::result<void> sync() override;

    /// Writes the stored hard state again, to find out whether the folder can be written.
    /// To be called after load() and before any other write.
    core::result<void> probe();

private:
    struct impl;
    explicit file_storage(std::unique_ptr<impl> it);
    std::unique_ptr<impl> impl_;
};

} // namespace cuminpitch::consensus
