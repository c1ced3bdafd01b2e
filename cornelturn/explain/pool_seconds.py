"""Activity of each pool in each second."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from cornelturn.clock import MILLISECONDS_PER_SECOND
from cornelturn.explain.lines import LogLine


@dataclass(slots=True)
class PoolSecond:
    """Activity of a pool in one second.

    Parameters
    ----------
    second : int
        Unix time.
    accepted : int
        Jobs accepted.
    starts : int
        Starts ordered, at least: those that the limit of the log left out count in
        the second of the next line.
    waiting, blocked : int
        Largest values of the owners' lines in this second.
    open_targets, free_cpu : int
        As in the last line of an owner in this second.
    work_ms : int
        Sum of the times of the parts of the owners' work.
    first_order_waits_ms : list
        Waits for the first order, of the jobs that the owner knew from this second on.
    """

    pool: str
    second: int
    accepted: int = 0
    starts: int = 0
    waiting: int = 0
    blocked: int = 0
    free_cpu: int = 0
    open_targets: int = 0
    work_ms: int = 0
    first_order_waits_ms: list[int] = field(default_factory=list)


@dataclass(slots=True)
class PoolSeconds:
    """Activity of all pools, by pool and second."""

    by_key: dict[tuple[str, int], PoolSecond] = field(default_factory=dict)
    pool_by_job: dict[str, str] = field(default_factory=dict)

    def second_at(self, pool: str, time_ms: int) -> PoolSecond:
        """Return the second of a pool that a time falls in, added if missing."""
        second = time_ms // MILLISECONDS_PER_SECOND
        return self.by_key.setdefault((pool, second), PoolSecond(pool, second))

    def add(self, line: LogLine) -> None:
        """Add the figures of a line."""
        pool = line.value("pool")
        match line.event:
            case "submit" if line.value("outcome") == "Accepted":
                self.second_at(pool, line.time_ms).accepted += 1
                self.pool_by_job[line.value("job")] = pool
            case "run_start":
                starts = 1 + line.number("left_out")
                self.second_at(pool, line.time_ms).starts += starts
            case "owner_work":
                self._add_work(self.second_at(pool, line.time_ms), line)
            case "job_final" if line.value("job") in self.pool_by_job:
                known_ms = line.time_ms - line.number("after_ms")
                second = self.second_at(self.pool_by_job[line.value("job")], known_ms)
                second.first_order_waits_ms.append(line.number("order_ms"))

    def _add_work(self, second: PoolSecond, line: LogLine) -> None:
        second.waiting = max(second.waiting, line.number("waiting"))
        second.blocked = max(second.blocked, line.number("blocked"))
        second.free_cpu = line.number("free_cpu")
        second.open_targets = line.number("open_targets")
        second.work_ms += sum(
            line.number(f"{part}_ms")
            for part in ("handle", "plan", "give", "write", "forget")
        )


def read_pool_seconds(lines: Iterable[LogLine]) -> list[PoolSecond]:
    """Return the seconds with accepted jobs or starts, by pool, in order of time."""
    seconds = PoolSeconds()
    for line in lines:
        seconds.add(line)
    return [
        seconds.by_key[key]
        for key in sorted(seconds.by_key)
        if seconds.by_key[key].accepted or seconds.by_key[key].starts
    ]
