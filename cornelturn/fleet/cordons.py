"""Cordons that the owner of the machines asks for, and how long they surely hold."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from cornelturn.peering.messages import CordonWanted

CORDON_TIMEOUT_MS = 5_000
"""Time after which the owner of a pool lifts a cordon that is not asked for again."""

MAX_ORDER_DURATION_MS = 2_500
"""Time for which a cordon must still hold when an order is given: the limit of the
call and a margin."""


NUMBERS_PER_OWNER = 1_000_000
"""Numbers of each owner of the machines, so that they rise over owners: four requests
a second for days."""


def initial_request_number(generation: int) -> int:
    """Return a number below those that an owner of the machines uses."""
    return generation * NUMBERS_PER_OWNER


@dataclass(slots=True)
class CordonRequests:
    """Numbered requests for cordons.

    The owner of a pool tells the number of the last request that it follows. It
    received that request after it was sent, so the cordon holds for its whole limit
    from the sending on, whatever delays either message had.

    Parameters
    ----------
    number : int
        Number of the last request.
    sent_ms : dict
        When each request was sent.
    first_number : dict
        Number of the first request that names a target, with all after it.
    cordoned_pools : set of str
        Pools that were asked for some cordon last.
    """

    number: int = 0
    sent_ms: dict[int, int] = field(default_factory=dict)
    first_number: dict[str, int] = field(default_factory=dict)
    cordoned_pools: set[str] = field(default_factory=set)

    def request(
        self, targets: Iterable[tuple[str, str]], now_ms: int
    ) -> list[CordonWanted]:
        """Return the requests to send; a pool that gets none any more is told once.

        Parameters
        ----------
        targets : iterable of tuple of str
            Pool and name of each target that is to get no work.
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
        """Return whether a target surely gets no work while an order is carried out.

        Parameters
        ----------
        number : int
            Number of the request that the owner of its pool follows.
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
