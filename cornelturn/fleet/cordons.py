"""Cordons that the machine owner requests, and until when they are in effect."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from cornelturn.peering.messages import CordonWanted

CORDON_TIMEOUT_MS = 5_000
"""Time after which a pool owner lifts a cordon whose request is not repeated."""

MAX_ORDER_DURATION_MS = 2_500
"""Time for which a cordon must still hold when an order is sent: the timeout of the
call and a margin."""

NUMBERS_PER_OWNER = 1_000_000
"""Request numbers reserved for each machine owner, so that they increase from one owner
to the next; enough for days at four requests a second."""


def initial_request_number(generation: int) -> int:
    """Return a number below all request numbers of the owner of a generation."""
    return generation * NUMBERS_PER_OWNER


@dataclass(slots=True)
class CordonRequests:
    """Numbered requests for cordons.

    A pool owner reports the number of the last request that it applied. It received
    that request after it was sent, so the cordon lasts at least for its timeout,
    counted from the time of sending, however long either message was delayed.

    Parameters
    ----------
    number : int
        Number of the last request.
    sent_ms : dict
        Time at which each request was sent, by number.
    first_number : dict
        Number of the first of the successive requests, up to the last one, that name
        a target, by target.
    cordoned_pools : set of str
        Pools with at least one cordon in the last request.
    """

    number: int = 0
    sent_ms: dict[int, int] = field(default_factory=dict)
    first_number: dict[str, int] = field(default_factory=dict)
    cordoned_pools: set[str] = field(default_factory=set)

    def request(
        self, targets: Iterable[tuple[str, str]], now_ms: int
    ) -> list[CordonWanted]:
        """Return the requests to send; a pool whose cordons all end is notified once.

        Parameters
        ----------
        targets : iterable of tuple of str
            Pool and name of each target that must not get work.
        """
        by_pool: dict[str, list[str]] = {pool: [] for pool in self.cordoned_pools}
        for pool, target in targets:
            by_pool.setdefault(pool, []).append(target)
        self.number += 1
        self.sent_ms[self.number] = now_ms
        named = {target for pool_targets in by_pool.values() for target in pool_targets}
        self.first_number = {
            target: self.first_number.get(target, self.number) for target in named
        }
        self.cordoned_pools = {
            pool for pool, pool_targets in by_pool.items() if pool_targets
        }
        self._discard_expired(now_ms)
        return [
            CordonWanted(pool, tuple(pool_targets), self.number)
            for pool, pool_targets in by_pool.items()
        ]

    def is_in_effect(self, target: str, number: int, now_ms: int) -> bool:
        """Return whether a target is guaranteed no new work while an order is executed.

        Parameters
        ----------
        number : int
            Number of the last request that the owner of its pool applied.
        """
        first_number = self.first_number.get(target)
        sent_ms = self.sent_ms.get(number)
        if first_number is None or sent_ms is None or number < first_number:
            return False
        return now_ms + MAX_ORDER_DURATION_MS <= sent_ms + CORDON_TIMEOUT_MS

    def _discard_expired(self, now_ms: int) -> None:
        limit_ms = now_ms - CORDON_TIMEOUT_MS
        self.sent_ms = {
            number: at_ms for number, at_ms in self.sent_ms.items() if at_ms > limit_ms
        }
