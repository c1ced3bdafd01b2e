"""Amounts of resources as tuples, in messages and in the arithmetic of allotments."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from cornelturn.jobs.model import Resources
from cornelturn.model.decoding import Int64
from cornelturn.model.organisations import Organisation


class Amount(NamedTuple):
    """Amount of each resource; encoded without the names of its fields.

    Parameters
    ----------
    cpu : int
        Thousandths of a core.
    mem_mb : int
        Memory in megabytes.
    gpu : int
        Number of accelerators.
    """

    cpu: Int64 = 0
    mem_mb: Int64 = 0
    gpu: Int64 = 0

    def plus(self, other: Amount) -> Amount:
        """Return the sum of two amounts."""
        return Amount(self[0] + other[0], self[1] + other[1], self[2] + other[2])

    def minus(self, other: Amount) -> Amount:
        """Return the difference of two amounts."""
        return Amount(self[0] - other[0], self[1] - other[1], self[2] - other[2])

    def times(self, count: int) -> Amount:
        """Return this amount several times."""
        return Amount(self[0] * count, self[1] * count, self[2] * count)

    def highest(self, other: Amount) -> Amount:
        """Return the larger of two amounts for each resource."""
        return Amount(
            max(self[0], other[0]), max(self[1], other[1]), max(self[2], other[2])
        )

    def lowest(self, other: Amount) -> Amount:
        """Return the smaller of two amounts for each resource."""
        return Amount(
            min(self[0], other[0]), min(self[1], other[1]), min(self[2], other[2])
        )

    def limited_by(self, cap: Amount) -> Amount:
        """Return the part of an amount that a cap limits, 0 of other resources."""
        return Amount(
            self[0] if cap[0] else 0, self[1] if cap[1] else 0, self[2] if cap[2] else 0
        )

    def fits_in(self, available: Amount) -> bool:
        """Return whether an amount is at most another one, for each resource."""
        return (
            self[0] <= available[0]
            and self[1] <= available[1]
            and self[2] <= available[2]
        )

    def count_in(self, available: Amount) -> int:
        """Return how often an amount fits in another one; at least one is positive."""
        return max(
            0,
            min(
                room // size for size, room in zip(self, available, strict=True) if size
            ),
        )


NOTHING = Amount()

UNBOUNDED = Amount(1 << 40, 1 << 40, 1 << 40)
"""Larger than any cap; stands for an amount of which no bound is known."""


def caps_of(organisations: Iterable[Organisation]) -> dict[str, Amount]:
    """Return the caps of the organisations that have one, by their names."""
    return {
        organisation.name: amount_of(organisation.cap)
        for organisation in organisations
        if organisation.has_cap()
    }


def amount_of(resources: Resources) -> Amount:
    """Return the amount of some resources."""
    return Amount(resources.cpu, resources.mem_mb, resources.gpu)
