// Measures the slopes that docs/CAPACITY.md uses: the cost of each part of the fleet,
// mostly at two or more sizes. Prints one JSON line for each slope. Takes about a minute
// and less than 2 GB of memory. Network traffic stays on 127.0.0.1. Arguments restrict
// the run to the named sections.

#include "capacity_control.hpp"
#include "capacity_entry.hpp"
#include "capacity_network.hpp"

namespace {

using namespace cuminpitch::capacity;

struct section
{
    std::string name;
    std::function<void()> measure;
};

/// Memory is measured first, while the process is still small.
const std::vector<section> sections = {
    {"memory", measure_memory},
    {"memory_parts", measure_memory_parts},
    {"messages", measure_message_bytes},
    {"compile", measure_compile},
    {"entry_change", measure_change_at_entry},
    {"control_change", measure_change_at_control},
    {"snapshot", measure_snapshot},
    {"outcomes", measure_outcomes},
    {"sync", measure_sync},
    {"raft", measure_raft},
    {"disk", measure_disk},
    {"heartbeats", measure_all_heartbeats},
    {"serving", measure_serving},
    {"questions", measure_questions},
    {"lookup", measure_lookup},
    {"dispatcher", measure_dispatcher},
    {"frames", measure_frames},
    {"large_frames", measure_large_frames},
    {"http", measure_http}};

} // namespace

int main(int argc, char** argv)
{
    const std::vector<std::string> wanted(argv + 1, argv + argc);
    for (const auto& it : sections) {
        if (wanted.empty() || std::ranges::find(wanted, it.name) != wanted.end()) {
            it.measure();
        }
    }
    return 0;
}
