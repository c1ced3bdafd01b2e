"""Checks which targets a request for approval names, for any knowledge."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from cornelturn.advice.knowledge import StepAdvice, Ticket
from cornelturn.advice.selection import Option, choose_targets
from cornelturn.targets.model import TargetLife

LIVES = [TargetLife(f"t-{number:02}", 1) for number in range(20)]
lives = st.sets(st.sampled_from(LIVES))


@given(lives, lives, lives, st.integers(1, 3), st.integers(1, 30), st.integers(1, 30))
def test_request_names_no_target_in_vain(valid, ended, refused, slots, width, limit):
    """A refused target or one with a ticket costs time of the service for nothing."""
    advice = StepAdvice()
    for life in ended - valid:
        advice.tickets[life] = Ticket("ended", 5)
    for life in valid:
        advice.tickets[life] = Ticket("valid", 20)
    advice.approved = {life.name for life in valid | ended}
    advice.refused = {life.name for life in refused} - advice.approved
    options = [Option(life, slots) for life in LIVES]
    chosen = choose_targets(advice, options, width, 0.5, limit, 10)
    names = {life.name for life in chosen}
    assert len(names) == len(chosen) <= limit
    assert not names & advice.refused
    assert not valid & set(chosen)
    open_lives = (
        set(LIVES) - valid - {life for life in LIVES if life.name in advice.refused}
    )
    is_covered = len(valid) * slots >= width
    assert bool(chosen) is (bool(open_lives) and not is_covered)
