"""Choices of duties: alike on all entries, and at rest after some hand-overs."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from hypothesis import given
from hypothesis import strategies as st

from cornelturn.ownership.duties import (
    FLEET_DUTY,
    DutyRow,
    Entries,
    HeldTarget,
    SeenDuty,
    duties_to_take,
    duty_to_hand_over,
)
from cornelturn.targets.model import TargetLife

CORES = (0.516, 1.0, 2.15)
MOST_TARGETS = 120
NOBODY = ""


@dataclass(slots=True)
class Fleet:
    """Rows of duties as all entries see them.

    Parameters
    ----------
    moves : int
        Duties that were handed over.
    """

    view: Entries
    seen: dict[str, SeenDuty] = field(default_factory=dict)
    moves: int = 0

    def taken(self) -> dict[str, list[str]]:
        """Return what each entry would take."""
        names = self.view.reachable
        return {
            name: duties_to_take(name, self.seen, self.seen, self.view)
            for name in names
        }

    def settle(self) -> None:
        """Have all free duties taken."""
        for name, duties in self.taken().items():
            for duty in duties:
                self._write(duty, name)

    def hand_over(self, entry: str) -> None:
        """Have an entry hand a pool over if another one carries it better."""
        held = [
            duty
            for duty, one in self.seen.items()
            if one.row.holder == entry and duty != FLEET_DUTY
        ]
        duty = duty_to_hand_over(entry, held, self.seen, self.view)
        if duty is not None:
            self.moves += 1
            self._write(duty, NOBODY)
            self.settle()

    def _write(self, duty: str, holder: str) -> None:
        found = self.seen[duty]
        row = replace(found.row, holder=holder, incarnation=1)
        self.seen[duty] = SeenDuty(row, found.version + 1)


@st.composite
def fleets(draw: st.DrawFn) -> Fleet:
    """Return a fleet with duties that some entries hold."""
    cores = draw(st.lists(st.sampled_from(CORES), min_size=1, max_size=9))
    processors = {f"entry-{number}": one for number, one in enumerate(cores)}
    view = Entries(dict.fromkeys(processors, 1), frozenset(processors), processors)
    counts = draw(st.lists(st.integers(0, MOST_TARGETS), max_size=9))
    sizes = {f"pool-{number}": count for number, count in enumerate(counts)}
    holders = st.sampled_from([NOBODY, *processors])
    rows = {pool: DutyRow(draw(holders), 1, 1) for pool in sizes}
    rows[FLEET_DUTY] = DutyRow(draw(holders), 1, 1, sizes=sizes)
    return Fleet(view, {duty: SeenDuty(row, 1) for duty, row in rows.items()})


@given(fleets())
def test_each_free_duty_falls_to_exactly_one_entry(fleet: Fleet):
    taken = [duty for duties in fleet.taken().values() for duty in duties]
    free = [duty for duty, one in fleet.seen.items() if not one.row.holder]
    assert sorted(taken) == sorted(free)


@given(fleets(), st.data())
def test_hand_overs_come_to_an_end_and_turns_of_the_pools_start_no_more(
    fleet: Fleet, data: st.DataObject
):
    fleet.settle()
    rounds = len(fleet.seen) ** 2
    for _ in range(rounds):
        before = fleet.moves
        for name in sorted(fleet.view.reachable):
            fleet.hand_over(name)
        if fleet.moves == before:
            break
    assert fleet.moves == before
    for duty in fleet.seen.keys() - {FLEET_DUTY}:
        found = fleet.seen[duty]
        count = data.draw(st.integers(0, MOST_TARGETS))
        targets = tuple(
            HeldTarget(TargetLife(f"target-{number}", 1), "") for number in range(count)
        )
        row = replace(found.row, targets=targets)
        fleet.seen[duty] = SeenDuty(row, found.version + 1)
    for name in sorted(fleet.view.reachable):
        fleet.hand_over(name)
    assert fleet.moves == before


@given(fleets())
def test_released_duty_does_not_return_to_the_entry_that_handed_it_over(fleet: Fleet):
    fleet.settle()
    for name in sorted(fleet.view.reachable):
        before = fleet.moves
        held = {duty for duty, one in fleet.seen.items() if one.row.holder == name}
        fleet.hand_over(name)
        kept = {duty for duty, one in fleet.seen.items() if one.row.holder == name}
        assert len(held - kept) == fleet.moves - before
