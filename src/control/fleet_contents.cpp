#include "cuminpitch/control/fleet_contents.hpp"

#include <absl/strings/match.h>

namespace cuminpitch::control {
namespace {

struct command_applier
{
    fleet_contents& contents;
    core::revision revision;

    bool operator()(const change& it) const
    {
        for (const auto& op : it.operations) {
            if (op.value) {
                contents.settings.insert_or_assign(op.path, *op.value);
            } else {
                erase_subtree(op.path);
            }
        }
        if (it.document) {
            contents.document = *it.document;
        }
        return true;
    }
    bool operator()(const entry_joined& it) const
    {
        contents.entries.insert_or_assign(
            it.entry.id, entry_member{it.entry, it.incarnation});
        return false;
    }
    bool operator()(const entry_removed& it) const
    {
        contents.entries.erase(it.id);
        return false;
    }
    bool operator()(const set_assignment& it) const
    {
        contents.assignments.insert_or_assign(
            it.pool, pool_assignment{revision, it.entries});
        return false;
    }
    bool operator()(const server_announced& it) const
    {
        apply_announcement(contents.servers, it.server);
        return false;
    }

private:
    void erase_subtree(const std::string& path) const
    {
        contents.settings.erase(path);
        const auto prefix = path + "/";
        const auto first = contents.settings.lower_bound(prefix);
        auto last = first;
        while (last != contents.settings.end() && absl::StartsWith(last->first, prefix)) {
            ++last;
        }
        contents.settings.erase(first, last);
    }
};

} // namespace

void append_paths(const change& it, std::vector<std::string>& to)
{
    for (const auto& op : it.operations) {
        to.push_back(op.path);
    }
}

std::size_t memory_bytes(const command& it)
{
    // Bookkeeping of the allocator for a string that doesn't fit into its object.
    constexpr std::size_t string_overhead = 24;
    std::size_t n = sizeof(numbered_command);
    if (const auto* settings_change = std::get_if<change>(&it)) {
        n += settings_change->id.str().size() + string_overhead;
        for (const auto& op : settings_change->operations) {
            n += sizeof(operation) + op.path.size() + string_overhead;
            n += op.value ? op.value->size() : 0;
        }
        if (settings_change->document) {
            n += settings_change->document->source.size();
        }
    } else if (const auto* list = std::get_if<set_assignment>(&it)) {
        n += list->entries.size() * (sizeof(core::instance_id) + string_overhead);
    }
    return n;
}

command without_document_source(command it)
{
    auto* settings_change = std::get_if<change>(&it);
    if (settings_change != nullptr && settings_change->document) {
        settings_change->document->source.clear();
    }
    return it;
}

bool apply_command(fleet_contents& contents, const numbered_command& it)
{
    contents.revision = it.revision;
    return std::visit(command_applier{contents, it.revision}, it.command);
}

} // namespace cuminpitch::control
