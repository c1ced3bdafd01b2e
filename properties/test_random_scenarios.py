"""Invariants of the requests under random mixes of faults, on a fake clock."""

from __future__ import annotations

import os
from pathlib import Path
from tempfile import TemporaryDirectory

from hypothesis import given, settings
from hypothesis import strategies as st

from cornelturn.tests.scenario import run_under_fake_clock

EXAMPLES = int(os.environ.get("SCENARIO_EXAMPLES", "12"))
FIXED = settings(max_examples=EXAMPLES, deadline=None, derandomize=True, database=None)
ENTRIES = [f"entry-{number}" for number in range(4)]
SURVIVORS = ENTRIES[2:]
TARGETS = [f"target-{number}" for number in range(4)]
STORE_FAULTS = ["down", "slow", "silent", "lose_answers", "none"]
TARGET_FAULTS = ["fail", "crash_answer", "stale", "leaving", "none"]
HOLDS = """
heal
store none
target target-0 none
target target-1 none
thaw entry-0
thaw entry-1
expect all entries connected
await answers
expect no not_run request started
repeat every collection once more
await answers
expect every lookup completed
expect every collection has an outcome
expect no collection started twice
expect every answer matches its request
switch to peak at entry-3
expect preset peak in force
"""
"""Repairs all faults, and then expects the invariants."""


@st.composite
def steps(draw: st.DrawFn) -> str:
    """Return one step of a script.

    Only the first two entries are killed or frozen and only the first two
    targets fail, so that the requests can be served in the end.
    """
    count = draw(st.integers(1, 20))
    kind = draw(st.integers(0, 10))
    if kind <= 2:
        return f"send {count} {draw(st.sampled_from(['lookup', 'collection']))}"
    if kind == 3:
        return f"send {count} collection async"
    if kind == 4:
        return f"store {draw(st.sampled_from(STORE_FAULTS))} for {count} calls"
    if kind == 5:
        return f"store {draw(st.sampled_from(STORE_FAULTS))}"
    if kind == 6:
        target = draw(st.sampled_from(TARGETS[:2]))
        return f"target {target} {draw(st.sampled_from(TARGET_FAULTS))}"
    if kind == 7:
        action = draw(st.sampled_from(["kill", "freeze", "thaw"]))
        return f"{action} {draw(st.sampled_from(ENTRIES[:2]))}"
    if kind == 8:
        first, second = draw(st.permutations(ENTRIES))[:2]
        return draw(
            st.sampled_from(
                [f"silence {first} and {second}", f"partition {first} from {second}"]
            )
        )
    if kind == 9:
        return f"lose {count} percent of frames\ndelay frames up to {count * 10} ms"
    return f"wait {count * 500} ms"


@FIXED
@given(
    st.lists(steps(), min_size=4, max_size=14),
    st.sampled_from([20, 300, 2_000]),
    st.integers(0, 1_000),
)
def test_random_faults(drawn: list[str], run_ms: int, seed: int) -> None:
    first = f"entries 4 targets 4 runtime {run_ms} ms\nsend 5 lookup\nsend 5 collection"
    text = "\n".join([first, *drawn, HOLDS])
    with TemporaryDirectory() as folder:
        run_under_fake_clock(Path(folder), text, seed)
