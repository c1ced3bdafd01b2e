"""Durations of the parts of jobs' lives, by pool."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from cornelturn.explain.lines import LogLine

OWNER_PARTS = ("order", "answer", "run", "write", "steps_wait", "longest_wait")
"""Parts whose durations the line `job_final` has."""


@dataclass(slots=True)
class JobDurations:
    """Durations of the parts of the lives of a pool's finished jobs.

    Parameters
    ----------
    accepted : int
        Jobs accepted, finished or not.
    parts_ms : dict
        Durations by part: ``stored`` until the answer of the store, ``known`` from
        there until the owner knows the job (0 if it knew it before), then those of the
        owner.
    """

    pool: str
    accepted: int = 0
    parts_ms: dict[str, list[int]] = field(default_factory=lambda: defaultdict(list))


def read_job_durations(lines: Iterable[LogLine]) -> list[JobDurations]:
    """Return the durations of the jobs of each pool."""
    by_pool: dict[str, JobDurations] = {}
    accepted: dict[str, LogLine] = {}
    for line in lines:
        job = line.value("job")
        if line.event == "submit" and line.value("outcome") == "Accepted":
            if job not in accepted:
                pool = line.value("pool")
                by_pool.setdefault(pool, JobDurations(pool)).accepted += 1
                accepted[job] = line
        elif line.event == "job_final" and job in accepted:
            _add_job(by_pool[accepted[job].value("pool")], accepted[job], line)
    return [by_pool[pool] for pool in sorted(by_pool)]


def _add_job(durations: JobDurations, submit: LogLine, final: LogLine) -> None:
    known_ms = final.time_ms - final.number("after_ms")
    durations.parts_ms["stored"].append(submit.number("took_ms"))
    durations.parts_ms["known"].append(max(0, known_ms - submit.time_ms))
    for part in OWNER_PARTS:
        durations.parts_ms[part].append(final.number(f"{part}_ms"))
    durations.parts_ms["owner"].append(final.number("after_ms"))
