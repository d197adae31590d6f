#include "cuminpitch/assign/modulo.hpp"

#include "assign/spread_priv.hpp"
#include "cuminpitch/core/hash.hpp"

#include <algorithm>

namespace cuminpitch::assign {
namespace {

bool id_less(const member& it, const core::instance_id& id)
{
    return it.id < id;
}

} // namespace

void modulo::join(const member& it)
{
    leave(it.id);
    members_.insert(
        std::lower_bound(members_.begin(), members_.end(), it.id, id_less), it);
    ++domain_sizes_[it.domain];
}

void modulo::leave(const core::instance_id& id)
{
    const auto it = std::lower_bound(members_.begin(), members_.end(), id, id_less);
    if (it == members_.end() || it->id != id) {
        return;
    }
    remove_from_domain(domain_sizes_, it->domain);
    members_.erase(it);
}

std::vector<core::instance_id>
modulo::pick(const core::pool_id& pool, std::size_t n) const
{
    if (members_.empty()) {
        return {};
    }
    const auto start = core::hash64(pool.str()) % members_.size();
    const auto at = [&](std::size_t i) -> const member& {
        return members_[(start + i) % members_.size()];
    };
    return pick_along_ring(members_.size(), at, domain_sizes_, n);
}

} // namespace cuminpitch::assign
