#pragma once

#include <absl/time/time.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace cuminpitch::entry {

/// Permits that were granted to this entry. They expire together, when the oldest of them
/// does.
class held_permits
{
public:
    void add(absl::Time now, std::uint32_t count, absl::Time expire)
    {
        if (now >= expire_) {
            count_ = 0;
        }
        if (now < expire) {
            expire_ = count_ > 0 ? std::min(expire_, expire) : expire;
            count_ += count;
        }
    }
    /// Takes one permit. False if there is none.
    bool take(absl::Time now)
    {
        if (count(now) == 0) {
            return false;
        }
        --count_;
        return true;
    }
    std::uint32_t count(absl::Time now) const { return now < expire_ ? count_ : 0; }
    /// Removes expired permits and returns their number.
    std::uint32_t remove_expired(absl::Time now)
    {
        return now < expire_ ? 0 : std::exchange(count_, 0);
    }
    void clear() { count_ = 0; }
    absl::Time expire() const { return expire_; }

private:
    std::uint32_t count_ = 0;
    absl::Time expire_ = absl::InfinitePast();
};

} // namespace cuminpitch::entry
