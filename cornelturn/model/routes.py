"""Queues and pools of jobs, as one immutable version of the configuration."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class JobQueue:
    """A queue of jobs.

    Parameters
    ----------
    host, path_prefix : str
        Where callers hand jobs in.
    pool : str
        Pool whose targets run the tasks.
    priority : int
        0 comes first.
    max_attempts : int
        Failed runs of a task after which its job has failed.
    slack_factor : float
        Objective of a job as a multiple of its longest chain of work.
    aim_ms : int
        Time on top of that.
    needs_advice : bool
        Whether a service of the platform must approve the targets of each step.
    """

    name: str
    host: str
    path_prefix: str
    pool: str
    priority: int = 0
    max_attempts: int = 1
    slack_factor: float = 1.0
    aim_ms: int = 0
    needs_advice: bool = False


@dataclass(frozen=True, slots=True)
class JobPool:
    """A pool of targets.

    Parameters
    ----------
    is_guarded : bool
        Whether its targets refuse what does not fit.
    is_standby : bool
        Whether its machines are off.
    """

    name: str
    is_guarded: bool = False
    is_standby: bool = False


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits of callers' requests in bytes."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144


@dataclass(frozen=True, slots=True)
class FoundQueue:
    """A queue with what the path says beyond its prefix."""

    queue: JobQueue
    rest: str


@dataclass(frozen=True, slots=True)
class RoutingTable:
    """One version of the configuration.

    Parameters
    ----------
    version : int
        Rises with each change.
    """

    version: int
    queues: tuple[JobQueue, ...] = ()
    pools: tuple[JobPool, ...] = ()
    limits: CallerLimits = CallerLimits()
    by_host: dict[str, list[JobQueue]] = field(init=False, compare=False, repr=False)
    by_name: dict[str, JobQueue] = field(init=False, compare=False, repr=False)

    def __post_init__(self) -> None:
        by_host: dict[str, list[JobQueue]] = {}
        longest_first = sorted(self.queues, key=lambda one: -len(one.path_prefix))
        for queue in longest_first:
            by_host.setdefault(queue.host.lower(), []).append(queue)
        object.__setattr__(self, "by_host", by_host)
        object.__setattr__(self, "by_name", {one.name: one for one in self.queues})

    def find(self, host: str, path: str) -> FoundQueue | None:
        """Return the queue with the longest prefix of a path, if any."""
        name = host.lower().partition(":")[0]
        for queue in self.by_host.get(name, ()):
            if path.startswith(queue.path_prefix):
                return FoundQueue(queue, path[len(queue.path_prefix) :])
        return None


@dataclass(frozen=True, slots=True)
class RoutingKnowledge:
    """The configuration in force at an entry, and what it knows of newer ones.

    Parameters
    ----------
    table : RoutingTable or None
        None before the first.
    told_version : int
        Newest version that the entry was told of.
    age_ms : int
        Time since the store last said that it has nothing newer.
    """

    table: RoutingTable | None
    told_version: int = 0
    age_ms: int = 0

    def is_behind(self) -> bool:
        """Return whether the entry knows of a newer configuration."""
        return self.table is None or self.table.version < self.told_version
