"""Messages that entries exchange in the inner protocol."""

from __future__ import annotations

from dataclasses import dataclass, field

from cornelturn.admission.backlog import PoolBacklog
from cornelturn.jobs.model import Resources
from cornelturn.model.configuration import Configuration
from cornelturn.model.decoding import Int64
from cornelturn.peering.dispatch_messages import (
    Cancel,
    Granted,
    Inventory,
    InventoryWanted,
    LoanAnswered,
    LoanAsked,
    Offer,
    Refused,
    Reported,
)
from cornelturn.peering.organisation_messages import (
    AdmissionRefusals,
    CapsConfirmed,
    FiguresWanted,
    PoolFigures,
)
from cornelturn.peering.quota_messages import QuotaGrant, QuotaReport
from cornelturn.peering.store_messages import StoreAsked, StoreTold
from cornelturn.targets.model import TargetLife


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """An entry as its peers know it.

    Parameters
    ----------
    name : str
        Name of the entry.
    incarnation : int
        Number of its start; a higher one replaces a lower one.
    address : str
        Address of its inner listener.
    """

    name: str
    incarnation: Int64
    address: str


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Periodic message by which peers see that the sender is alive, with its state.

    Parameters
    ----------
    peer : PeerAddress
        The sender.
    sequence : int
        Number of the heartbeat.
    echo : int
        Highest sequence that the sender has received from the receiver; when it
        stops rising, the link from the receiver to the sender is silent.
    receiver_incarnation : int
        Incarnation of the receiver that the sender knows; if it is higher than the
        receiver's own, the receiver has been replaced.
    generation : int
        Generation of the configuration in force at the sender.
    known : tuple of PeerAddress
        Some of the entries that the sender knows to be alive, if the receiver's
        `digest` differs from its own.
    leaving : tuple of str
        Instances that the sender knows to be leaving.
    is_ready : bool
        Whether the sender takes part in dispatching.
    fleet_revision : int
        Revision of the table up to which the sender knows the instances.
    digest : int
        Hash of the names and incarnations of all entries that the sender knows to
        be alive, itself among them.
    interval_ms : int
        Time until the sender's next heartbeat to the receiver, 0 if it is not stated.
    is_answer_wanted : bool
        Whether the receiver should send heartbeats at the shortest interval, since
        the sender uses the link or gets no heartbeats from the receiver.
    """

    peer: PeerAddress
    sequence: int
    echo: int
    receiver_incarnation: int
    generation: int
    known: tuple[PeerAddress, ...]
    leaving: tuple[str, ...]
    is_ready: bool
    fleet_revision: int
    digest: int = 0
    interval_ms: int = 0
    is_answer_wanted: bool = False


@dataclass(frozen=True, slots=True)
class Goodbye:
    """The sender stops as planned."""

    peer: PeerAddress


@dataclass(frozen=True, slots=True)
class ConfigurationPushed:
    """A configuration that the table service has accepted."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class ConfigurationWanted:
    """Request of a sender with a lower generation for the receiver's configuration."""

    generation: int


@dataclass(frozen=True, slots=True)
class InstanceLeaving:
    """An instance is leaving and gets no new work."""

    instance: str


@dataclass(frozen=True, slots=True)
class FleetChanged:
    """Rows of instances have changed; the receiver reads them at once."""


@dataclass(frozen=True, slots=True)
class JobChanged:
    """The row of a job as it was just written, for the owner of its pool.

    Parameters
    ----------
    key : str
        Key of the row.
    text : str
        JSON text of the row.
    version : int
        Version of the row.
    waited_ms : int
        Time since its caller was first refused, as far as the sender knows. Entries
        of earlier versions ignore it and send none.
    """

    pool: str
    key: str
    text: str
    version: int
    waited_ms: Int64 = 0


@dataclass(frozen=True, slots=True)
class QueueCount:
    """Number of jobs of a queue of which no task has started."""

    queue: str
    pending: int


@dataclass(frozen=True, slots=True)
class PoolCounts:
    """Jobs not started of each queue of a pool, from its owner; zeros are left out.

    Parameters
    ----------
    backlog : PoolBacklog or None
        What admission decides by; None without organisations, and from an owner of an
        earlier version. Entries of earlier versions ignore it.
    figures : PoolFigures or None
        What operators are shown, once a second to the entries that ask; None otherwise,
        without organisations, and from an owner of an earlier version. Entries of
        earlier versions ignore it.
    """

    pool: str
    generation: int
    counts: tuple[QueueCount, ...]
    backlog: PoolBacklog | None = None
    figures: PoolFigures | None = None


@dataclass(frozen=True, slots=True)
class RoutingAnnounced:
    """The sender has read a configuration and sends it on request."""

    version: int


@dataclass(frozen=True, slots=True)
class RoutingWanted:
    """Request of a sender that knows no configuration above a version."""

    version: int


@dataclass(frozen=True, slots=True)
class RoutingSent:
    """The document of a configuration, compressed."""

    version: int
    document: bytes


@dataclass(frozen=True, slots=True)
class DutiesChanged:
    """A duty is free or has a new holder; the receiver reads the duties at once."""


@dataclass(frozen=True, slots=True)
class PoolClaimed:
    """The sender has taken a pool from the receiver, which must stop acting for it.

    Parameters
    ----------
    generation : int
        Generation of the sender's ownership.
    """

    pool: str
    generation: int


@dataclass(frozen=True, slots=True)
class OpenRuns:
    """Jobs with a run, or with an end that may not be stored yet, on one target."""

    life: TargetLife
    jobs: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class PoolGivenUp:
    """The sender has given its last order as the owner of a pool.

    Parameters
    ----------
    generation : int
        Generation of the ownership that has ended.
    runs : tuple of OpenRuns
        All runs that may continue without the sender.
    """

    pool: str
    generation: int
    runs: tuple[OpenRuns, ...]


@dataclass(frozen=True, slots=True)
class OutageAsked:
    """The sender cannot reach the store; a receiver that cannot either answers.

    Parameters
    ----------
    incarnation : int
        Incarnation of the sender.
    asked_ms : int
        Time on the clock of the sender, which the answer repeats.
    """

    incarnation: int
    asked_ms: int


@dataclass(frozen=True, slots=True)
class OutageShared:
    """The sender could not reach the store either when it was asked.

    Parameters
    ----------
    incarnation, asked_ms : int
        As in `OutageAsked`.
    """

    incarnation: int
    asked_ms: int


@dataclass(frozen=True, slots=True)
class CordonWanted:
    """Targets of a pool that are to be emptied; replaces all earlier requests.

    Parameters
    ----------
    number : int
        Number of the request; rises with each one that an owner of the machines sends.
    """

    pool: str
    targets: tuple[str, ...]
    number: int


@dataclass(frozen=True, slots=True)
class TargetLoad:
    """Number of runs on a target, and whether it still takes work.

    Parameters
    ----------
    lasting : int
        Runs that end only when their job is cancelled.
    speed : int
        Estimated speed relative to the other targets of the pool, in percent.
    is_wanted : bool
        Whether work of the pool wants its rack, so that other targets leave first.
    """

    target: str
    runs: int
    lasting: int
    is_cordoned: bool
    speed: int = 100
    is_wanted: bool = False

    def is_empty(self) -> bool:
        """Return whether the target runs nothing and gets no work."""
        return self.is_cordoned and self.runs == 0


@dataclass(frozen=True, slots=True)
class PoolLoad:
    """Running and waiting work of a pool, as its owner reports it.

    Parameters
    ----------
    generation : int
        Generation of the ownership of the pool.
    cordon : int
        Number of the last `CordonWanted` that is in effect, 0 for none.
    targets : tuple of TargetLoad
        Targets that answer.
    held : Resources
        Resources that runs hold.
    waiting : Resources
        Resources that ready tasks need which any target may run.
    capacity : Resources
        Capacity of the targets that take work.
    open_targets : int
        Number of these targets.
    least_targets : int
        Number of targets that the pool must keep, whatever its demand is.
    held_back : Resources
        Part of `waiting` that more machines cannot serve now, since an earlier owner
        may still run its tasks.
    """

    pool: str
    generation: int
    cordon: int
    targets: tuple[TargetLoad, ...]
    held: Resources
    waiting: Resources
    capacity: Resources
    open_targets: int
    least_targets: int
    held_back: Resources = field(default_factory=Resources)


@dataclass(frozen=True, slots=True)
class TargetsChanged:
    """A target has joined a pool; its owner reads the list at once."""

    pool: str


InnerMessage = (
    Heartbeat
    | Goodbye
    | Offer
    | Cancel
    | Granted
    | Refused
    | Reported
    | Inventory
    | InventoryWanted
    | LoanAsked
    | LoanAnswered
    | ConfigurationPushed
    | ConfigurationWanted
    | InstanceLeaving
    | FleetChanged
    | JobChanged
    | PoolCounts
    | RoutingAnnounced
    | RoutingWanted
    | RoutingSent
    | DutiesChanged
    | PoolClaimed
    | PoolGivenUp
    | OutageAsked
    | OutageShared
    | CordonWanted
    | PoolLoad
    | TargetsChanged
    | StoreAsked
    | StoreTold
    | QuotaReport
    | QuotaGrant
    | AdmissionRefusals
    | CapsConfirmed
    | FiguresWanted
)
