"""Decisions on budgets, waves, moves, leases and membership, without processes."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import replace

import pytest

from cornelturn.benchmarks.simulation import make_instances
from cornelturn.fleet.budget import measure_budget
from cornelturn.fleet.lease import (
    LEASE_DURATION_MS,
    MAX_OBSERVATION_GAP_MS,
    LeaseRow,
    LeaseWatch,
    encode_lease,
)
from cornelturn.fleet.leaving import LeavingMarks
from cornelturn.fleet.moves import (
    SUSTAINED_SHORTAGE_MS,
    PoolDemand,
    SizePlanner,
    plan_moves,
)
from cornelturn.fleet.waves import (
    DrainPolicy,
    Wave,
    WaveState,
    new_wave,
    next_instances,
    wave_progress,
)
from cornelturn.model.configuration import Configuration
from cornelturn.model.fleet import Instance, InstanceState, Pool, PoolSize, Preset
from cornelturn.peering.membership import (
    HEARTBEAT_INTERVAL_MS,
    PEER_GONE_MS,
    PEER_TIMEOUT_MS,
    Membership,
    PeerChange,
    PeerState,
    Redial,
)
from cornelturn.peering.messages import Heartbeat, PeerAddress
from cornelturn.routing.rendezvous import rendezvous_owner
from cornelturn.store.rows import Row

POOL = Pool("phone", 2)
PEER = PeerAddress("entry-2", 5, "tcp://127.0.0.1:1")


@pytest.fixture
def pool_instances() -> list[Instance]:
    """Return 8 instances in 2 racks and 3 data centres."""
    return make_instances("phone", 8)


@pytest.fixture
def membership() -> Membership:
    """Return the membership of entry-1."""
    return Membership(PeerAddress("entry-1", 1, "tcp://127.0.0.1:2"))


MakeHeartbeat = Callable[..., Heartbeat]


@pytest.fixture
def make_heartbeat() -> MakeHeartbeat:
    """Return a function that makes heartbeats of entry-2."""

    def make(**fields: object) -> Heartbeat:
        heartbeat = Heartbeat(PEER, 1, 0, 1, 1, (), (), True, 0)
        return replace(heartbeat, **fields)

    return make


def draining(instance: Instance, reason: str = "x") -> Instance:
    return replace(instance, state=InstanceState.DRAINING, reason=reason)


def is_always_up(name: str) -> bool:
    return True


def test_failures_use_the_budget_before_planned_work(
    pool_instances: list[Instance],
) -> None:
    down = {"phone-0", "phone-1"}
    budget = measure_budget(POOL, pool_instances, lambda name: name not in down)
    assert (budget.failing, budget.remaining()) == (2, 0)
    wave = new_wave("phone", 1, DrainPolicy.WAIT, pool_instances)
    assert next_instances(wave, pool_instances, budget) == ()


def test_wave_takes_instances_rack_by_rack_within_the_budget(
    pool_instances: list[Instance],
) -> None:
    wave = new_wave("phone", 1, DrainPolicy.WAIT, pool_instances)
    budget = measure_budget(POOL, pool_instances, is_always_up)
    chosen = next_instances(wave, pool_instances, budget)
    assert chosen == wave.pending[:2]
    by_name = {instance.name: instance for instance in pool_instances}
    places = [(by_name[name].data_centre, by_name[name].rack) for name in wave.pending]
    assert places == sorted(places)


@pytest.mark.parametrize("state", [WaveState.PAUSED, WaveState.CANCELLED])
def test_paused_or_cancelled_wave_takes_nothing_out(
    pool_instances: list[Instance], state: WaveState
) -> None:
    wave = replace(new_wave("phone", 1, DrainPolicy.WAIT, pool_instances), state=state)
    budget = measure_budget(POOL, pool_instances, is_always_up)
    assert next_instances(wave, pool_instances, budget) == ()


def test_progress_estimates_the_time_left(pool_instances: list[Instance]) -> None:
    wave = Wave(
        "phone",
        1,
        WaveState.RUNNING,
        DrainPolicy.WAIT,
        tuple(instance.name for instance in pool_instances[4:]),
        tuple(instance.name for instance in pool_instances[:4]),
        elapsed_ms=4_000,
    )
    progress = wave_progress(wave, pool_instances)
    assert (progress.total, progress.done, progress.estimate_ms) == (8, 4, 4_000)


def test_moves_are_the_fewest_and_prefer_idle_instances() -> None:
    instances = make_instances("a", 6) + make_instances("b", 6)
    desired = Counter({"a": 4, "b": 8})
    moves = plan_moves(
        instances, desired, lambda name: name == "a-5", max_in_progress=100
    )
    assert len(moves) == 2
    assert moves[0].instance == "a-5"
    assert {(move.source, move.destination) for move in moves} == {("a", "b")}
    assert plan_moves(instances, Counter({"a": 6, "b": 6}), is_always_up) == []


def test_moves_in_progress_count_for_their_destination() -> None:
    instances = make_instances("a", 6) + make_instances("b", 6)
    instances[0] = replace(draining(instances[0]), move_to="b")
    assert plan_moves(instances, Counter({"a": 5, "b": 7}), is_always_up) == []


def test_bursts_move_nothing_and_sustained_shortage_moves_one() -> None:
    configuration = Configuration(
        1, "ordinary", (Pool("a", 1), Pool("b", 1)), (), (Preset("ordinary"),)
    )
    sizes = Counter({"a": 6, "b": 6})
    planner = SizePlanner()
    for at_ms in range(0, 600_000, 10_000):
        is_burst = at_ms // 10_000 % 5 == 0
        planner.observe(PoolDemand("a", 60 if is_burst else 0.6), at_ms)
        planner.observe(PoolDemand("b", 1), at_ms)
        desired = planner.desired_sizes(configuration, sizes, 8, at_ms)
        assert desired == sizes
    for at_ms in range(600_000, 1_800_000 + SUSTAINED_SHORTAGE_MS, 10_000):
        planner.observe(PoolDemand("a", 60), at_ms)
        planner.observe(PoolDemand("b", 1), at_ms)
        desired = planner.desired_sizes(configuration, sizes, 8, at_ms)
    assert desired == Counter({"a": 7, "b": 5})


def test_preset_fixes_the_sizes_that_it_names() -> None:
    preset = Preset("peak", (PoolSize("a", 8), PoolSize("b", 4)))
    pools = (Pool("a", 1), Pool("b", 1))
    configuration = Configuration(1, "peak", pools, (), (preset,))
    desired = SizePlanner().desired_sizes(
        configuration, Counter({"a": 6, "b": 6}), 8, 0
    )
    assert desired == Counter({"a": 8, "b": 4})


def test_stale_listing_never_clears_a_newer_mark() -> None:
    marks = LeavingMarks()
    marks.observe_listing("a", 3, False)
    marks.mark("a")
    marks.observe_listing("a", 3, False)
    marks.observe_listing("a", 2, False)
    assert marks.marked_instances() == {"a"}
    marks.observe_listing("a", 4, False)
    assert marks.marked_instances() == frozenset()
    marks.observe_listing("a", 3, True)
    assert marks.marked_instances() == frozenset()


def test_lease_lapses_by_the_local_clock_and_not_during_an_outage() -> None:
    watch = LeaseWatch()
    rows = (Row("entry/2/5", 7, "t", encode_lease(LeaseRow(PEER, 1))),)
    watch.observe(rows, 0)
    watch.mark_interruption(LEASE_DURATION_MS - 1)
    watch.observe(rows, LEASE_DURATION_MS)
    assert watch.lapsed(LEASE_DURATION_MS) == []
    assert [lease.peer for lease in watch.lapsed(2 * LEASE_DURATION_MS)] == [PEER]
    renewed = (replace(rows[0], version=8),)
    watch.observe(renewed, 2 * LEASE_DURATION_MS)
    assert watch.lapsed(2 * LEASE_DURATION_MS) == []


def test_lease_does_not_lapse_while_the_watcher_was_paused() -> None:
    watch = LeaseWatch()
    rows = (Row("entry/2/5", 7, "t", encode_lease(LeaseRow(PEER, 1))),)
    watch.observe(rows, 0)
    watch.observe(rows, 10 * LEASE_DURATION_MS)
    assert watch.lapsed(10 * LEASE_DURATION_MS) == []
    watch.observe(rows, 10 * LEASE_DURATION_MS + MAX_OBSERVATION_GAP_MS)
    watch.observe(rows, 11 * LEASE_DURATION_MS)
    assert [lease.peer for lease in watch.lapsed(11 * LEASE_DURATION_MS)] == [PEER]


def test_silent_peer_is_detected_and_removed(
    membership: Membership, make_heartbeat: MakeHeartbeat
) -> None:
    membership.handle_heartbeat(make_heartbeat(), 0)
    assert membership.live_peers() == {"entry-2"}
    membership.check_timeouts(PEER_TIMEOUT_MS + 1)
    assert membership.live_peers() == set()
    assert membership.reachable_peers() == [PEER]
    membership.check_timeouts(PEER_GONE_MS + 1)
    assert membership.reachable_peers() == []


def test_gap_between_delayed_checks_counts_as_one_interval(
    membership: Membership, make_heartbeat: MakeHeartbeat
) -> None:
    membership.handle_heartbeat(make_heartbeat(), 0)
    assert membership.check_timeouts(HEARTBEAT_INTERVAL_MS) == []
    silent_ms = 2 * HEARTBEAT_INTERVAL_MS
    now_ms = silent_ms + 2 * PEER_TIMEOUT_MS
    while silent_ms <= PEER_TIMEOUT_MS:
        assert membership.check_timeouts(now_ms) == []
        silent_ms += HEARTBEAT_INTERVAL_MS
        now_ms += HEARTBEAT_INTERVAL_MS
    assert PeerChange(PEER, PeerState.SILENT) in membership.check_timeouts(now_ms)


def test_peer_is_lost_though_every_check_is_late(
    membership: Membership, make_heartbeat: MakeHeartbeat
) -> None:
    membership.handle_heartbeat(make_heartbeat(), 0)
    checks = 1 + PEER_TIMEOUT_MS // HEARTBEAT_INTERVAL_MS
    for number in range(checks + 1):
        membership.check_timeouts(number * PEER_TIMEOUT_MS)
    assert membership.live_peers() == set()


def test_connection_that_delivers_nothing_is_dialled_again(
    membership: Membership, make_heartbeat: MakeHeartbeat
) -> None:
    for at_ms in range(0, PEER_TIMEOUT_MS + 500, 250):
        membership.handle_heartbeat(make_heartbeat(sequence=at_ms, echo=3), at_ms)
    assert membership.check_timeouts(PEER_TIMEOUT_MS + 250) == [Redial(PEER)]


def test_earlier_incarnation_is_ignored_and_goodbye_is_final(
    membership: Membership, make_heartbeat: MakeHeartbeat
) -> None:
    membership.handle_heartbeat(make_heartbeat(), 0)
    old = replace(PEER, incarnation=4)
    assert membership.handle_heartbeat(make_heartbeat(peer=old), 10) == []
    assert membership.handle_goodbye(old) == []
    assert membership.handle_goodbye(PEER) == [PeerChange(PEER, PeerState.LEFT)]
    assert membership.handle_heartbeat(make_heartbeat(sequence=9), 20) == []
    newer = replace(PEER, incarnation=6)
    membership.handle_heartbeat(make_heartbeat(peer=newer), 30)
    assert membership.live_peers() == {"entry-2"}


def test_rendezvous_moves_only_the_pools_of_a_removed_entry() -> None:
    entries = [f"entry-{number}" for number in range(9)]
    pools = [f"pool-{number}" for number in range(1_000)]
    before = {pool: rendezvous_owner(pool, entries) for pool in pools}
    after = {pool: rendezvous_owner(pool, entries[1:]) for pool in pools}
    moved = {pool for pool in pools if before[pool] != after[pool]}
    assert moved == {pool for pool in pools if before[pool] == "entry-0"}
