"""How long pools stood still when they changed hands, and when stores were away."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from itertools import pairwise

from cornelturn.explain.lines import LogLine
from cornelturn.explain.tenures import Tenure, Tenures

AT_WORK = frozenset({"run_start", "run_end"})
"""Lines that only an owner writes that still acts."""


@dataclass(slots=True)
class Takeover:
    """A pool that another entry took.

    Parameters
    ----------
    last_ms : int
        Last start or end of a run at the owner before; when it took the pool if
        there was none.
    loaded_ms, started_ms : int or None
        When the jobs were read, and the first start; None if neither came.
    """

    pool: str
    before: str
    after: str
    last_ms: int
    taken_ms: int
    loaded_ms: int | None = None
    started_ms: int | None = None

    def gap_ms(self) -> int | None:
        """Return the time without an owner that starts something."""
        return None if self.started_ms is None else self.started_ms - self.last_ms


def read_takeovers(lines: list[LogLine], tenures: Tenures) -> list[Takeover]:
    """Return the changes of owners, in order."""
    found: list[Takeover] = []
    for duty in sorted({one.duty for one in tenures.found}):
        about = [one for one in lines if _is_about(one, duty)]
        held = tenures.of_duty(duty)
        found += [_takeover(*pair, about) for pair in pairwise(held)]
    return sorted(found, key=lambda one: one.taken_ms)


def _is_about(line: LogLine, duty: str) -> bool:
    is_event = line.event in AT_WORK or line.event == "pool_loaded"
    return is_event and line.value("pool") == duty


def _takeover(before: Tenure, after: Tenure, about: list[LogLine]) -> Takeover:
    taken = Takeover(
        after.duty, before.entry, after.entry, before.from_ms, after.from_ms
    )
    for line in about:
        is_before = line.entry == before.entry and line.time_ms < after.from_ms
        is_after = line.entry == after.entry and line.time_ms >= after.from_ms
        match line.event:
            case event if is_before and event in AT_WORK:
                taken.last_ms = max(taken.last_ms, line.time_ms)
            case "pool_loaded" if is_after and taken.loaded_ms is None:
                taken.loaded_ms = line.time_ms
            case "run_start" if is_after and taken.started_ms is None:
                taken.started_ms = line.time_ms
    return taken


@dataclass(slots=True)
class StoreOutage:
    """A time in which the store did not answer an entry.

    Parameters
    ----------
    regained_ms : int or None
        When it answered again, None if it did not.
    """

    entry: str
    lost_ms: int
    regained_ms: int | None = None


def read_outages(lines: Iterable[LogLine]) -> list[StoreOutage]:
    """Return the outages of the store, as each entry saw them."""
    found: list[StoreOutage] = []
    open_ones: dict[str, StoreOutage] = {}
    for line in lines:
        match line.event:
            case "store_lost" if line.entry not in open_ones:
                open_ones[line.entry] = StoreOutage(line.entry, line.time_ms)
                found.append(open_ones[line.entry])
            case "store_regained" if line.entry in open_ones:
                open_ones.pop(line.entry).regained_ms = line.time_ms
    return found
