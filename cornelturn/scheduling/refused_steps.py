"""Waiting steps that the quota refuses; passes do not try them until it may admit them.

They are kept out of the order, so that the cost of a pass does not grow with their
number.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from heapq import merge
from typing import TYPE_CHECKING

from sortedcontainers import SortedList

from cornelturn.fairness.groups import Entry
from cornelturn.jobs.model import Resources
from cornelturn.quota.allotment import QuotaGate
from cornelturn.quota.amounts import amount_of

if TYPE_CHECKING:
    from cornelturn.scheduling.start_keys import StartKey

MAX_READMITTED = 16
"""Steps of one organisation that are tried again in one pass at most."""


@dataclass(frozen=True, slots=True)
class RefusedStep:
    """A refused step.

    Parameters
    ----------
    need : Resources
        What a start counts against the cap.
    """

    entry: Entry
    need: Resources


@dataclass(slots=True)
class RefusedSteps:
    """Refused steps by organisation and need, each in start order.

    Parameters
    ----------
    steps : dict
        All refused steps, by their keys.
    by_organisation : dict
        Tiers and keys of the refused steps of each organisation, by their needs. The
        quota admits all steps of one need or none, so that steps which are too large
        cost one check together.
    used_up : set of str
        Organisations of which a step was refused since their quota last changed.
    counts : Counter
        How often steps of each organisation were refused, for operators only.
    """

    quota: QuotaGate = field(default_factory=QuotaGate)
    steps: dict[StartKey, RefusedStep] = field(default_factory=dict)
    by_organisation: dict[str, dict[Resources, SortedList]] = field(
        default_factory=dict
    )
    used_up: set[str] = field(default_factory=set)
    counts: Counter[str] = field(default_factory=Counter)

    def add(self, key: StartKey, step: RefusedStep) -> None:
        """Add a step that was just refused."""
        tier, organisation = step.entry.place.tier, step.entry.place.claim.organisation
        self.steps[key] = step
        by_need = self.by_organisation.setdefault(organisation, {})
        by_need.setdefault(step.need, SortedList()).add((tier, key))
        self.used_up.add(organisation)
        self.counts[organisation] += 1

    def discard(self, key: StartKey) -> None:
        """Remove a step; one that is not refused is ignored."""
        step = self.steps.pop(key, None)
        if step is None:
            return
        tier, organisation = step.entry.place.tier, step.entry.place.claim.organisation
        by_need = self.by_organisation[organisation]
        by_need[step.need].remove((tier, key))
        if not by_need[step.need]:
            del by_need[step.need]
        if not by_need:
            del self.by_organisation[organisation]

    def clear(self) -> None:
        """Remove all steps."""
        self.steps.clear()
        self.by_organisation.clear()
        self.used_up.clear()

    def take_admitted(self) -> list[tuple[StartKey, Entry]]:
        """Remove and return the steps to try again, at most some of an organisation.

        While none of those is refused, each pass takes the next ones: the first may
        fit no target.
        """
        self.used_up -= self.quota.take_retry_due()
        admitted: list[tuple[StartKey, Entry]] = []
        for organisation in self.by_organisation.keys() - self.used_up:
            keys = self._admitted_keys(organisation)
            if not keys:
                self.used_up.add(organisation)
            for key in keys:
                admitted.append((key, self.steps[key].entry))
                self.discard(key)
        return admitted

    def _admitted_keys(self, organisation: str) -> list[StartKey]:
        """Return the first steps of which a start each fits in the room together.

        The end of a run makes room for a few starts; trying more costs time without
        effect.
        """
        room = self.quota.room(organisation)
        admitted = [
            steps
            for need, steps in self.by_organisation[organisation].items()
            if self.quota.request_start(organisation, need)
        ]
        keys: list[StartKey] = []
        for _, key in merge(*admitted):
            if room is not None:
                need = amount_of(self.steps[key].need)
                counted = need.limited_by(self.quota.caps[organisation])
                if keys and not counted.fits_in(room):
                    break
                room = room.minus(counted)
            keys.append(key)
            if len(keys) == MAX_READMITTED:
                break
        return keys
