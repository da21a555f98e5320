"""Random numbers by purpose: one generator each, so that a change in one place leaves the others alone.

A stream is named by words ("arrivals", "n1"). Its numpy generator is spawned from the seed and a hash
of those words that is alike in every process; see numpy's "Parallel random number generation".
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator, Sequence
from itertools import accumulate
from zlib import crc32

import numpy as np

# Numbers drawn at once: one at a time costs numpy some ten times as much each. The first blocks are small, as
# a large fleet has thousands of streams of which most give few numbers.
FIRST_BLOCK, BLOCK = 8, 512


class Draws:
    """Streams of random numbers of one scenario."""

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def generator(self, *purpose: str) -> np.random.Generator:
        """Give the generator of a purpose; the same words give the same numbers."""
        key = tuple(crc32(word.encode()) for word in purpose)
        return np.random.default_rng(np.random.SeedSequence(self.seed, spawn_key=key))

    def number(self, *purpose: str) -> int:
        """Give one whole number below 2**63, as a seed for what draws by itself."""
        return int(self.generator(*purpose).integers(2**63))

    def stream(
        self, block: Callable[[np.random.Generator, int], np.ndarray], *purpose: str
    ) -> Iterator[float]:
        """Give numbers without end, drawn in blocks."""
        generator = self.generator(*purpose)
        size = FIRST_BLOCK
        while True:
            yield from block(generator, size).tolist()
            size = min(2 * size, BLOCK)

    def uniform(self, *purpose: str) -> Iterator[float]:
        """Give numbers from 0 to 1."""
        return self.stream(lambda g, n: g.random(n), *purpose)

    def exponential(self, *purpose: str) -> Iterator[float]:
        """Give gaps of a Poisson process, of mean 1."""
        return self.stream(lambda g, n: g.exponential(size=n), *purpose)

    def spread(self, cv: float, *purpose: str) -> Iterator[float]:
        """Give log-normal factors of mean 1 and a coefficient of variation; ones where that is 0."""
        if cv <= 0:
            return iter(lambda: 1.0, None)
        sigma = math.sqrt(math.log(1 + cv * cv))
        return self.stream(lambda g, n: g.lognormal(-sigma * sigma / 2, sigma, n), *purpose)

    def work(self, shape: str, mean: float, cv: float, *purpose: str) -> Iterator[float]:
        """Give the work of jobs: log-normal, Pareto, exponential or constant, of a mean and a cv.

        A Pareto's index follows from its cv (cv**2 = 1 / (a (a - 2))), its least value from its mean.
        """
        if shape == "constant" or (cv <= 0 and shape != "exponential"):
            return iter(lambda: mean, None)
        if shape == "exponential":
            return self.stream(lambda g, n: g.exponential(mean, n), *purpose)
        if shape == "pareto":
            index = 1 + math.sqrt(1 + 1 / (cv * cv))
            least = mean * (index - 1) / index
            return self.stream(lambda g, n: least * (1 + g.pareto(index, n)), *purpose)
        if shape == "lognormal":
            return (mean * factor for factor in self.spread(cv, *purpose))
        raise ValueError(f"unknown distribution {shape!r}")


class Choice:
    """Draws an index by weights."""

    def __init__(self, weights: Sequence[float], uniform: Iterator[float]) -> None:
        total = sum(weights)
        if not total > 0:
            raise ValueError("weights must sum to more than zero")
        self.edges = [edge / total for edge in accumulate(weights)]
        self.uniform = uniform

    def __call__(self) -> int:
        """Draw."""
        u = next(self.uniform)
        return next((n for n, edge in enumerate(self.edges) if u < edge), len(self.edges) - 1)
