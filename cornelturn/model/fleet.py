"""Instances of the fleet, the pools that they belong to, and presets."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class InstanceState(StrEnum):
    """State of an instance in its life cycle."""

    IN_SERVICE = "in_service"
    DRAINING = "draining"
    REBOOTING = "rebooting"
    QUARANTINED = "quarantined"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Instance:
    """An instance and its life cycle state.

    Parameters
    ----------
    name : str
        Name of the instance.
    pool : str
        Pool that it belongs to.
    data_centre, rack : str
        Failure domains.
    address : str
        Base URL.
    slots : int
        Requests that it can run at the same time.
    cores : float
        Processor cores.
    memory_mb : int
        Memory in megabytes.
    state : InstanceState
        Life cycle state.
    reason : str
        What took it out of service: an operator or a maintenance wave.
    move_to : str
        Pool that it moves to once it is drained, empty if it stays.
    boot : int
        Boot number before the reboot in progress, which ends with a higher one.
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
    """Desired number of instances in a pool under a preset."""

    pool: str
    instances: int


@dataclass(frozen=True, slots=True)
class QueueShare:
    """Guaranteed share of a queue while a preset is in force."""

    queue: str
    share: float


@dataclass(frozen=True, slots=True)
class Preset:
    """A named set of pool sizes and queue shares.

    Parameters
    ----------
    name : str
        Name of the preset.
    sizes : tuple of PoolSize
        Desired pool sizes; pools that are not named keep their size.
    shares : tuple of QueueShare
        Shares that replace the configured shares of queues.
    maintenance : bool
        Whether maintenance waves may run.
    """

    name: str
    sizes: tuple[PoolSize, ...] = ()
    shares: tuple[QueueShare, ...] = ()
    maintenance: bool = False
