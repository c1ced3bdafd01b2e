"""Interference of each pair of images, learnt from the figures of shared targets.

The tail latency of a serving run is taken to grow by `exp(factor * cores)` with the
cores that filling runs of an image use beside it. Factors follow the differences
between two reports, which the run's own load changes less than the filling runs do when
they start, end or change their pace.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from cornelturn.jobs.model import Run
from cornelturn.targets.model import TargetLife

DEFAULT_FACTOR = 0.1
"""Factor of a pair whose filling image was never seen beside a serving run: four cores
raise the tail latency by half."""

LEARNING_RATE = 0.25
"""Share of an error by which factors change: they differ within seconds, and what
counts for placement is their mean of some minutes."""

REGULARISATION = 0.5
"""Square of a change in cores below which a difference hardly counts, as the noise of
the figures is then larger than its effect."""

MAX_FACTOR = 3.0
"""Highest factor: one core multiplies the tail latency by twenty."""

MAX_EXPONENT = 50.0
"""Exponent from which on the expected growth stays the same: such a run fits nowhere
beside a serving one, and `math.exp` overflows above 709."""

MAX_PAIRS = 10_000
"""Most pairs that are remembered; the one learnt first is forgotten beyond that."""


class ImagePair(NamedTuple):
    """Image of a serving run, and of a filling run beside it."""

    serving: str
    filling: str


@dataclass(frozen=True, slots=True)
class Sample:
    """A report on one serving run: its latency, and the cores of filling images."""

    tail_ms: int
    cores: Mapping[str, float]


@dataclass(slots=True)
class ImageMean:
    """Sum and number of the known factors of an image."""

    total: float = 0.0
    count: int = 0


@dataclass(slots=True)
class PairFactors:
    """Factors of the pairs of images in a pool.

    Parameters
    ----------
    samples : dict
        Last sample of each serving run.
    means : dict
        Mean factor of each filling image, for pairs that were not seen yet.
    """

    factors: dict[ImagePair, float] = field(default_factory=dict)
    means: dict[str, ImageMean] = field(default_factory=dict)
    samples: dict[TargetLife, dict[Run, Sample]] = field(default_factory=dict)

    def factor(self, pair: ImagePair) -> float:
        """Return the factor of a pair, an estimate if it was not seen yet."""
        known = self.factors.get(pair)
        if known is not None:
            return known
        mean = self.means.get(pair.filling)
        return mean.total / mean.count if mean is not None else DEFAULT_FACTOR

    def learn(self, life: TargetLife, run: Run, image: str, sample: Sample) -> None:
        """Learn from a report on a serving run, compared with the one before."""
        samples = self.samples.setdefault(life, {})
        before = samples.get(run)
        samples[run] = sample
        if before is None or not before.tail_ms or not sample.tail_ms:
            return
        images = sorted(before.cores.keys() | sample.cores.keys())
        changes = {
            name: sample.cores.get(name, 0.0) - before.cores.get(name, 0.0)
            for name in images
        }
        norm = sum(change * change for change in changes.values())
        if norm <= 0:
            return
        expected = sum(
            self.factor(ImagePair(image, name)) * change
            for name, change in changes.items()
        )
        error = math.log(sample.tail_ms / before.tail_ms) - expected
        gain = LEARNING_RATE * error / (norm + REGULARISATION)
        for name, change in changes.items():
            if change:
                pair = ImagePair(image, name)
                self._set(pair, self.factor(pair) + gain * change)

    def keep(self, life: TargetLife, runs: Collection[Run]) -> None:
        """Forget the samples of a target but for those of some serving runs."""
        samples = self.samples.get(life, {})
        for run in samples.keys() - set(runs):
            del samples[run]

    def forget(self, life: TargetLife) -> None:
        """Forget the samples of a target; its factors stay."""
        self.samples.pop(life, None)

    def growth(self, serving: str, filling: str, cores: float) -> float:
        """Return by which factor the tail latency of an image is expected to grow.

        The result is finite for any number of cores, since callers choose that.
        """
        exponent = self.factor(ImagePair(serving, filling)) * cores
        return math.exp(min(exponent, MAX_EXPONENT))

    def _set(self, pair: ImagePair, factor: float) -> None:
        factor = min(MAX_FACTOR, max(0.0, factor))
        known = self.factors.get(pair)
        mean = self.means.setdefault(pair.filling, ImageMean())
        if known is None:
            mean.count += 1
            if len(self.factors) >= MAX_PAIRS:
                self._forget_pair(next(iter(self.factors)))
        mean.total += factor - (known or 0.0)
        self.factors[pair] = factor

    def _forget_pair(self, pair: ImagePair) -> None:
        mean = self.means[pair.filling]
        mean.total -= self.factors.pop(pair)
        mean.count -= 1
        if not mean.count:
            del self.means[pair.filling]
