"""Settings of the C library's memory allocator, which keeps freed memory for each thread."""

import ctypes

from catkinhook.units import KIB

# Parameters of ``mallopt`` in glibc.
_M_MMAP_THRESHOLD = -3
_M_ARENA_MAX = -8

# By default, threads have up to eight arenas per core, and each keeps the memory of its own peak.
MAX_ARENAS = 2
# Larger buffers are returned to the kernel when they are freed. By default, this size grows to
# 32 MiB with the buffers that are freed.
MMAP_THRESHOLD_BYTES = 128 * KIB


def limit_kept_memory() -> bool:
    """Limit the freed memory that the allocator keeps; return False where that isn't possible.

    Must be called before threads are started.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is None:
        return False
    is_threshold_set = mallopt(_M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)
    return bool(mallopt(_M_ARENA_MAX, MAX_ARENAS) and is_threshold_set)
