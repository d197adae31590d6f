#include "daemon/allocator_priv.hpp"

#include <malloc.h>

namespace cuminpitch::daemon {
namespace {

constexpr int large_block_bytes = 256 << 10;

} // namespace

void return_large_blocks()
{
    mallopt(M_MMAP_THRESHOLD, large_block_bytes);
}

} // namespace cuminpitch::daemon
