"""What the time of entries goes into, by what they own."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from cornelturn.explain.lines import LogLine
from cornelturn.explain.tenures import Tenures

PARTS = (
    "hub",
    "keeper",
    "operator",
    "targets",
    "front",
    "ready",
    "owner",
    "machines",
)
"""Parts of the line `process_work`."""

REST = "rest"


@dataclass(slots=True)
class RoleFigures:
    """Seconds of all entries of one role.

    Parameters
    ----------
    role : str
        Duties that the entries owned.
    lags_ms : list
        Longest lag of the loop, of each second.
    waits_ms : list
        Longest wait in the mailbox of an owner, of each second.
    busy_ms : list
        Time in which the loop did not wait, of each second.
    parts_ms : dict
        Time of each part, of each second; the rest went into connections and timers.
    """

    role: str
    entries: set[str] = field(default_factory=set)
    lags_ms: list[int] = field(default_factory=list)
    waits_ms: list[int] = field(default_factory=list)
    busy_ms: list[int] = field(default_factory=list)
    parts_ms: dict[str, list[int]] = field(default_factory=lambda: defaultdict(list))

    def add(self, line: LogLine) -> None:
        """Take in a line on the work of a process."""
        self.entries.add(line.entry)
        self.lags_ms.append(line.number("lag_ms"))
        self.busy_ms.append(line.number("busy_ms"))
        in_parts = 0
        for part in PARTS:
            spent_ms = line.number(f"{part}_ms")
            in_parts += spent_ms
            self.parts_ms[part].append(spent_ms)
        self.parts_ms["log"].append(line.number("log_ms"))
        self.parts_ms[REST].append(max(0, line.number("busy_ms") - in_parts))


def figures_by_role(lines: Iterable[LogLine], tenures: Tenures) -> list[RoleFigures]:
    """Return the figures of each role, the busiest first."""
    found: dict[str, RoleFigures] = {}
    for line in lines:
        if line.event not in ("process_work", "owner_work"):
            continue
        role = tenures.role(line.entry, line.time_ms)
        figures = found.setdefault(role, RoleFigures(role))
        if line.event == "process_work":
            figures.add(line)
        else:
            figures.waits_ms.append(line.number("waited_ms"))
    return sorted(
        found.values(), key=lambda one: max(one.busy_ms, default=0), reverse=True
    )
