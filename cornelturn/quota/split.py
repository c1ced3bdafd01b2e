"""Splits the cap of an organisation between the pools where it has work."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from cornelturn.quota.amounts import NOTHING, Amount

SPLIT_ROUNDS = 6
"""Rounds that hand out what whole tasks leave of the cap; each hands out most of it."""


@dataclass(frozen=True, slots=True)
class PoolDemand:
    """What an organisation has and wants in one pool, of the capped resources.

    Parameters
    ----------
    held : Amount
        What it has or may have running.
    waiting : Amount
        What its waiting tasks need.
    unit : Amount
        Largest amount that must start at once, at most the cap.
    idle_since_ms : int or None
        Since when it has work waiting and none running, None if it has.
    """

    held: Amount
    waiting: Amount
    unit: Amount
    idle_since_ms: int | None = None

    def wanted(self) -> Amount:
        """Return what it would have running without a cap."""
        return self.held.plus(self.waiting)


def split(cap: Amount, demands: Sequence[PoolDemand]) -> list[Amount]:
    """Return the amount of each demand; their sum is at most the cap.

    Each gets what it wants, or an equal part if that is less. Parts are rounded down to
    whole tasks, as a pool can't use less, and what is left over goes to the demands in
    turn. A demand with nothing running that would get less than one task is served
    first, the one that has waited longest before the others; else an organisation that
    fills its cap in one pool would never start a large task in another.
    """
    targets = _levels(cap, [demand.wanted() for demand in demands])
    amounts: dict[int, Amount] = {}
    free = cap
    idle = [
        number
        for number, demand in enumerate(demands)
        if _is_unserved(demand, targets, number)
    ]
    for number in sorted(idle, key=lambda index: (demands[index].idle_since_ms, index)):
        unit = demands[number].unit
        if unit.fits_in(free):
            amounts[number] = unit
            free = free.minus(unit)
    others = [number for number in range(len(demands)) if number not in amounts]
    if amounts:
        wanted = [demands[number].wanted() for number in others]
        for number, target in zip(others, _levels(free, wanted), strict=True):
            targets[number] = target
    for number in others:
        amounts[number] = _whole_tasks(demands[number], targets[number])
    rest = cap
    for amount in amounts.values():
        rest = rest.minus(amount)
    rest = _give_tasks(rest, demands, amounts)
    return _give_equally(rest, [amounts[number] for number in range(len(demands))])


def _is_unserved(demand: PoolDemand, targets: list[Amount], number: int) -> bool:
    return demand.idle_since_ms is not None and not demand.unit.fits_in(targets[number])


def _levels(cap: Amount, wanted: list[Amount]) -> list[Amount]:
    """Return what each gets of each resource: what it wants, or an equal part."""
    if not wanted:
        return []
    levels = [
        _level(limit, sorted(amounts))
        for limit, amounts in zip(cap, zip(*wanted, strict=True), strict=True)
    ]
    level = Amount(*levels)
    return [amount.lowest(level) for amount in wanted]


def _level(limit: int, ascending: list[int]) -> int:
    """Return the amount to which each is limited; the sum is then within a limit."""
    left = limit
    for number, amount in enumerate(ascending):
        sharers = len(ascending) - number
        if amount * sharers >= left:
            return max(0, left // sharers)
        left -= amount
    return ascending[-1]


def _whole_tasks(demand: PoolDemand, target: Amount) -> Amount:
    """Return a target rounded down to what runs and whole tasks."""
    room = target.minus(demand.held)
    if min(room) < 0 or demand.unit == NOTHING:
        return target
    return demand.held.plus(demand.unit.times(demand.unit.count_in(room)))


def _give_tasks(
    rest: Amount, demands: Sequence[PoolDemand], amounts: dict[int, Amount]
) -> Amount:
    """Add whole tasks to the demands that want more; return what is left."""
    for _ in range(SPLIT_ROUNDS):
        short = [
            number
            for number, demand in enumerate(demands)
            if demand.unit != NOTHING
            and demand.held.fits_in(amounts[number])
            and not demand.wanted().fits_in(amounts[number])
            and demand.unit.fits_in(rest)
        ]
        if not short:
            break
        short.sort(key=lambda number: (amounts[number], number))
        for number in short:
            demand = demands[number]
            missing = demand.wanted().minus(amounts[number]).highest(NOTHING)
            count = demand.unit.count_in(rest)
            count = min(
                max(1, count // len(short)), count, _tasks_in(missing, demand.unit)
            )
            amounts[number] = amounts[number].plus(demand.unit.times(count))
            rest = rest.minus(demand.unit.times(count))
    return rest


def _tasks_in(missing: Amount, unit: Amount) -> int:
    """Return the number of tasks that cover a missing amount."""
    return max(
        -(-amount // size) for amount, size in zip(missing, unit, strict=True) if size
    )


def _give_equally(rest: Amount, amounts: list[Amount]) -> list[Amount]:
    """Add equal parts of the rest, so that a first start need not wait for a grant."""
    if not amounts or max(rest) <= 0:
        return amounts
    rest = rest.highest(NOTHING)
    part = Amount(*(size // len(amounts) for size in rest))
    remainder = rest.minus(part.times(len(amounts)))
    equal = [amount.plus(part) for amount in amounts]
    equal[0] = equal[0].plus(remainder)
    return equal
