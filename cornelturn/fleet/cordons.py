"""Cordons that the owner of the machines asks for, and how long they surely hold."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from cornelturn.peering.messages import CordonWanted

CORDON_LIMIT_MS = 5_000
"""Time after which the owner of a pool lifts a cordon that is not asked for again."""

ORDER_TIME_MS = 2_500
"""Time for which a cordon must still hold when an order is given: the limit of the
call and a margin."""


NUMBERS_AN_OWNER = 1_000_000
"""Numbers of each owner of the machines, so that they rise over owners: four requests
a second for days."""


def first_number(generation: int) -> int:
    """Return a number below those that an owner of the machines uses."""
    return generation * NUMBERS_AN_OWNER


@dataclass(slots=True)
class Cordons:
    """Numbered requests for cordons.

    The owner of a pool tells the number of the last request that it follows. It
    received that request after it was sent, so the cordon holds for its whole limit
    from the sending on, whatever delays either message had.

    Parameters
    ----------
    number : int
        Number of the last request.
    sent : dict
        When each request was sent.
    since : dict
        Number of the first request that names a target, with all after it.
    pools : set of str
        Pools that were asked for some cordon last.
    """

    number: int = 0
    sent: dict[int, int] = field(default_factory=dict)
    since: dict[str, int] = field(default_factory=dict)
    pools: set[str] = field(default_factory=set)

    def ask(self, wanted: Iterable[tuple[str, str]], now_ms: int) -> list[CordonWanted]:
        """Return the requests to send; a pool that gets none any more is told once.

        Parameters
        ----------
        wanted : iterable of tuple of str
            Pool and name of each target that is to get no work.
        """
        by_pool: dict[str, list[str]] = {pool: [] for pool in self.pools}
        for pool, target in wanted:
            by_pool.setdefault(pool, []).append(target)
        self.number += 1
        self.sent[self.number] = now_ms
        named = {target for targets in by_pool.values() for target in targets}
        self.since = {one: self.since.get(one, self.number) for one in named}
        self.pools = {pool for pool, targets in by_pool.items() if targets}
        self._forget(now_ms)
        return [
            CordonWanted(pool, tuple(targets), self.number)
            for pool, targets in by_pool.items()
        ]

    def holds(self, target: str, number: int, now_ms: int) -> bool:
        """Return whether a target surely gets no work while an order is carried out.

        Parameters
        ----------
        number : int
            Number of the request that the owner of its pool follows.
        """
        since = self.since.get(target)
        sent_ms = self.sent.get(number)
        if since is None or sent_ms is None or number < since:
            return False
        return now_ms + ORDER_TIME_MS <= sent_ms + CORDON_LIMIT_MS

    def _forget(self, now_ms: int) -> None:
        limit_ms = now_ms - CORDON_LIMIT_MS
        self.sent = {one: at_ms for one, at_ms in self.sent.items() if at_ms > limit_ms}
