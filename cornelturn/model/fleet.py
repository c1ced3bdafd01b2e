"""Instances, pools and presets."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class InstanceState(StrEnum):
    """Where an instance stands in its life cycle."""

    IN_SERVICE = "in_service"
    DRAINING = "draining"
    REBOOTING = "rebooting"
    QUARANTINED = "quarantined"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Instance:
    """A target instance.

    Parameters
    ----------
    name : str
        Name of the instance.
    pool : str
        The one pool that it belongs to.
    data_centre, rack : str
        Failure domains.
    address : str
        Base URL.
    slots : int
        Requests that it runs at a time.
    cores : float
        Processor cores.
    memory_mb : int
        Memory in megabytes.
    state : InstanceState
        Life cycle state.
    reason : str
        Who took it out of service: an operator or a maintenance wave.
    move_to : str
        Pool that it goes to once it is empty, empty if it stays.
    boot : int
        Boot number that a reboot in progress must leave behind.
    """

    name: str
    pool: str
    data_centre: str
    rack: str
    address: str
    slots: int
    cores: float
    memory_mb: int
    state: InstanceState = InstanceState.IN_SERVICE
    reason: str = ""
    move_to: str = ""
    boot: int = 0


@dataclass(frozen=True, slots=True)
class Pool:
    """A pool of instances.

    Parameters
    ----------
    name : str
        Name of the pool.
    max_unavailable : int
        Availability budget: instances that may be out of service at once.
    """

    name: str
    max_unavailable: int


@dataclass(frozen=True, slots=True)
class PoolSize:
    """Number of instances that a preset wants in a pool."""

    pool: str
    instances: int


@dataclass(frozen=True, slots=True)
class QueueShare:
    """Guaranteed share of a queue while a preset is in force."""

    queue: str
    share: float


@dataclass(frozen=True, slots=True)
class Preset:
    """A named set of wanted sizes and shares.

    Parameters
    ----------
    name : str
        Name of the preset.
    sizes : tuple of PoolSize
        Wanted sizes; pools that are not named keep theirs.
    shares : tuple of QueueShare
        Shares that replace those of the queues.
    maintenance : bool
        Whether maintenance waves may run.
    """

    name: str
    sizes: tuple[PoolSize, ...] = ()
    shares: tuple[QueueShare, ...] = ()
    maintenance: bool = False
