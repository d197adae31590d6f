#pragma once

#include "cuminpitch/consensus/storage.hpp"
#include "cuminpitch/core/random.hpp"

#include <filesystem>
#include <memory>

namespace cuminpitch::consensus {

/// Storage in one data folder with the files `identity`, `lock`, `hard_state`, `log` and
/// `snapshot`. Writes are gathered in memory, and sync() writes them as one log record
/// with one checksum. At most the last record can therefore be torn.
class file_storage : public storage
{
public:
    /// Creates the folder and an identity if there is none: `new_identity` (32 hex
    /// digits), or one drawn from `random`.
    /// std::errc::device_or_resource_busy if another process uses the folder,
    /// errc::incompatible_format, errc::damaged_record if files are missing.
    static core::result<std::unique_ptr<file_storage>> open(
        const std::filesystem::path& folder,
        core::random_source& random,
        const std::optional<member_id>& new_identity = std::nullopt);

    ~file_storage() override;

    /// Identity of this data folder.
    const member_id& identity() const;

    /// Removes a torn record from the end of the log.
    core::result<stored_state> load() override;
    core::result<void> write(const write_hard_state& it) override;
    core::result<void> write(const write_entries& it) override;
    core::result<void> write(const write_snapshot& it) override;
    core::result<void> sync() override;

private:
    struct impl;
    explicit file_storage(std::unique_ptr<impl> it);
    std::unique_ptr<impl> impl_;
};

} // namespace cuminpitch::consensus
