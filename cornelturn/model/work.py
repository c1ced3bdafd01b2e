"""Queues of requests, their work classes and the sizes of requests."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class WorkClass(IntEnum):
    """Urgency of a queue; a lower value is served first."""

    URGENT = 0
    STANDARD = 1
    LONG = 2


@dataclass(frozen=True, slots=True)
class Size:
    """Declared resource demand and run time of a request.

    Parameters
    ----------
    cores : float
        Processor cores, 0 if not declared.
    memory_mb : int
        Memory in megabytes, 0 if not declared.
    run_ms : int
        Run time in milliseconds, 0 if not declared.
    """

    cores: float = 0.0
    memory_mb: int = 0
    run_ms: int = 0


@dataclass(frozen=True, slots=True)
class Queue:
    """A queue and the rules under which its requests run.

    Parameters
    ----------
    name : str
        Name of the queue.
    pool : str
        Name of the pool that serves the queue.
    work_class : WorkClass
        Urgency.
    idempotent : bool
        Whether a request may run more than once.
    share : float
        Guaranteed share of the slots of the pool, 0 to 1.
    deadline_ms : int
        Default time until the deadline of a request.
    run_ms : int
        Run time assumed until run times have been observed.
    overflow : tuple of str
        Pools that may serve the queue when its own pool is full, in order.
    """

    name: str
    pool: str
    work_class: WorkClass
    idempotent: bool
    share: float
    deadline_ms: int
    run_ms: int
    overflow: tuple[str, ...] = ()
