"""Waiting steps in groups that are tried alike, by tier and organisation."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass, field
from enum import IntEnum, auto
from typing import Any, NamedTuple

from sortedcontainers import SortedDict, SortedList

from cornelturn.jobs.model import Resources


class WorkClass(IntEnum):
    """Class of a waiting step within its priority, the first to start first."""

    LASTING = auto()
    WITHIN_RATE = auto()
    BEYOND_RATE = auto()


class Tier(NamedTuple):
    """What comes before the share of an organisation in the order.

    Parameters
    ----------
    outlook : int
        Outlook of the job, the lowest number first.
    """

    priority: int
    work_class: WorkClass
    outlook: int


class Place(NamedTuple):
    """Tier and organisation of a waiting step."""

    tier: Tier
    organisation: str


class Turn(NamedTuple):
    """First step of a group in the order.

    Parameters
    ----------
    share : float
        Weighted share of the organisation.
    key : Any
        Sort key of the step inside its organisation.
    """

    tier: Tier
    share: float
    organisation: str
    key: Any


@dataclass(frozen=True, slots=True)
class Entry:
    """A waiting step in the order.

    Parameters
    ----------
    requirement : Hashable
        Steps with equal requirements fit alike.
    need : Resources
        Resources of one task, or of all tasks of a gang.
    """

    requirement: Hashable
    place: Place
    need: Resources


@dataclass(slots=True, eq=False)
class TierQueue:
    """Waiting steps of one tier.

    Parameters
    ----------
    steps : dict
        Keys of the steps of each organisation.
    heap : list
        Heap of the weighted share and the name of each of these organisations, and of
        former shares, which are dropped when they come to the top.
    """

    group: StepGroup
    steps: dict[str, SortedList] = field(default_factory=dict)
    heap: list[tuple[float, str]] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class StepGroup:
    """Waiting steps that are tried alike, by tier.

    Parameters
    ----------
    cpu : int
        CPU that a task needs.
    head : Turn or None
        First step in the order, None if it is not known.
    """

    cpu: int = 0
    tiers: SortedDict = field(default_factory=SortedDict)
    head: Turn | None = None
