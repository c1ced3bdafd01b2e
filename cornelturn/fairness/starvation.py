"""Detects organisations whose waiting work never gets its turn, and keeps the jobs that
are promoted for them."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

STARVED_AFTER_MS = 10_000
"""Time without a start after which late work of an organisation competes like work on
time. Long enough that such starts stay a small part of all."""

CHECK_INTERVAL_MS = 1_000
"""Interval of the check, which visits all organisations with waiting work."""


@dataclass(slots=True)
class StarvationCheck:
    """Finds the organisations with waiting work but without a start for too long.

    Parameters
    ----------
    since_ms : dict
        Last start of each waiting organisation, or when it was first seen waiting.
    promoted : dict
        Late jobs of starved organisations that compete like those on time until the
        next start of their organisation, by organisation.
    """

    since_ms: dict[str, int] = field(default_factory=dict)
    next_check_ms: int = 0
    promoted: dict[str, set[str]] = field(default_factory=dict)

    def note_start(self, organisation: str, now_ms: int) -> set[str]:
        """Record a start of an organisation; return its jobs that were promoted."""
        if organisation in self.since_ms:
            self.since_ms[organisation] = now_ms
        return self.promoted.pop(organisation, set())

    def promote(self, organisation: str, job: str) -> None:
        """Promote a job of a starved organisation."""
        self.promoted.setdefault(organisation, set()).add(job)

    def is_promoted(self, organisation: str, job: str) -> bool:
        """Return whether a job of an organisation is promoted."""
        return job in self.promoted.get(organisation, ())

    def forget_job(self, organisation: str, job: str) -> None:
        """Forget a job that is over."""
        jobs = self.promoted.get(organisation)
        if jobs is not None:
            jobs.discard(job)

    def take_starved(self, waiting: Iterable[str], now_ms: int) -> list[str]:
        """Return the starved ones of the waiting organisations, once in each period."""
        if now_ms < self.next_check_ms:
            return []
        self.next_check_ms = now_ms + CHECK_INTERVAL_MS
        self.since_ms = {name: self.since_ms.get(name, now_ms) for name in waiting}
        starved = [
            name
            for name, since_ms in self.since_ms.items()
            if now_ms - since_ms >= STARVED_AFTER_MS
        ]
        for name in starved:
            self.since_ms[name] = now_ms
        return starved
