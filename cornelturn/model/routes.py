"""Routing table: queues and pools of jobs, as one immutable configuration version."""

from __future__ import annotations

from dataclasses import dataclass, field

from cornelturn.model.organisations import Organisation
from cornelturn.model.queue_identity import QueueReference, queue_id


@dataclass(frozen=True, slots=True)
class ApprovalTimes:
    """Times of the service that approves targets for the steps of a queue.

    Parameters
    ----------
    decision_ms : int
        Time that the service takes for a call.
    period_ms : int
        Time that it takes besides for each target named.
    validity_ms : int
        How long a ticket is valid.
    """

    decision_ms: int = 0
    period_ms: int = 0
    validity_ms: int = 0


@dataclass(frozen=True, slots=True)
class JobQueue:
    """A queue of jobs.

    The objective of a job is the time within which it should be done.

    Parameters
    ----------
    host, path_prefix : str
        Host name and path prefix at which callers submit jobs.
    pool : str
        Pool whose targets run the tasks.
    priority : int
        Priority; 0 is the highest.
    max_attempts : int
        Failed runs of a task after which its job fails.
    slack_factor : float
        Proportional part of the objective: a multiple of the longest chain of work.
    slack_ms : int
        Fixed part of the objective, added to the proportional part.
    approval : ApprovalTimes or None
        Times of the service of the platform that must approve the targets of each
        step, None if none is needed.
    is_public : bool
        Whether callers need no key of an organisation.
    """

    name: str
    host: str
    path_prefix: str
    pool: str
    priority: int = 0
    max_attempts: int = 1
    slack_factor: float = 1.0
    slack_ms: int = 0
    approval: ApprovalTimes | None = None
    is_public: bool = False

    def id(self) -> str:
        """Return its id, which depends on its host and path prefix alone."""
        return queue_id(self.host, self.path_prefix)

    def objective_ms(self, chain_ms: float) -> float:
        """Return the objective of a job with a longest chain of some length."""
        return self.slack_factor * chain_ms + self.slack_ms


@dataclass(frozen=True, slots=True)
class VersionedQueue:
    """A queue as one version of the configuration defines it.

    Parameters
    ----------
    version : int
        Version of the configuration.
    """

    queue: JobQueue
    version: int


@dataclass(frozen=True, slots=True)
class JobPool:
    """A pool of targets.

    Parameters
    ----------
    enforces_capacity : bool
        Whether its targets refuse tasks that exceed their capacity.
    is_standby : bool
        Whether its machines are switched off.
    """

    name: str
    enforces_capacity: bool = False
    is_standby: bool = False


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits of callers' requests, in bytes and milliseconds.

    Parameters
    ----------
    max_header_bytes : int
        Bytes of a request line with its headers; of trailers; of chunk extensions.
    header_timeout_ms : int
        Time from the first to the last byte of a request line with its headers.
    idle_timeout_ms : int
        Time without a byte in a body, of an answer, or between two requests.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@dataclass(frozen=True, slots=True)
class QueueMatch:
    """A queue and the part of a request path after its prefix.

    Parameters
    ----------
    version : int
        Version of the configuration that defines the queue.
    """

    queue: JobQueue
    path_rest: str
    version: int = 0

    def versioned_queue(self) -> VersionedQueue:
        """Return the queue with the version that defines it."""
        return VersionedQueue(self.queue, self.version)


@dataclass(frozen=True, slots=True)
class RoutingTable:
    """One version of the configuration.

    Parameters
    ----------
    version : int
        Increases with each change.
    organisations : tuple of Organisation
        Organisations whose keys callers use.
    requires_keys : bool
        Whether queues that are not public ask for keys, also with no organisation left.
    queues_by_host : dict
        Queues of each host in lower case, those with the longest prefix first.
    queues_by_id, queues_by_name : dict
        Queues by their ids and by their names.
    organisations_by_key : dict
        Organisations by the digests of their keys.
    """

    version: int
    queues: tuple[JobQueue, ...] = ()
    pools: tuple[JobPool, ...] = ()
    limits: CallerLimits = CallerLimits()
    organisations: tuple[Organisation, ...] = ()
    requires_keys: bool = False
    queues_by_host: dict[str, list[JobQueue]] = field(
        init=False, compare=False, repr=False
    )
    queues_by_id: dict[str, JobQueue] = field(init=False, compare=False, repr=False)
    queues_by_name: dict[str, JobQueue] = field(init=False, compare=False, repr=False)
    organisations_by_key: dict[str, Organisation] = field(
        init=False, compare=False, repr=False
    )

    def __post_init__(self) -> None:
        queues_by_host: dict[str, list[JobQueue]] = {}
        longest_first = sorted(self.queues, key=lambda queue: -len(queue.path_prefix))
        for queue in longest_first:
            queues_by_host.setdefault(queue.host.lower(), []).append(queue)
        object.__setattr__(self, "queues_by_host", queues_by_host)
        # Of two queues with the same id, callers reach the first one.
        object.__setattr__(
            self, "queues_by_id", {queue.id(): queue for queue in self.queues[::-1]}
        )
        object.__setattr__(
            self, "queues_by_name", {queue.name: queue for queue in self.queues}
        )
        organisations_by_key = {
            digest: organisation
            for organisation in self.organisations
            for digest in organisation.key_digests
        }
        object.__setattr__(self, "organisations_by_key", organisations_by_key)

    def has_caps(self) -> bool:
        """Return whether any organisation has a cap."""
        return any(organisation.has_cap() for organisation in self.organisations)

    def find_queue(self, host: str, path: str) -> QueueMatch | None:
        """Return the queue with the longest matching prefix of a path, if any."""
        host_name = host.lower().partition(":")[0]
        for queue in self.queues_by_host.get(host_name, ()):
            if path.startswith(queue.path_prefix):
                path_rest = path[len(queue.path_prefix) :]
                return QueueMatch(queue, path_rest, self.version)
        return None

    def queue_of(self, reference: QueueReference) -> JobQueue | None:
        """Return the queue that a job refers to, None if there is none."""
        if reference.id:
            return self.queues_by_id.get(reference.id)
        return self.queues_by_name.get(reference.name)

    def versioned_queue(self, reference: QueueReference) -> VersionedQueue | None:
        """Return a queue with the version that defines it, None if there is none."""
        queue = self.queue_of(reference)
        return VersionedQueue(queue, self.version) if queue is not None else None

    def queue_key(self, reference: QueueReference) -> str:
        """Return what identifies the queue of a job: its id, else its name."""
        queue = self.queue_of(reference)
        return queue.id() if queue is not None else reference.key()

    def queue_keys(self) -> frozenset[str]:
        """Return the ids and the names of all queues."""
        return frozenset((*self.queues_by_id, *self.queues_by_name))


@dataclass(frozen=True, slots=True)
class RoutingState:
    """The configuration in force at an entry, and the newest one that is known.

    Parameters
    ----------
    table : RoutingTable or None
        None before the first configuration.
    announced_version : int
        Newest version that another entry has announced.
    confirmed_age_ms : int
        Time since the store last confirmed that it has no newer version.
    """

    table: RoutingTable | None
    announced_version: int = 0
    confirmed_age_ms: int = 0

    def is_outdated(self) -> bool:
        """Return whether there is no configuration, or a newer one was announced."""
        return self.table is None or self.table.version < self.announced_version
