"""The resident memory of this process, and the return of freed memory to the system."""

from __future__ import annotations

import contextlib
import ctypes
import os

STATM_PATH = "/proc/self/statm"  # sizes in pages: total, resident, shared, ...
MAX_STATM_BYTES = 128
RESIDENT_FIELD = 1


class ResidentMemory:
    """Reads the resident memory; where the system does not report it, all readings are 0."""

    def __init__(self, path: str = STATM_PATH) -> None:
        self.page_bytes = os.sysconf("SC_PAGE_SIZE")
        self.descriptor: int | None = None
        # Kept open, as descriptors may have run out by the time that a reading matters.
        with contextlib.suppress(OSError):
            self.descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC)

    def read(self) -> int:
        """Return the resident memory, bytes, or 0 if it is unknown."""
        if self.descriptor is None:
            return 0
        try:
            fields = os.pread(self.descriptor, MAX_STATM_BYTES, 0).split()
            return int(fields[RESIDENT_FIELD]) * self.page_bytes
        except (OSError, ValueError, IndexError):
            return 0

    def close(self) -> None:
        """Close the descriptor."""
        if self.descriptor is not None:
            os.close(self.descriptor)
            self.descriptor = None


def return_free_memory() -> None:
    """Return freed memory to the system, where the C library can (glibc)."""
    with contextlib.suppress(OSError, AttributeError):
        ctypes.CDLL(None).malloc_trim(0)
