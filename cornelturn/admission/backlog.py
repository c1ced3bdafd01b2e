"""What the owner of a pool reports of its waiting work; part of `PoolCounts`.

Work is in thousandths of a core times milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from cornelturn.jobs.model import CPU_UNITS_PER_CORE
from cornelturn.model.decoding import Int64

THOUSANDTHS = 1_000
"""Factors and tokens are counted in thousandths of one."""

MAX_BACKLOG_ROWS = 250
"""Rows of one report, which then has about 6 KB and goes to each entry twice a second.
The last rows in the start order are left out, which accepts more."""

MAX_SIZE_CLASS = 31
"""Class of all jobs with a declared work of 2 to the power of 61 or more."""

MAX_WORK = 1 << 60
"""Largest work in a message. Callers may declare up to any number for each task, and a
number above 64 bits would end the task that encodes the message."""

FINE_NEED_CORES = 8
"""Cores up to which the needs of tasks are told apart one by one."""


def size_class(declared_work: int) -> int:
    """Return the class of a job by its declared work; each has four times the last."""
    return min(max(0, declared_work).bit_length() // 2, MAX_SIZE_CLASS)


def need_class(cpu: int) -> int:
    """Return the class of a task by the processors that it needs.

    Whole cores up to eight, then a class for each doubling.
    """
    cores = -(-max(0, cpu) // CPU_UNITS_PER_CORE)
    if cores <= FINE_NEED_CORES:
        return cores
    return FINE_NEED_CORES + ((cores - 1) // FINE_NEED_CORES).bit_length()


class BacklogRow(NamedTuple):
    """Waiting work that has one place in the start order.

    Encoded without the names of its fields.

    Parameters
    ----------
    work_class, outlook : int
        Numbers of `WorkClass` and `Outlook`.
    size : int
        Class of its jobs by their declared remaining work.
    need : int
        Class of its tasks by the processors that each needs.
    work : int
        Expected work, by the learnt factor of its queue.
    """

    priority: Int64
    work_class: Int64
    outlook: Int64
    organisation: str
    size: Int64
    need: Int64
    work: Int64


class QueueFactor(NamedTuple):
    """Real work of a queue's ended tasks in thousandths of the declared one."""

    queue: str
    thousandths: Int64


class NeedRate(NamedTuple):
    """Rate at which work of a class of needs, and of lower ones, is served.

    Parameters
    ----------
    rate : int
        Work in a millisecond.
    """

    need: Int64
    rate: Int64


class RateTokens(NamedTuple):
    """Thousandths of jobs that an organisation may submit now within its rate."""

    organisation: str
    thousandths: Int64


@dataclass(frozen=True, slots=True)
class PoolBacklog:
    """Waiting work of a pool, and how fast the pool serves it.

    Parameters
    ----------
    rows : tuple of BacklogRow
        Waiting work; without rows nothing waits.
    rate : int
        Work that the pool is expected to end in a millisecond.
    need_rates : tuple of NeedRate
        The part of the rate that tasks of up to some need get, where such tasks have
        waited for all of `RATE_WINDOW_MS`.
    room : int
        Work in a millisecond that moves of machines may still add.
    capacity, idle : int
        Processors of the targets that take tasks, and those without a task, in
        thousandths of a core.
    factors : tuple of QueueFactor
        Learnt factors of the queues whose tasks have ended.
    tokens : tuple of RateTokens
        Organisations that are close to their rate, or beyond it.
    """

    rows: tuple[BacklogRow, ...] = ()
    rate: Int64 = 0
    need_rates: tuple[NeedRate, ...] = ()
    room: Int64 = 0
    capacity: Int64 = 0
    idle: Int64 = 0
    factors: tuple[QueueFactor, ...] = ()
    tokens: tuple[RateTokens, ...] = ()
