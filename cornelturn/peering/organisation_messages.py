"""Figures of organisations that entries show to operators.

They are for people only: no decision may use them.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from cornelturn.model.decoding import Int64
from cornelturn.quota.amounts import NOTHING, Amount


class PoolOrganisation(NamedTuple):
    """Figures of one organisation in one pool.

    Parameters
    ----------
    running : Amount
        What is starting, running or being stopped.
    runs : int
        Number of these runs.
    waiting_tasks : int
        Tasks that may start but for room, shares and quota.
    waiting_cpu : int
        CPU that these need, in thousandths of a core.
    quota_refusals : int
        How often the quota refused a step since the owner has counted.
    """

    organisation: str
    running: Amount = NOTHING
    runs: Int64 = 0
    waiting_tasks: Int64 = 0
    waiting_cpu: Int64 = 0
    quota_refusals: Int64 = 0


@dataclass(frozen=True, slots=True)
class PoolFigures:
    """Figures of the organisations in a pool, as its owner knows them.

    Parameters
    ----------
    counted_ms : int
        Time for which the owner has counted refusals.
    capacity : Amount
        Capacity of the targets that take work.
    rows : tuple of PoolOrganisation
        Organisations with a figure other than 0.
    """

    counted_ms: Int64
    capacity: Amount
    rows: tuple[PoolOrganisation, ...]


@dataclass(frozen=True, slots=True)
class FiguresWanted:
    """Request for figures, to all entries from one that an operator requests them from.

    It is repeated as long as the operator does that. An entry that has not sent it
    lately gets no figures.
    """


class RefusalCount(NamedTuple):
    """Number of jobs of an organisation that were refused for one reason."""

    organisation: str
    reason: str
    count: Int64


@dataclass(frozen=True, slots=True)
class AdmissionRefusals:
    """Jobs that the sender has refused, to the entries that request figures.

    Parameters
    ----------
    counted_ms : int
        Time for which the sender has counted, since it started.
    """

    counted_ms: Int64
    counts: tuple[RefusalCount, ...]


class ConfirmedCap(NamedTuple):
    """A cap that is in force at the owners of all pools.

    Parameters
    ----------
    version : int
        Version of the configuration that set it, or in which the broker found it.
    spread_ms : int
        Time from the first owner that had the version to the last.
    age_ms : int
        Time since the last owner had it.
    """

    organisation: str
    cap: Amount
    version: Int64
    spread_ms: Int64
    age_ms: Int64


@dataclass(frozen=True, slots=True)
class CapsConfirmed:
    """All confirmed caps, from the broker to the entries that request figures.

    Parameters
    ----------
    generation : int
        Generation of the broker.
    """

    generation: Int64
    caps: tuple[ConfirmedCap, ...]
