"""Figures of organisations that an entry has received, with the age of each part."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass, field

from cornelturn.peering.messages import PoolCounts
from cornelturn.peering.organisation_messages import (
    AdmissionRefusals,
    CapsConfirmed,
    ConfirmedCap,
    PoolFigures,
)
from cornelturn.quota.ledger import FORGET_POOL_MS

LATE_MS = 3_000
"""Age from which figures count as missing: three reports are missing then."""

FORGET_ENTRY_MS = 600_000
"""Age from which refusals of an entry that has left are removed, so that their number
stays bounded. An entry repeats them every second while this one is asked."""

Refusals = Counter[tuple[str, str]]


@dataclass(frozen=True, slots=True)
class ReceivedPool:
    """Last figures of a pool's owner."""

    generation: int
    figures: PoolFigures
    received_ms: int


@dataclass(frozen=True, slots=True)
class ReceivedRefusals:
    """Last counts of an entry.

    Parameters
    ----------
    since_ms : int
        When it began to count.
    """

    counts: Refusals
    since_ms: int
    received_ms: int


@dataclass(slots=True)
class KnownFigures:
    """Figures of all pools, entries and caps that this entry has received.

    Parameters
    ----------
    caps : dict
        Confirmed caps by organisation, as the broker last sent them.
    caps_generation, caps_received_ms : int
        Generation of that broker, and when they arrived.
    """

    pools: dict[str, ReceivedPool] = field(default_factory=dict)
    refusals: dict[str, ReceivedRefusals] = field(default_factory=dict)
    caps: dict[str, ConfirmedCap] = field(default_factory=dict)
    caps_generation: int = 0
    caps_received_ms: int | None = None

    def add_pool(self, counts: PoolCounts, now_ms: int) -> None:
        """Take up the figures of a pool, unless a later owner has sent some."""
        if counts.figures is None:
            return
        known = self.pools.get(counts.pool)
        if known is None or known.generation <= counts.generation:
            self.pools[counts.pool] = ReceivedPool(
                counts.generation, counts.figures, now_ms
            )

    def add_refusals(self, entry: str, message: AdmissionRefusals, now_ms: int) -> None:
        """Take up what an entry has refused; a restarted one begins anew."""
        counts: Refusals = Counter()
        for organisation, reason, count in message.counts:
            counts[organisation, reason] += count
        self.refusals[entry] = ReceivedRefusals(
            counts, now_ms - message.counted_ms, now_ms
        )

    def add_caps(self, message: CapsConfirmed, now_ms: int) -> None:
        """Take up the confirmed caps, unless a later broker has sent some."""
        if message.generation >= self.caps_generation:
            self.caps = {cap.organisation: cap for cap in message.caps}
            self.caps_generation, self.caps_received_ms = message.generation, now_ms

    def confirmed_cap(self, organisation: str, now_ms: int) -> ConfirmedCap | None:
        """Return the confirmed cap, None if there is none or no broker sends it."""
        if self.caps_received_ms is None or now_ms - self.caps_received_ms >= LATE_MS:
            return None
        return self.caps.get(organisation)

    def forget_old(self, pools: Collection[str], now_ms: int) -> None:
        """Remove old figures of entries, and of pools that the configuration lacks.

        Figures of such a pool are kept as long as the broker of the quota keeps it.
        """
        for pool, last in list(self.pools.items()):
            if pool not in pools and now_ms - last.received_ms >= FORGET_POOL_MS:
                del self.pools[pool]
        for entry, last in list(self.refusals.items()):
            if now_ms - last.received_ms >= FORGET_ENTRY_MS:
                del self.refusals[entry]

    def clear(self) -> None:
        """Remove everything, as no organisation is configured any more."""
        self.pools.clear()
        self.refusals.clear()
        self.caps.clear()
