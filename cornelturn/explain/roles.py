"""How entries spend their time, by the duties that they own."""

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
    """Figures of all entries of one role, with a value for each second.

    Parameters
    ----------
    role : str
        Duties that the entries owned.
    loop_lags_ms : list
        Longest lag of the event loop.
    mailbox_waits_ms : list
        Longest wait in the mailbox of an owner.
    busy_ms : list
        Time in which the event loop did not wait.
    parts_ms : dict
        Time of each part; the rest is spent on connections and timers.
    """

    role: str
    entries: set[str] = field(default_factory=set)
    loop_lags_ms: list[int] = field(default_factory=list)
    mailbox_waits_ms: list[int] = field(default_factory=list)
    busy_ms: list[int] = field(default_factory=list)
    parts_ms: dict[str, list[int]] = field(default_factory=lambda: defaultdict(list))

    def add(self, line: LogLine) -> None:
        """Add the figures of a line `process_work`."""
        self.entries.add(line.entry)
        self.loop_lags_ms.append(line.number("lag_ms"))
        self.busy_ms.append(line.number("busy_ms"))
        parts_sum_ms = 0
        for part in PARTS:
            spent_ms = line.number(f"{part}_ms")
            parts_sum_ms += spent_ms
            self.parts_ms[part].append(spent_ms)
        self.parts_ms["log"].append(line.number("log_ms"))
        self.parts_ms[REST].append(max(0, line.number("busy_ms") - parts_sum_ms))


def figures_by_role(lines: Iterable[LogLine], tenures: Tenures) -> list[RoleFigures]:
    """Return the figures of each role, the busiest first."""
    by_role: dict[str, RoleFigures] = {}
    for line in lines:
        if line.event not in ("process_work", "owner_work"):
            continue
        role = tenures.role_at(line.entry, line.time_ms)
        figures = by_role.setdefault(role, RoleFigures(role))
        if line.event == "process_work":
            figures.add(line)
        else:
            figures.mailbox_waits_ms.append(line.number("waited_ms"))
    return sorted(
        by_role.values(),
        key=lambda figures: max(figures.busy_ms, default=0),
        reverse=True,
    )
