"""What the owner of a pool reports of its waiting work; part of `PoolCounts`.

Work is in thousandths of a core times milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from cornelturn.model.decoding import Int64

THOUSANDTHS = 1_000

MAX_BACKLOG_ROWS = 1_000
"""Rows of one report: 240 organisations with four sizes of work each. A row takes about
30 bytes, and a report goes to each entry twice a second."""

MAX_SIZE_CLASS = 62


def size_class(declared_work: int) -> int:
    """Return the class of a job by its declared work; each doubles the one before."""
    return min(max(0, declared_work).bit_length(), MAX_SIZE_CLASS)


class BacklogRow(NamedTuple):
    """Waiting work that has one place in the start order.

    Encoded without the names of its fields.

    Parameters
    ----------
    work_class, outlook : int
        Numbers of `WorkClass` and `Outlook`.
    size : int
        Class of its jobs by their declared remaining work.
    work : int
        Expected work, by the learnt factor of its queue.
    """

    priority: Int64
    work_class: Int64
    outlook: Int64
    organisation: str
    size: Int64
    work: Int64


class QueueFactor(NamedTuple):
    """Real work of a queue's ended tasks in thousandths of the declared one."""

    queue: str
    thousandths: Int64


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
    room: Int64 = 0
    capacity: Int64 = 0
    idle: Int64 = 0
    factors: tuple[QueueFactor, ...] = ()
    tokens: tuple[RateTokens, ...] = ()
