#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <deque>

namespace cuminpitch::entry {

/// Permits that were granted to this entry. Those of one grant expire together.
class held_permits
{
public:
    void add(absl::Time now, std::uint32_t count, absl::Time expire)
    {
        remove_expired(now);
        if (count > 0 && now < expire) {
            grants_.push_back({count, expire});
            count_ += count;
        }
    }
    /// Takes one of the permits that expire first. False if there is none.
    bool take(absl::Time now)
    {
        remove_expired(now);
        if (count_ == 0) {
            return false;
        }
        --count_;
        if (--grants_.front().count == 0) {
            grants_.pop_front();
        }
        return true;
    }
    std::uint32_t count(absl::Time now) const
    {
        std::uint32_t out = 0;
        for (const auto& it : grants_) {
            out += now < it.expire ? it.count : 0;
        }
        return out;
    }
    /// Removes expired permits and returns their number.
    std::uint32_t remove_expired(absl::Time now)
    {
        std::uint32_t out = 0;
        std::erase_if(grants_, [&](const grant& it) {
            out += now < it.expire ? 0 : it.count;
            return now >= it.expire;
        });
        count_ -= out;
        return out;
    }
    /// When the first of them expires.
    absl::Time expire() const
    {
        return grants_.empty() ? absl::InfinitePast() : grants_.front().expire;
    }

private:
    struct grant
    {
        std::uint32_t count = 0;
        absl::Time expire;
    };

    std::deque<grant> grants_;
    std::uint32_t count_ = 0;
};

} // namespace cuminpitch::entry
