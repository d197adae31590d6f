#include "cuminpitch/control/memory_limits.hpp"

namespace cuminpitch::control {
namespace {

constexpr std::uint32_t default_memory_mb = 256;

} // namespace

memory_limits memory_limits_for(std::uint32_t memory_mb)
{
    const std::size_t memory = std::size_t{memory_mb == 0 ? default_memory_mb : memory_mb}
                               << 20U;
    memory_limits it{};
    it.history = memory / 32;
    it.recent_commands = memory / 32;
    it.log = memory / 16;
    it.kept_log = memory / 64;
    it.uncommitted_log = memory / 32;
    it.unacknowledged_log = memory / 256;
    it.waiting_documents = memory / 16;
    it.received_frames = memory / 16;
    it.queued_frames = memory / 8;
    return it;
}

std::size_t total_of(const memory_limits& it, std::size_t members)
{
    return it.history + it.recent_commands + it.log + it.kept_log + it.uncommitted_log +
           members * it.unacknowledged_log + it.waiting_documents + it.received_frames +
           it.queued_frames;
}

} // namespace cuminpitch::control
