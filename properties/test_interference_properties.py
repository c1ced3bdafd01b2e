"""Property tests of the pace of filling work."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from cornelturn.benchmarks.interference import ControllerPacer, PlayedLoad, play
from cornelturn.interference.run_pace import RunPace
from cornelturn.targets.model import FULL_PACE, Declined, Executed, Unanswered

IMPACT_MS = 4_000
TURN_MS = 50

OWN = st.lists(st.floats(0.1, 0.95), min_size=1, max_size=4).map(tuple)
FACTORS = st.lists(st.floats(0.0, 3.0), min_size=1, max_size=4).map(tuple)


@settings(deadline=None, max_examples=60)
@given(
    own=OWN, factors=FACTORS, mean_ms=st.integers(2_000, 20_000), seed=st.integers(0)
)
def test_no_serving_run_stays_over_its_limit_because_of_filling_work(
    own, factors, mean_ms, seed
):
    """Fails if any sequence of loads and factors keeps a run over its limit."""
    load = PlayedLoad(own, factors, mean_ms)
    result = play(load, ControllerPacer(), seed, duration_ms=60_000)
    assert result.longest_ms() < IMPACT_MS


@settings(deadline=None, max_examples=40)
@given(own=st.floats(0.1, 0.6), seed=st.integers(0))
def test_undisturbed_filling_work_gets_most_of_the_unused_capacity(own, seed):
    """Fails if noise alone keeps the pace down."""
    load = PlayedLoad((own,), (0.0, 0.02), 5_000)
    result = play(load, ControllerPacer(), seed, duration_ms=60_000)
    assert result.work_share > 0.8


class PacedTarget:
    """A run on a target; orders are carried out at once, late or never."""

    def __init__(self) -> None:
        self.pace = FULL_PACE
        self.late: list[tuple[int, int]] = []
        self.answers: list[tuple[int, int, object]] = []

    def take(self, percent: int, fate: str, now_ms: int) -> None:
        match fate:
            case "executed":
                self.pace = percent
                self.answers.append((now_ms + TURN_MS, percent, Executed()))
            case "declined":
                self.answers.append((now_ms + TURN_MS, percent, Declined("404")))
            case "lost":
                self.answers.append((now_ms + 700, percent, Unanswered("timeout")))
            case "late":
                self.late.append((now_ms + 900, percent))
                self.answers.append((now_ms + 700, percent, Unanswered("timeout")))
            case "answer_lost":
                self.pace = percent
                self.answers.append((now_ms + 700, percent, Unanswered("timeout")))

    def advance(self, pace: RunPace, now_ms: int) -> None:
        for due_ms, percent in list(self.late):
            if due_ms <= now_ms:
                self.late.remove((due_ms, percent))
                self.pace = percent
        for answer in list(self.answers):
            if answer[0] <= now_ms:
                self.answers.remove(answer)
                pace.settle(answer[1], answer[2], now_ms)


FATES = st.sampled_from(["executed", "declined", "lost", "late", "answer_lost"])
PACES = st.integers(0, FULL_PACE)
TURNS = st.lists(st.tuples(PACES, FATES, st.integers(1, 20)), max_size=12)


@settings(deadline=None)
@given(turns=TURNS, last=PACES)
def test_target_ends_with_the_wanted_pace_whatever_happens_to_orders(turns, last):
    """Fails if a lost or late order leaves another pace, or orders never end."""
    pace, target, now_ms = RunPace(), PacedTarget(), 0
    for wanted, fate, steps in [*turns, (last, "executed", 120)]:
        pace.wanted, sent = wanted, 0
        for _ in range(steps):
            now_ms += TURN_MS
            target.advance(pace, now_ms)
            percent = pace.next_order(now_ms)
            if percent is not None:
                sent += 1
                target.take(percent, fate, now_ms)
            assert pace.lowest() <= target.pace
    assert sent <= 6
    assert target.pace <= last
    assert last - target.pace < 5
