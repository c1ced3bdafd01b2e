"""Choices of duties are the same on all entries, and hand-overs terminate."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from hypothesis import given
from hypothesis import strategies as st

from cornelturn.ownership.duties import (
    FLEET_DUTY,
    DutyRow,
    HeldTarget,
    VersionedDuty,
)
from cornelturn.ownership.duty_choice import (
    CandidateEntries,
    duties_to_take,
    duty_to_hand_over,
)
from cornelturn.targets.model import TargetLife

CORES = (0.516, 1.0, 2.15)
MOST_TARGETS = 120
NOBODY = ""


@dataclass(slots=True)
class Fleet:
    """Rows of duties, which all entries read alike.

    Parameters
    ----------
    hand_overs : int
        Number of hand-overs so far.
    """

    entries: CandidateEntries
    known: dict[str, VersionedDuty] = field(default_factory=dict)
    hand_overs: int = 0

    def duties_taken(self) -> dict[str, list[str]]:
        """Return the duties that each entry would take."""
        names = self.entries.reachable
        return {
            name: duties_to_take(name, self.known, self.known, self.entries)
            for name in names
        }

    def settle(self) -> None:
        """Assign all free duties."""
        for name, duties in self.duties_taken().items():
            for duty in duties:
                self._write(duty, name)

    def hand_over(self, entry: str) -> None:
        """Hand a pool of an entry over if another one has a lower load."""
        held = [
            duty
            for duty, known_duty in self.known.items()
            if known_duty.row.holder == entry and duty != FLEET_DUTY
        ]
        duty = duty_to_hand_over(entry, held, self.known, self.entries)
        if duty is not None:
            self.hand_overs += 1
            self._write(duty, NOBODY)
            self.settle()

    def _write(self, duty: str, holder: str) -> None:
        known_duty = self.known[duty]
        row = replace(known_duty.row, holder=holder, incarnation=1)
        self.known[duty] = VersionedDuty(row, known_duty.version + 1)


@st.composite
def fleets(draw: st.DrawFn) -> Fleet:
    """Return a fleet with duties that some entries hold."""
    cores = draw(st.lists(st.sampled_from(CORES), min_size=1, max_size=9))
    processors = {
        f"entry-{number}": entry_cores for number, entry_cores in enumerate(cores)
    }
    entries = CandidateEntries(
        dict.fromkeys(processors, 1), frozenset(processors), processors
    )
    counts = draw(st.lists(st.integers(0, MOST_TARGETS), max_size=9))
    sizes = {f"pool-{number}": count for number, count in enumerate(counts)}
    holders = st.sampled_from([NOBODY, *processors])
    rows = {pool: DutyRow(draw(holders), 1, 1) for pool in sizes}
    rows[FLEET_DUTY] = DutyRow(draw(holders), 1, 1, sizes=sizes)
    return Fleet(entries, {duty: VersionedDuty(row, 1) for duty, row in rows.items()})


@given(fleets())
def test_each_free_duty_falls_to_exactly_one_entry(fleet: Fleet):
    taken = [duty for duties in fleet.duties_taken().values() for duty in duties]
    free = [
        duty for duty, known_duty in fleet.known.items() if not known_duty.row.holder
    ]
    assert sorted(taken) == sorted(free)


@given(fleets(), st.data())
def test_hand_overs_terminate_and_changed_target_counts_start_no_more(
    fleet: Fleet, data: st.DataObject
):
    fleet.settle()
    rounds = len(fleet.known) ** 2
    for _ in range(rounds):
        before = fleet.hand_overs
        for name in sorted(fleet.entries.reachable):
            fleet.hand_over(name)
        if fleet.hand_overs == before:
            break
    assert fleet.hand_overs == before
    for duty in fleet.known.keys() - {FLEET_DUTY}:
        known_duty = fleet.known[duty]
        count = data.draw(st.integers(0, MOST_TARGETS))
        targets = tuple(
            HeldTarget(TargetLife(f"target-{number}", 1), "") for number in range(count)
        )
        row = replace(known_duty.row, targets=targets)
        fleet.known[duty] = VersionedDuty(row, known_duty.version + 1)
    for name in sorted(fleet.entries.reachable):
        fleet.hand_over(name)
    assert fleet.hand_overs == before


@given(fleets())
def test_released_duty_does_not_return_to_the_entry_that_handed_it_over(fleet: Fleet):
    fleet.settle()
    for name in sorted(fleet.entries.reachable):
        before = fleet.hand_overs
        held = {
            duty
            for duty, known_duty in fleet.known.items()
            if known_duty.row.holder == name
        }
        fleet.hand_over(name)
        still_held = {
            duty
            for duty, known_duty in fleet.known.items()
            if known_duty.row.holder == name
        }
        assert len(held - still_held) == fleet.hand_overs - before
