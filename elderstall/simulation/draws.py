"""Random numbers by purpose: each has its own generator, so one purpose's draws do not affect another's.

A stream is named by words ("arrivals", "n1"). Its numpy generator is spawned from the seed and a hash
of those words that is the same in every process; see numpy's "Parallel random number generation".
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator, Sequence
from itertools import accumulate
from zlib import crc32

import numpy as np

# Numbers are drawn in blocks: one at a time costs numpy some ten times as much each. The first blocks are
# small, as most of the thousands of streams of a large fleet yield few numbers.
FIRST_BLOCK_SIZE = 8
MAX_BLOCK_SIZE = 512


class Draws:
    """Streams of random numbers of one simulation run."""

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def generator(self, *purpose: str) -> np.random.Generator:
        """Return the generator of a purpose; the same words yield the same numbers."""
        key = tuple(crc32(word.encode()) for word in purpose)
        return np.random.default_rng(np.random.SeedSequence(self.seed, spawn_key=key))

    def number(self, *purpose: str) -> int:
        """Return one integer below 2**63, as a seed for a component with its own generator."""
        return int(self.generator(*purpose).integers(2**63))

    def stream(
        self, block: Callable[[np.random.Generator, int], np.ndarray], *purpose: str
    ) -> Iterator[float]:
        """Yield random numbers without end, drawn in blocks."""
        generator = self.generator(*purpose)
        size = FIRST_BLOCK_SIZE
        while True:
            yield from block(generator, size).tolist()
            size = min(2 * size, MAX_BLOCK_SIZE)

    def uniform(self, *purpose: str) -> Iterator[float]:
        """Return uniform numbers from 0 to 1."""
        return self.stream(lambda generator, size: generator.random(size), *purpose)

    def exponential(self, *purpose: str) -> Iterator[float]:
        """Return intervals of a Poisson process, of mean 1."""
        return self.stream(lambda generator, size: generator.exponential(size=size), *purpose)

    def lognormal_factors(self, cv: float, *purpose: str) -> Iterator[float]:
        """Return log-normal factors of mean 1 and a coefficient of variation; all 1 where that is 0."""
        if cv <= 0:
            return iter(lambda: 1.0, None)
        sigma = math.sqrt(math.log(1 + cv * cv))
        return self.stream(
            lambda generator, size: generator.lognormal(-sigma * sigma / 2, sigma, size), *purpose
        )

    def work(self, shape: str, mean: float, cv: float, *purpose: str) -> Iterator[float]:
        """Return the work of jobs: log-normal, Pareto, exponential or constant, of a mean and a cv.

        A Pareto's index follows from its cv (cv**2 = 1 / (a (a - 2))), its minimum from its mean.
        """
        if shape == "constant" or (cv <= 0 and shape != "exponential"):
            return iter(lambda: mean, None)
        if shape == "exponential":
            return self.stream(lambda generator, size: generator.exponential(mean, size), *purpose)
        if shape == "pareto":
            index = 1 + math.sqrt(1 + 1 / (cv * cv))
            minimum = mean * (index - 1) / index
            return self.stream(
                lambda generator, size: minimum * (1 + generator.pareto(index, size)), *purpose
            )
        if shape == "lognormal":
            return (mean * factor for factor in self.lognormal_factors(cv, *purpose))
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
        """Return the next random index."""
        draw = next(self.uniform)
        return next((index for index, edge in enumerate(self.edges) if draw < edge), len(self.edges) - 1)
