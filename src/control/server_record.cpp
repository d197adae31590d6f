#include "cuminpitch/control/server_record.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace cuminpitch::control {
namespace {

using upstream::availability;

/// The fields of an announcement that make it a change. The sequence and the remaining
/// cold start time differ in each renewal and don't count.
auto compared_fields(const server_record& it)
{
    const auto& a = it.announcement;
    return std::tie(it.pool, a.state, a.address, a.failure_domain, a.slots);
}

bool is_departed(const server_record& it)
{
    return it.announcement.state == availability::gone;
}

void evict_departed(server_records& known)
{
    std::size_t departed = std::count_if(known.begin(), known.end(), [](const auto& it) {
        return is_departed(it.second);
    });
    while (departed > departed_server_limit) {
        auto oldest = known.end();
        for (auto it = known.begin(); it != known.end(); ++it) {
            const bool is_older =
                oldest == known.end() || it->second.announcement.incarnation <
                                             oldest->second.announcement.incarnation;
            if (is_departed(it->second) && is_older) {
                oldest = it;
            }
        }
        known.erase(oldest);
        --departed;
    }
}

} // namespace

bool is_replaced(const server_records& known, const server_record& it)
{
    return std::any_of(known.begin(), known.end(), [&](const auto& other) {
        const auto& a = other.second.announcement;
        return other.first != it.announcement.server &&
               a.address == it.announcement.address &&
               a.incarnation > it.announcement.incarnation;
    });
}

announcement_effect effect_of(const server_records& known, const server_record& it)
{
    const auto& next = it.announcement;
    const auto found = known.find(next.server);
    if (found != known.end()) {
        const auto& last = found->second.announcement;
        if (next.incarnation < last.incarnation) {
            return announcement_effect::outdated;
        }
        if (next.incarnation == last.incarnation) {
            if (next.state < last.state) {
                return announcement_effect::outdated;
            }
            // A departure carries no sequence, so its sequence can't be outdated.
            if (next.state != availability::gone && next.sequence < last.sequence) {
                return announcement_effect::outdated;
            }
            if (last.state == availability::gone ||
                compared_fields(it) == compared_fields(found->second)) {
                return announcement_effect::none;
            }
        }
    }
    if (next.state == availability::active && is_replaced(known, it)) {
        return announcement_effect::outdated;
    }
    return announcement_effect::changes;
}

void apply_announcement(server_records& known, const server_record& it)
{
    const auto& next = it.announcement;
    server_record record = it;
    const auto found = known.find(next.server);
    if (next.state == availability::gone && found != known.end()) {
        // A departure may contain only the server id; the other fields are kept.
        record = found->second;
        record.announcement.state = availability::gone;
        record.announcement.incarnation =
            std::max(record.announcement.incarnation, next.incarnation);
    }
    if (next.state == availability::active) {
        for (auto& [id, other] : known) {
            if (id != next.server && other.announcement.address == next.address) {
                other.announcement.state = availability::gone;
            }
        }
    }
    known.insert_or_assign(next.server, std::move(record));
    evict_departed(known);
}

} // namespace cuminpitch::control
