"""Takeovers of pools, with the gaps that they caused, and outages of the store."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from itertools import pairwise

from cornelturn.explain.lines import LogLine
from cornelturn.explain.tenures import Tenure, Tenures

OWNER_EVENTS = frozenset({"run_start", "run_end"})
"""Events that only an active owner logs."""


@dataclass(slots=True)
class Takeover:
    """Takeover of a pool by another entry.

    Parameters
    ----------
    last_activity_ms : int
        Last start or end of a run at the previous owner; when it took the pool if
        there was none.
    loaded_ms, first_start_ms : int or None
        When the new owner had read the jobs, and when it first started a run; None if
        it never did.
    """

    pool: str
    previous_owner: str
    new_owner: str
    last_activity_ms: int
    taken_ms: int
    loaded_ms: int | None = None
    first_start_ms: int | None = None

    def gap_ms(self) -> int | None:
        """Return the time in which no owner started runs, None if it did not end."""
        return (
            None
            if self.first_start_ms is None
            else self.first_start_ms - self.last_activity_ms
        )


def read_takeovers(lines: list[LogLine], tenures: Tenures) -> list[Takeover]:
    """Return the changes of owners, in order."""
    takeovers: list[Takeover] = []
    for duty in sorted({tenure.duty for tenure in tenures.periods}):
        duty_lines = [line for line in lines if _is_about(line, duty)]
        duty_tenures = tenures.of_duty(duty)
        takeovers += [
            _make_takeover(*pair, duty_lines) for pair in pairwise(duty_tenures)
        ]
    return sorted(takeovers, key=lambda takeover: takeover.taken_ms)


def _is_about(line: LogLine, duty: str) -> bool:
    is_event = line.event in OWNER_EVENTS or line.event == "pool_loaded"
    return is_event and line.value("pool") == duty


def _make_takeover(
    previous: Tenure, current: Tenure, duty_lines: list[LogLine]
) -> Takeover:
    takeover = Takeover(
        current.duty, previous.entry, current.entry, previous.from_ms, current.from_ms
    )
    for line in duty_lines:
        is_from_previous = (
            line.entry == previous.entry and line.time_ms < current.from_ms
        )
        is_from_current = (
            line.entry == current.entry and line.time_ms >= current.from_ms
        )
        match line.event:
            case event if is_from_previous and event in OWNER_EVENTS:
                takeover.last_activity_ms = max(takeover.last_activity_ms, line.time_ms)
            case "pool_loaded" if is_from_current and takeover.loaded_ms is None:
                takeover.loaded_ms = line.time_ms
            case "run_start" if is_from_current and takeover.first_start_ms is None:
                takeover.first_start_ms = line.time_ms
    return takeover


@dataclass(slots=True)
class StoreOutage:
    """A period in which the store did not answer an entry.

    Parameters
    ----------
    regained_ms : int or None
        When it answered again, None if it did not.
    """

    entry: str
    lost_ms: int
    regained_ms: int | None = None


def read_outages(lines: Iterable[LogLine]) -> list[StoreOutage]:
    """Return the outages of the store, as each entry logged them."""
    outages: list[StoreOutage] = []
    open_outages: dict[str, StoreOutage] = {}
    for line in lines:
        match line.event:
            case "store_lost" if line.entry not in open_outages:
                open_outages[line.entry] = StoreOutage(line.entry, line.time_ms)
                outages.append(open_outages[line.entry])
            case "store_regained" if line.entry in open_outages:
                open_outages.pop(line.entry).regained_ms = line.time_ms
    return outages
