"""Checks that no sequence of faults lets an organisation run more than its cap."""

from __future__ import annotations

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from cornelturn.jobs.model import Resources
from cornelturn.quota.amounts import Amount
from cornelturn.quota.split import PoolDemand, split
from cornelturn.tests.quota_model import ModelPool, QuotaModel

EVENTS = 250
NEEDS = (Resources(1, 1), Resources(3, 1), Resources(5, 8), Resources(40, 2))
CAPS = (Resources(10), Resources(30, 20), Resources(60), Resources(0, 25))

amounts = st.builds(Amount, st.integers(0, 60), st.integers(0, 60), st.just(0))
demands = st.builds(
    lambda held, unit, count, since: PoolDemand(
        held, unit.times(count), unit if count else Amount(), since if count else None
    ),
    amounts,
    st.builds(Amount, st.integers(1, 20), st.integers(0, 9), st.just(0)),
    st.integers(0, 30),
    st.none() | st.integers(0, 3),
)


def play(model: QuotaModel, rng: random.Random) -> None:
    """Let one random event happen."""
    pool = rng.choice(model.pools)
    event = rng.choices(
        (
            "report", "deliver", "lose", "repeat", "demand", "start", "end", "broker",
            "see broker", "owner", "find", "cap", "configure", "configure broker",
            "time",
        ),
        (20, 40, 4, 4, 10, 25, 15, 2, 4, 2, 6, 2, 4, 4, 6),
    )[0]  # fmt: skip
    match event:
        case "report":
            model.network.append(pool.report())
        case "deliver" if model.network:
            index = rng.randrange(len(model.network))
            model.deliver(model.network.pop(index))
        case "lose" if model.network:
            model.network.pop(rng.randrange(len(model.network)))
        case "repeat" if model.network:
            model.network.append(rng.choice(model.network))
        case "demand":
            pool.waiting = rng.choice((0, 3, 100))
            pool.need = rng.choice(NEEDS)
        case "start":
            model.start(pool)
        case "end":
            for _ in range(rng.randrange(1, 8)):
                pool.end(rng)
        case "broker":
            model.add_broker()
        case "see broker":
            pool.seen_broker = len(model.ledgers)
        case "owner":
            # An owner acts once it has read the rows as of when it took the pool.
            version = rng.randint(pool.version, model.version)
            cap = model.caps[version - 1]
            pool.replace_owner(len(model.ledgers), cap, version)
        case "find":
            pool.find_runs()
        case "cap":
            model.change_cap(rng.choice(CAPS))
        case "configure":
            pool.configure(model.caps[-1], model.version)
        case "configure broker":
            model.configure(rng.choice(model.ledgers), model.version)
        case "time":
            model.now_ms += 300


@settings(max_examples=300, deadline=None)
@given(st.integers(0, 1 << 32), st.integers(1, 4))
def test_all_pools_together_never_exceed_the_cap_by_more_than_one_task(seed, pools):
    rng = random.Random(seed)
    names = [f"pool-{number}" for number in range(pools)]
    model = QuotaModel(
        rng, [rng.choice(CAPS)], [ModelPool(name, NEEDS[0]) for name in names]
    )
    for _ in range(EVENTS):
        play(model, rng)


@settings(max_examples=150, deadline=None)
@given(st.integers(0, 1 << 32), st.integers(1, 4))
def test_after_any_faults_the_whole_cap_is_used_again(seed, pools):
    """Guards against allotments that stay with pools without demand."""
    rng = random.Random(seed)
    names = [f"pool-{number}" for number in range(pools)]
    cap = Resources(30, 40)
    model = QuotaModel(rng, [cap], [ModelPool(name, NEEDS[0]) for name in names])
    for _ in range(EVENTS):
        play(model, rng)
    model.change_cap(cap)
    for ledger in model.ledgers[-1:]:
        model.configure(ledger, model.version)
    for pool in model.pools:
        pool.configure(cap, model.version)
        pool.seen_broker = len(model.ledgers)
        pool.find_runs()
        pool.waiting = 0
        for _ in range(len(pool.runs)):
            pool.end(rng)
    model.network.clear()
    model.now_ms += 1_000
    wanting = rng.choice(model.pools)
    wanting.waiting, wanting.need = 100, Resources(1, 1)
    model.exchange()
    assert model.running() == Amount(30, 30, 0)


@given(amounts, st.lists(demands, min_size=1, max_size=6))
def test_parts_of_a_cap_are_within_it_and_leave_nothing_that_is_wanted(cap, given_):
    cap = cap.highest(Amount(1, 1, 0))
    wanted = [
        PoolDemand(
            demand.held, demand.waiting, demand.unit.lowest(cap), demand.idle_since_ms
        )
        for demand in given_
    ]
    parts = split(cap, wanted)
    total = Amount()
    for part in parts:
        assert min(part) >= 0
        total = total.plus(part)
    assert total.fits_in(cap)
    # What is left over is given out, so no resource is kept from all pools.
    assert total == cap or not parts
