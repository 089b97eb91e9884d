"""Settings of the C library's memory allocator."""

import ctypes

# Option M_MMAP_THRESHOLD of mallopt(3).
_MMAP_THRESHOLD = -3
# The allocator's own initial value.
LARGE_BLOCK_BYTES = 128 * 1024


def return_large_blocks():
    """Let large blocks go back to the system as soon as they are freed.

    By default, the first large block that is freed raises the size from which on blocks
    are returned, and the bodies of requests and answers then fragment the heap. Does
    nothing with a C library that has no such option.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is not None:
        mallopt(_MMAP_THRESHOLD, LARGE_BLOCK_BYTES)
