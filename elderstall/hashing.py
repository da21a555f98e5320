"""A hash of strings that is the same in every process and dispatcher, unlike Python's ``hash``."""

from __future__ import annotations

from zlib import crc32

HASH_SPACE = 2**32
HASH_MULTIPLIER = 2654435761  # Knuth's multiplicative hashing: a prime near 2**32 divided by the golden ratio


def stable_hash(text: str) -> int:
    """Return the hash of a string, from 0 to HASH_SPACE - 1."""
    return crc32(text.encode()) * HASH_MULTIPLIER % HASH_SPACE
