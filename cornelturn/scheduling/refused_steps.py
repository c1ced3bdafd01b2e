"""Waiting steps that the quota refuses; passes do not try them until it may admit them.

They are kept out of the order, so that the cost of a pass does not grow with their
number.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from sortedcontainers import SortedDict

from cornelturn.fairness.groups import Entry
from cornelturn.jobs.model import Resources
from cornelturn.quota.allotment import QuotaGate
from cornelturn.quota.amounts import amount_of

if TYPE_CHECKING:
    from cornelturn.scheduling.waiting import StartKey

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
    """Refused steps by organisation, in start order.

    Parameters
    ----------
    by_organisation : dict
        Refused steps of each organisation, sorted by their keys.
    used_up : set of str
        Organisations of which a step was refused since their quota last changed.
    """

    quota: QuotaGate = field(default_factory=QuotaGate)
    by_organisation: dict[str, SortedDict] = field(default_factory=dict)
    used_up: set[str] = field(default_factory=set)

    def add(self, key: StartKey, step: RefusedStep) -> None:
        """Add a step that was just refused."""
        organisation = step.entry.place.organisation
        self.by_organisation.setdefault(organisation, SortedDict())[key] = step
        self.used_up.add(organisation)

    def discard(self, key: StartKey, organisation: str) -> None:
        """Remove a step; one that is not refused is ignored."""
        steps = self.by_organisation.get(organisation)
        if steps is None or steps.pop(key, None) is None:
            return
        if not steps:
            del self.by_organisation[organisation]

    def clear(self) -> None:
        """Remove all steps."""
        self.by_organisation.clear()
        self.used_up.clear()

    def take_admitted(self) -> list[tuple[StartKey, Entry]]:
        """Remove and return the steps to try again, at most some of an organisation.

        While none of those is refused, each pass takes the next ones: the first may
        fit no target.
        """
        self.used_up -= self.quota.take_raised()
        admitted: list[tuple[StartKey, Entry]] = []
        for organisation in list(self.by_organisation):
            if organisation in self.used_up:
                continue
            keys = self._admitted_keys(organisation)
            if not keys:
                self.used_up.add(organisation)
            steps = self.by_organisation[organisation]
            admitted.extend((key, steps.pop(key).entry) for key in keys)
            if not steps:
                del self.by_organisation[organisation]
        return admitted

    def _admitted_keys(self, organisation: str) -> list[StartKey]:
        """Return the first steps of which a start each fits in the room together.

        The end of a run makes room for one or two starts; to try more steps took six
        times as long for each decision.
        """
        room = self.quota.room(organisation)
        keys: list[StartKey] = []
        for key, step in self.by_organisation[organisation].items():
            if not self.quota.may_start(organisation, step.need):
                continue
            if room is not None:
                counted = amount_of(step.need).limited_by(self.quota.caps[organisation])
                if keys and not counted.fits_in(room):
                    break
                room = room.minus(counted)
            keys.append(key)
            if len(keys) == MAX_READMITTED:
                break
        return keys
