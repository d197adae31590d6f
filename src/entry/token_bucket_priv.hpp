#pragma once

#include "cuminpitch/core/request_rate.hpp"

#include <absl/time/time.h>

#include <algorithm>

namespace cuminpitch::entry {

/// Tokens that are added at a rate up to a capacity.
class token_bucket
{
public:
    /// Has no rate and keeps the tokens until set_rate() is called.
    token_bucket(absl::Time now, double tokens)
        : capacity_(tokens), tokens_(tokens), updated_(now)
    {
    }

    /// Sets rate and capacity from `now` on. Until then, tokens are added at the old
    /// rate.
    void set_rate(absl::Time now, core::request_rate rate, double capacity)
    {
        refill(now);
        rate_ = rate;
        capacity_ = capacity;
        tokens_ = std::min(capacity_, tokens_);
    }
    void refill(absl::Time now)
    {
        tokens_ = std::min(capacity_, tokens_ + rate_.requests_in(now - updated_));
        updated_ = now;
    }
    void take(double count) { tokens_ -= count; }
    /// Lowers the number of tokens to `most`.
    void limit(double most) { tokens_ = std::min(tokens_, most); }

    double tokens() const { return tokens_; }
    double capacity() const { return capacity_; }
    core::request_rate rate() const { return rate_; }

private:
    core::request_rate rate_;
    double capacity_;
    double tokens_;
    absl::Time updated_;
};

} // namespace cuminpitch::entry
