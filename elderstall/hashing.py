"""A hash of texts that is alike in every process and at every dispatcher, unlike Python's own."""

from __future__ import annotations

from zlib import crc32

HASH_SPACE = 2**32
HASH_MULTIPLIER = 2654435761  # Knuth's multiplicative hashing: the golden ratio of 2**32


def stable_hash(text: str) -> int:
    """Hash a text to 0 .. HASH_SPACE - 1."""
    return crc32(text.encode()) * HASH_MULTIPLIER % HASH_SPACE
