#include "incoming_body_priv.hpp"

#include "request_checks_priv.hpp"

#include <algorithm>

namespace cuminpitch::http {

void incoming_body::announce(std::uint64_t bytes)
{
    announced_bytes_ = bytes;
    if (bytes > limits_.max_body_bytes) {
        refuse(not_run_refusal(413, "request-too-large"));
    } else if (!hold(bytes)) {
        refuse(memory_refusal());
    }
}

void incoming_body::append(std::string_view piece)
{
    const std::size_t total = body_.size() + piece.size();
    if (!refused_ && total > limits_.max_body_bytes) {
        refuse(not_run_refusal(413, "request-too-large"));
    } else if (!refused_ && !hold(total)) {
        refuse(memory_refusal());
    }
    if (refused_) {
        discarded_bytes_ += piece.size();
    } else {
        body_.append(piece);
    }
}

bool incoming_body::is_endless() const
{
    return discarded_bytes_ > discard_limit_bytes ||
           (refused_ && announced_bytes_ > discard_limit_bytes + limits_.max_body_bytes);
}

/// Counts the memory before it is used. The body of a chunked request grows by half of
/// its size at a time. Returns false if the bodies of all requests would exceed their
/// limit.
bool incoming_body::hold(std::size_t bytes)
{
    if (bytes <= held_bytes_) {
        return true;
    }
    const std::size_t wanted = std::min<std::uint64_t>(
        limits_.max_body_bytes, std::max(bytes, body_.size() + body_.size() / 2));
    const auto added = wanted - held_bytes_;
    if ((held_ += added) > limits_.max_held_bytes && wanted > limits_.small_body_bytes) {
        held_ -= added;
        return false;
    }
    held_bytes_ = wanted;
    body_.reserve(wanted);
    return true;
}

void incoming_body::refuse(refusal why)
{
    refused_ = std::move(why);
    body_ = std::string();
    held_ -= held_bytes_;
    held_bytes_ = 0;
}

} // namespace cuminpitch::http
