#pragma once

#include "soak/ledger.hpp"
#include "soak/loopback_proxy.hpp"
#include "support/child_process.hpp"

#include <absl/container/btree_map.h>

#include <optional>
#include <string>
#include <vector>

namespace cuminpitch::testing {

/// The programs of the platform as separate processes, each at its own loopback address,
/// with a proxy before what other processes of the fleet send to it. Processes that end
/// are started again, as the platform does. Used by one thread.
class soak_fleet
{
public:
    struct options
    {
        std::string binaries; ///< Folder of the programs.
        unsigned control = 3;
        unsigned entries = 4;
    };

    soak_fleet(const options& it, proxy_loop& loop, disturbances& harmed);
    ~soak_fleet();

    std::vector<std::string> names(const std::string& prefix) const;
    /// Where operators and backend servers find control, and callers the entries.
    std::vector<core::endpoint> control_api() const;
    std::vector<core::endpoint> directories() const;
    /// Name of the entry at this address, or empty.
    std::string entry_at(const core::endpoint& http) const;

    // Faults. Each names its end, so that checks leave out what was harmed.
    void kill(const std::string& name);
    void pause(const std::string& name, absl::Duration length);
    /// SIGTERM. The process has to end in order within its grace time.
    void stop(const std::string& name);
    void reload(const std::string& name);
    /// SIGKILL, and starts with an empty disk.
    void wipe(const std::string& name);
    /// The kernel refuses further writes to files for that long.
    void refuse_writes(const std::string& name, absl::Duration length);
    /// Changes what arrives from other processes of the fleet.
    void harm_path(
        const std::string& name, const proxy_loop::condition& it, absl::Duration length);
    void reset_path(const std::string& name);

    /// Starts what has ended and lifts faults that are over. Adds to `problems` each
    /// planned stop that was not in order.
    void tend(std::vector<std::string>& problems);
    /// Lifts all faults.
    void heal();

    const std::string& folder() const { return folder_; }

private:
    struct process
    {
        std::string role;
        core::endpoint http;
        core::endpoint directory;
        std::string settings; ///< File.
        std::string data_dir;
        proxy_loop::proxy_id path = 0;
        std::optional<child_process> child;
        std::optional<absl::Time> resume_at;
        std::optional<absl::Time> writes_at;
        std::optional<absl::Time> path_at;
        std::optional<absl::Time> stop_by; ///< End of the grace time.
        bool was_harmed = false;           ///< During the planned stop.
    };

    void
    declare(const std::string& name, const std::string& role, unsigned group, unsigned n);
    void write_settings(const std::string& name, bool forms_group);
    void start(const std::string& name);
    process& at(const std::string& name) { return processes_.at(name); }
    void mark(const std::string& name, absl::Duration length);
    void
    tend_one(const std::string& name, process& it, std::vector<std::string>& problems);

    const options options_;
    proxy_loop& loop_;
    disturbances& harmed_;
    const std::string folder_;
    const std::uint16_t first_port_;
    absl::btree_map<std::string, process> processes_;
};

} // namespace cuminpitch::testing
