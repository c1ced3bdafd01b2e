"""Quantiles of figures that logs contain."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

MEDIAN = 0.5
P95 = 0.95


@dataclass(frozen=True, slots=True)
class QuantileSummary:
    """Number of some values, with their median, 95th percentile and maximum."""

    count: int
    median: int
    p95: int
    maximum: int


def summarize(values: Iterable[int]) -> QuantileSummary:
    """Return the quantiles of some values, all 0 if there are none."""
    ordered = sorted(values)
    if not ordered:
        return QuantileSummary(0, 0, 0, 0)
    return QuantileSummary(
        len(ordered), _quantile(ordered, MEDIAN), _quantile(ordered, P95), ordered[-1]
    )


def _quantile(ordered: list[int], share: float) -> int:
    return ordered[math.ceil(share * len(ordered)) - 1]
