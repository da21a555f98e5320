"""Medians, spreads and fitted slopes of repeated measurements."""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np


@dataclass(frozen=True, slots=True)
class Row:
    """One size of a measurement: what varies, and the repeats."""

    size: float
    values: tuple[float, ...]

    @property
    def median(self) -> float:
        """Give the middle repeat."""
        return float(np.median(self.values))

    @property
    def spread(self) -> float:
        """Give the range of the repeats over their median."""
        return (max(self.values) - min(self.values)) / self.median if self.median else 0.0


@dataclass(frozen=True, slots=True)
class Slope:
    """A straight line through the medians, with what it leaves unexplained."""

    base: float
    each: float
    residual: float  # root mean square of what is left, over the mean of the medians


def slope_of(rows: list[Row]) -> Slope:
    """Fit a line by least squares; with one size there is none."""
    sizes, medians = np.array([row.size for row in rows]), np.array([row.median for row in rows])
    if len(rows) < 2:
        return Slope(float(medians[0]) if len(rows) else 0.0, 0.0, 0.0)
    each, base = np.polyfit(sizes, medians, 1)
    left = medians - (base + each * sizes)
    mean = float(np.mean(np.abs(medians))) or 1.0
    return Slope(float(base), float(each), float(np.sqrt(np.mean(left**2)) / mean))
