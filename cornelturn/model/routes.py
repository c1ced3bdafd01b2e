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
    slack_ms : int
        Time on top of that.
    needs_approval : bool
        Whether a service of the platform must approve the targets of each step.
    """

    name: str
    host: str
    path_prefix: str
    pool: str
    priority: int = 0
    max_attempts: int = 1
    slack_factor: float = 1.0
    slack_ms: int = 0
    needs_approval: bool = False


@dataclass(frozen=True, slots=True)
class JobPool:
    """A pool of targets.

    Parameters
    ----------
    enforces_capacity : bool
        Whether its targets refuse what does not fit.
    is_standby : bool
        Whether its machines are off.
    """

    name: str
    enforces_capacity: bool = False
    is_standby: bool = False


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits of callers' requests in bytes."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144


@dataclass(frozen=True, slots=True)
class QueueMatch:
    """A queue with what the path says beyond its prefix."""

    queue: JobQueue
    path_rest: str


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
    queues_by_host: dict[str, list[JobQueue]] = field(
        init=False, compare=False, repr=False
    )
    queues_by_name: dict[str, JobQueue] = field(init=False, compare=False, repr=False)

    def __post_init__(self) -> None:
        queues_by_host: dict[str, list[JobQueue]] = {}
        longest_first = sorted(self.queues, key=lambda queue: -len(queue.path_prefix))
        for queue in longest_first:
            queues_by_host.setdefault(queue.host.lower(), []).append(queue)
        object.__setattr__(self, "queues_by_host", queues_by_host)
        object.__setattr__(
            self, "queues_by_name", {queue.name: queue for queue in self.queues}
        )

    def find_queue(self, host: str, path: str) -> QueueMatch | None:
        """Return the queue with the longest prefix of a path, if any."""
        host_name = host.lower().partition(":")[0]
        for queue in self.queues_by_host.get(host_name, ()):
            if path.startswith(queue.path_prefix):
                return QueueMatch(queue, path[len(queue.path_prefix) :])
        return None


@dataclass(frozen=True, slots=True)
class RoutingState:
    """The configuration in force at an entry, and what it knows of newer ones.

    Parameters
    ----------
    table : RoutingTable or None
        None before the first.
    announced_version : int
        Newest version that the entry was told of.
    confirmed_age_ms : int
        Time since the store last said that it has nothing newer.
    """

    table: RoutingTable | None
    announced_version: int = 0
    confirmed_age_ms: int = 0

    def is_outdated(self) -> bool:
        """Return whether the entry knows of a newer configuration."""
        return self.table is None or self.table.version < self.announced_version
