"""Medians, spreads and fitted slopes of repeated measurements."""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np


@dataclass(frozen=True, slots=True)
class Row:
    """The repeated values of a measurement at one value of the varied parameter."""

    size: float
    values: tuple[float, ...]

    @property
    def median(self) -> float:
        """Return the median of the repeats."""
        return float(np.median(self.values))

    @property
    def spread(self) -> float:
        """Return the range of the repeats divided by their median."""
        return (max(self.values) - min(self.values)) / self.median if self.median else 0.0


@dataclass(frozen=True, slots=True)
class Slope:
    """A straight line fitted to the medians, with its residual."""

    base: float
    each: float
    residual: float  # root mean square of the residuals, divided by the mean of the medians


def slope_of(rows: list[Row]) -> Slope:
    """Return the line of least squares; with fewer than two sizes its slope is 0."""
    sizes = np.array([row.size for row in rows])
    medians = np.array([row.median for row in rows])
    if len(rows) < 2:
        return Slope(float(medians[0]) if len(rows) else 0.0, 0.0, 0.0)
    each, base = np.polyfit(sizes, medians, 1)
    residuals = medians - (base + each * sizes)
    mean = float(np.mean(np.abs(medians))) or 1.0
    return Slope(float(base), float(each), float(np.sqrt(np.mean(residuals**2)) / mean))
