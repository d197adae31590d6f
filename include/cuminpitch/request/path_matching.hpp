#pragma once

#include <variant>

namespace cuminpitch::request {

/// Prefixes match whole segments of the normalized path: "/scan" and "/scan/" match
/// "/scan" and "/scan/7", but not "/scanner". Normalizing decodes percent-encoded
/// unreserved characters and merges repeated slashes; paths with dot segments are
/// refused.
struct segment_matching
{
};

/// A prefix matches the paths that begin with its bytes: "/scan/" matches "/scan/7", but
/// neither "/scan" nor "//scan/7". Paths are compared as they were received.
struct byte_matching
{
};

/// How route prefixes are compared with the path of a request.
using path_matching = std::variant<segment_matching, byte_matching>;

} // namespace cuminpitch::request
