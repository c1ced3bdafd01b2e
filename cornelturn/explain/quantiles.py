"""Quantiles of what logs tell."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

HALF = 0.5
HIGH = 0.95


@dataclass(frozen=True, slots=True)
class Spread:
    """How some values are spread."""

    count: int
    half: int
    high: int
    most: int


def spread_of(values: Iterable[int]) -> Spread:
    """Return the spread of some values, all 0 if there are none."""
    ordered = sorted(values)
    if not ordered:
        return Spread(0, 0, 0, 0)
    return Spread(
        len(ordered), _quantile(ordered, HALF), _quantile(ordered, HIGH), ordered[-1]
    )


def _quantile(ordered: list[int], share: float) -> int:
    return ordered[math.ceil(share * len(ordered)) - 1]
