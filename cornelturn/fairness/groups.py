"""Waiting steps in groups that are tried alike, by tier and organisation."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass, field
from enum import IntEnum, auto
from typing import Any, NamedTuple

from sortedcontainers import SortedDict, SortedList

from cornelturn.fairness.shares import JobPhase, Standing
from cornelturn.jobs.model import Resources


class WorkClass(IntEnum):
    """Class of a waiting step within its priority, the first to start first."""

    LASTING = auto()
    WITHIN_RATE = auto()
    BEYOND_RATE = auto()


class Tier(NamedTuple):
    """What comes before the rank of an organisation in the order.

    Parameters
    ----------
    outlook : int
        Outlook of the job, the lowest number first.
    """

    priority: int
    work_class: WorkClass
    outlook: int


class Claim(NamedTuple):
    """Whose turn a waiting step takes."""

    organisation: str
    phase: JobPhase


class Place(NamedTuple):
    """Tier and claim of a waiting step."""

    tier: Tier
    claim: Claim


Rank = tuple[Standing, float]
"""Rank of a step among those of all organisations (`FairShares.rank`)."""


class RankedHead(NamedTuple):
    """First step of a claim in a queue, with the rank of the claim."""

    rank: Rank
    key: Any
    claim: Claim


class Turn(NamedTuple):
    """First step of a group in the order.

    Parameters
    ----------
    rank : Rank
        Rank of the claim with this step.
    key : Any
        Sort key of the step.
    """

    tier: Tier
    rank: Rank
    key: Any
    claim: Claim

    def ranked_head(self) -> RankedHead:
        """Return the part that a queue of the tier is sorted by."""
        return RankedHead(self.rank, self.key, self.claim)


@dataclass(frozen=True, slots=True)
class Entry:
    """A waiting step in the order.

    Parameters
    ----------
    requirement : Hashable
        Steps with equal requirements fit alike.
    need : Resources
        Resources of one task, or of all tasks of a gang.
    step_need : Resources
        Resources of all tasks.
    """

    requirement: Hashable
    place: Place
    need: Resources
    step_need: Resources


@dataclass(slots=True, eq=False)
class TierQueue:
    """Waiting steps of one tier.

    Parameters
    ----------
    steps : dict
        Keys of the steps of each claim.
    heads : dict
        First step of each of these claims.
    heap : list
        Heap of these first steps, and of former ones, which are dropped when they come
        to the top.
    """

    group: StepGroup
    steps: dict[Claim, SortedList] = field(default_factory=dict)
    heads: dict[Claim, RankedHead] = field(default_factory=dict)
    heap: list[RankedHead] = field(default_factory=list)


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
