"""The values of a scenario's script: how a key's text becomes a number, a time or a word, or why it does not.

Each takes the text and raises ValueError with what was wanted; ZConfig adds the place.
"""

from __future__ import annotations

import math
import re
from collections.abc import Callable

UNITS = {"ms": 1.0, "s": 1_000.0, "m": 60_000.0, "h": 3_600_000.0}
DURATION = re.compile(r"([0-9]+(?:\.[0-9]+)?)\s*(ms|s|m|h)")
NUMBER = re.compile(r"[0-9]+(?:\.[0-9]+)?(?:e-?[0-9]+)?", re.IGNORECASE)


def duration(text: str) -> float:
    """Read a time, ``250ms``, ``1.5s``, ``2m`` or ``1h``, as milliseconds."""
    found = DURATION.fullmatch(text.strip())
    if found is None:
        raise ValueError(f"{text!r} is no time from 0, such as 250ms, 1.5s, 2m or 1h")
    return float(found[1]) * UNITS[found[2]]


def span(text: str) -> float:
    """Read a time above zero, as milliseconds."""
    value = duration(text)
    if value <= 0:
        raise ValueError(f"{text!r} must be above zero")
    return value


def amount(text: str) -> float:
    """Read a number from zero."""
    if NUMBER.fullmatch(text.strip()) is None or not math.isfinite(float(text)):
        raise ValueError(f"{text!r} is no number from 0")
    return float(text)


def factor(text: str) -> float:
    """Read a number above zero."""
    value = amount(text)
    if value <= 0:
        raise ValueError(f"{text!r} must be above zero")
    return value


def whole(text: str) -> int:
    """Read a whole number from zero."""
    if not text.strip().isdigit():
        raise ValueError(f"{text!r} is no whole number from 0")
    return int(text)


def count(text: str) -> int:
    """Read a whole number from one."""
    value = whole(text)
    if value < 1:
        raise ValueError(f"{text!r} must be at least 1")
    return value


def share(text: str) -> float:
    """Read a share, ``25%`` or ``0.25``; whether it may be above the whole is for others to check."""
    text = text.strip()
    if text.endswith("%"):
        return amount(text[:-1]) / 100
    return amount(text)


def part(text: str) -> float:
    """Read a share above 0, at most 1."""
    value = share(text)
    if not 0 < value <= 1:
        raise ValueError(f"{text!r} is no share above 0 and at most 100%")
    return value


def word(text: str) -> str:
    """Read one word; case does not matter."""
    text = text.strip().lower()
    if not text or len(text.split()) != 1:
        raise ValueError(f"{text!r} is not one word")
    return text


def words(text: str) -> tuple[str, ...]:
    """Read words."""
    return tuple(text.lower().split())


def numbers(text: str) -> tuple[float, ...]:
    """Read numbers from zero."""
    return tuple(amount(item) for item in text.split())


def shape(text: str) -> tuple[tuple[float, float], ...]:
    """Read ``0s=0.9 10s=1.2``: times and factors, between which the factor moves evenly."""
    points = []
    for item in text.split():
        when, equals, factor_text = item.partition("=")
        if not equals:
            raise ValueError(f"{item!r} is not TIME=FACTOR")
        points.append((duration(when), amount(factor_text)))
    if points != sorted(points, key=lambda point: point[0]):
        raise ValueError("its times must ascend")
    return tuple(points)


def one_of(*known: str) -> Callable[[str], str]:
    """Read one of some words."""

    def read(text: str) -> str:
        value = word(text)
        if value not in known:
            raise ValueError(f"{text!r} is none of {', '.join(known)}")
        return value

    return read


warm_by = one_of("time", "work")
cancel = one_of("none", "waiting", "all")
distribution = one_of("lognormal", "pareto", "exponential", "constant")
effect = one_of("safe", "unsafe")
policy = one_of("plain", "library")
