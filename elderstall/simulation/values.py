"""The data types of a scenario file: functions that convert a key's text to a number, a time or a word.

Each raises ValueError with the expected form, and ZConfig adds file and line. ``schema.xml`` names them.
"""

from __future__ import annotations

import math
import re
from collections.abc import Callable

MS_PER_UNIT = {"ms": 1.0, "s": 1_000.0, "m": 60_000.0, "h": 3_600_000.0}
DURATION = re.compile(r"([0-9]+(?:\.[0-9]+)?)\s*(ms|s|m|h)")
NUMBER = re.compile(r"[0-9]+(?:\.[0-9]+)?(?:e-?[0-9]+)?", re.IGNORECASE)


def duration(text: str) -> float:
    """Return a time, ``250ms``, ``1.5s``, ``2m`` or ``1h``, in milliseconds."""
    match = DURATION.fullmatch(text.strip())
    if match is None:
        raise ValueError(f"{text!r} is not a time of at least 0 with its unit, such as 250ms, 1.5s, 2m or 1h")
    return float(match[1]) * MS_PER_UNIT[match[2]]


def span(text: str) -> float:
    """Return a time above zero, in milliseconds."""
    value = duration(text)
    if value <= 0:
        raise ValueError(f"{text!r} must be above zero")
    return value


def amount(text: str) -> float:
    """Return a number of at least zero."""
    if NUMBER.fullmatch(text.strip()) is None or not math.isfinite(float(text)):
        raise ValueError(f"{text!r} is not a number of at least 0")
    return float(text)


def factor(text: str) -> float:
    """Return a number above zero."""
    value = amount(text)
    if value <= 0:
        raise ValueError(f"{text!r} must be above zero")
    return value


def whole(text: str) -> int:
    """Return a whole number of at least zero."""
    if not text.strip().isdigit():
        raise ValueError(f"{text!r} is not a whole number of at least 0")
    return int(text)


def count(text: str) -> int:
    """Return a whole number of at least one."""
    value = whole(text)
    if value < 1:
        raise ValueError(f"{text!r} must be at least 1")
    return value


def share(text: str) -> float:
    """Return a share, ``25%`` or ``0.25``; the caller checks whether it may exceed 100%."""
    text = text.strip()
    if text.endswith("%"):
        return amount(text[:-1]) / 100
    return amount(text)


def part(text: str) -> float:
    """Return a share above 0 and at most 1."""
    value = share(text)
    if not 0 < value <= 1:
        raise ValueError(f"{text!r} is not a share above 0 and of at most 100%")
    return value


def word(text: str) -> str:
    """Return one word in lower case."""
    text = text.strip().lower()
    if not text or len(text.split()) != 1:
        raise ValueError(f"{text!r} is not one word")
    return text


def words(text: str) -> tuple[str, ...]:
    """Return the words of a list, in lower case."""
    return tuple(text.lower().split())


def numbers(text: str) -> tuple[float, ...]:
    """Return the numbers of a list, each at least zero."""
    return tuple(amount(item) for item in text.split())


def shape(text: str) -> tuple[tuple[float, float], ...]:
    """Return the times (ms) and factors of ``0s=0.9 10s=1.2``; between them the factor changes linearly."""
    points = []
    for item in text.split():
        time_text, equals, factor_text = item.partition("=")
        if not equals:
            raise ValueError(f"{item!r} is not of the form TIME=FACTOR")
        points.append((duration(time_text), amount(factor_text)))
    if points != sorted(points, key=lambda point: point[0]):
        raise ValueError("the times must be in ascending order")
    return tuple(points)


def one_of(*accepted: str) -> Callable[[str], str]:
    """Return a data type that accepts one of these words."""

    def read(text: str) -> str:
        value = word(text)
        if value not in accepted:
            raise ValueError(f"{text!r} is not one of {', '.join(accepted)}")
        return value

    return read


warm_by = one_of("time", "work")
cancel = one_of("none", "waiting", "all")
distribution = one_of("lognormal", "pareto", "exponential", "constant")
effect = one_of("safe", "unsafe")
policy = one_of("plain", "library")
