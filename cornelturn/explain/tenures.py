"""Periods in which entries owned duties."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from cornelturn.explain.lines import LogLine

NO_DUTY = "none"


@dataclass(slots=True)
class Tenure:
    """Period in which an entry owned a duty.

    Parameters
    ----------
    until_ms : int or None
        When it ended, None if it did not.
    """

    duty: str
    entry: str
    generation: int
    from_ms: int
    until_ms: int | None = None

    def covers(self, time_ms: int) -> bool:
        """Return whether a time is within the tenure."""
        is_over = self.until_ms is not None and time_ms >= self.until_ms
        return self.from_ms <= time_ms and not is_over


@dataclass(slots=True)
class Tenures:
    """All tenures, in the order in which they began."""

    periods: list[Tenure] = field(default_factory=list)

    def of_duty(self, duty: str) -> list[Tenure]:
        """Return the tenures of a duty."""
        return [tenure for tenure in self.periods if tenure.duty == duty]

    def role_at(self, entry: str, time_ms: int) -> str:
        """Return the duties that an entry owned at a time, joined by ``+``."""
        duties = {
            tenure.duty
            for tenure in self.periods
            if tenure.entry == entry and tenure.covers(time_ms)
        }
        return "+".join(sorted(duties)) or NO_DUTY


def read_tenures(lines: Iterable[LogLine]) -> Tenures:
    """Return the tenures of all duties; the lines must be in order of time."""
    tenures = Tenures()
    current: dict[str, Tenure] = {}
    for line in lines:
        duty = line.value("duty")
        match line.event:
            case "duty_taken":
                _end_tenure(current, duty, line.time_ms)
                current[duty] = Tenure(
                    duty, line.entry, line.number("generation"), line.time_ms
                )
                tenures.periods.append(current[duty])
            case "duty_lost" | "duty_released":
                if duty in current and current[duty].entry == line.entry:
                    _end_tenure(current, duty, line.time_ms)
            case "entry_started" | "entry_stopped":
                for tenure in list(current.values()):
                    if tenure.entry == line.entry:
                        _end_tenure(current, tenure.duty, line.time_ms)
    return tenures


def _end_tenure(current: dict[str, Tenure], duty: str, time_ms: int) -> None:
    tenure = current.pop(duty, None)
    if tenure is not None:
        tenure.until_ms = time_ms
