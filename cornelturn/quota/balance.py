"""Sets the allotments of one organisation in all pools, from what is known of each."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from cornelturn.quota.amounts import NOTHING, Amount
from cornelturn.quota.split import PoolDemand, split


@dataclass(frozen=True, slots=True)
class Position:
    """What is known of an organisation in one pool, of the capped resources.

    Parameters
    ----------
    demand : PoolDemand
        What it has running and wants.
    current : Amount or None
        Allotment that was last sent; None if it no longer holds.
    permitted : Amount
        Highest allotment by which the owner may be starting work.
    unknown : Amount
        Upper bound of what may run besides what the demand shows.
    """

    demand: PoolDemand
    current: Amount | None
    permitted: Amount
    unknown: Amount = NOTHING

    def known_commitment(self) -> Amount:
        """Return the commitment but for runs of which nothing is known."""
        return self.demand.held.highest(self.permitted)

    def commitment(self) -> Amount:
        """Return an upper bound of what may run before the next allotment holds."""
        if self.unknown == NOTHING:
            return self.known_commitment()
        return self.permitted.highest(self.demand.held.plus(self.unknown))

    def is_short(self) -> bool:
        """Return whether there is demand beyond the allotment."""
        return self.current is None or not self.demand.wanted().fits_in(self.current)


def balance(
    cap: Amount, positions: Sequence[Position], may_raise: bool
) -> list[Amount | None]:
    """Return the new allotment of each pool, None where it stays.

    Nothing changes while all demand is met, so that a quiet organisation costs no
    message. The commitments of all pools together never rise above the cap.

    Parameters
    ----------
    may_raise : bool
        Whether the commitments are known to bound what runs.
    """
    commitments = [position.commitment() for position in positions]
    known = [position.known_commitment() for position in positions]
    free, known_free = _left(cap, commitments), _left(cap, known)
    is_short = any(position.is_short() for position in positions)
    if not is_short and min(known_free) >= 0:
        return [None] * len(positions)
    demands = [position.demand for position in positions]
    targets = split(cap, demands)
    amounts: list[Amount | None] = [None] * len(positions)
    for number in _by_need(demands, targets):
        position, commitment = positions[number], commitments[number]
        limit = _limit(
            position.permitted,
            known[number].plus(known_free),
            commitment.plus(free) if may_raise else position.permitted,
            known_free,
            free,
        )
        amount = targets[number].lowest(limit)
        if not amount.fits_in(commitment):
            free = free.minus(amount.minus(commitment).highest(NOTHING))
        if amount != position.current:
            amounts[number] = amount
    return amounts


def _left(cap: Amount, commitments: list[Amount]) -> Amount:
    """Return what commitments leave of a cap, negative where they exceed it."""
    for commitment in commitments:
        cap = cap.minus(commitment)
    return cap


def _limit(
    permitted: Amount,
    within_known: Amount,
    within_all: Amount,
    known_free: Amount,
    free: Amount,
) -> Amount:
    """Return the highest allotment of a pool, for each resource.

    While all commitments are within the cap, it may use what they leave. While only
    runs of which nothing is known may exceed it, nothing is raised. While what is known
    exceeds it, as after the cap was lowered, the pool keeps what the others leave.
    """
    if min(free) >= 0:
        return within_all
    limits: list[int] = []
    for resource, known_left in enumerate(known_free):
        if known_left < 0:
            limits.append(max(0, within_known[resource]))
        elif free[resource] < 0:
            limits.append(permitted[resource])
        else:
            limits.append(within_all[resource])
    return Amount(*limits)


def _by_need(demands: Sequence[PoolDemand], targets: Sequence[Amount]) -> list[int]:
    """Return the order in which demands are raised: idle ones first, then smaller ones.

    An allotment that is raised but can't be used is then the last one.
    """
    return sorted(
        range(len(demands)),
        key=lambda number: (
            demands[number].waiting == NOTHING,
            demands[number].idle_since_ms is None,
            demands[number].idle_since_ms or 0,
            targets[number],
            number,
        ),
    )
