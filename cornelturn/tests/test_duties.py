"""Decisions about which entry holds a duty, and which former holders may still act."""

from __future__ import annotations

from cornelturn.fleet.lease import LeaseRow
from cornelturn.ownership.duties import (
    FLEET_DUTY,
    DutyRow,
    HeldTarget,
    Holder,
    VersionedDuty,
    decode_duty,
    duty_from_key,
    duty_key,
    encode_duty,
    entry_key,
    possibly_active_holders,
)
from cornelturn.ownership.duty_choice import (
    CandidateEntries,
    DutyLoad,
    duties_to_take,
    duty_to_hand_over,
    free_duties,
)
from cornelturn.peering.messages import PeerAddress
from cornelturn.targets.model import TargetLife

POOLS = [f"pool-{number}" for number in range(7)]

LARGE_CORES = 2.15
SMALL_CORES = 0.516
SIZES = {"education": 43, "employment": 32, "licensing": 36, "references": 39}
STANDBY = "backoffice"
DUTIES = (*SIZES, STANDBY, FLEET_DUTY)
SMALL_ENTRIES = [f"small-{number}" for number in range(37)]


def reachable_entries(*names: str) -> CandidateEntries:
    return CandidateEntries(dict.fromkeys(names, 1), frozenset(names))


def leases(**incarnations: int) -> dict[str, LeaseRow]:
    return {
        name: LeaseRow(PeerAddress(name, incarnation, ""), 1)
        for name, incarnation in incarnations.items()
    }


def duties_held(**holders: str) -> dict[str, VersionedDuty]:
    return {
        duty.replace("_", "-"): VersionedDuty(DutyRow(holder, 1, 1), 5)
        for duty, holder in holders.items()
    }


def test_each_free_duty_falls_to_exactly_one_entry():
    names = ("a", "b", "c")
    candidates = reachable_entries(*names)
    taken = [duties_to_take(name, POOLS, {}, candidates) for name in names]
    assert sorted(duty for duties in taken for duty in duties) == POOLS


def test_free_duties_go_to_the_entries_with_the_fewest():
    known = duties_held(pool_0="a", pool_1="a", pool_2="b")
    free = POOLS[3:6]
    taken = {
        name: duties_to_take(name, POOLS[:6], known, reachable_entries("a", "b", "c"))
        for name in ("a", "b", "c")
    }
    assert sorted(duty for duties in taken.values() for duty in duties) == free
    assert len(taken["c"]) == 2
    assert taken["a"] == []


def test_duty_of_a_live_holder_is_not_taken():
    known = duties_held(pool_0="a")
    assert duties_to_take("b", ["pool-0"], known, reachable_entries("a", "b")) == []


def test_duty_of_an_earlier_incarnation_is_free():
    known = {"pool-0": VersionedDuty(DutyRow("a", 1, 1), 5)}
    now = CandidateEntries({"a": 2, "b": 1}, frozenset({"a", "b"}))
    assert free_duties(["pool-0"], known, now) == ["pool-0"]
    assert possibly_active_holders("pool-0", known["pool-0"].row, leases(a=2)) == ()


def test_silent_holder_may_still_act():
    silent = (Holder("a", 1, 1),)
    assert possibly_active_holders("pool-0", DutyRow("a", 1, 1), leases(b=1)) == silent
    settled = DutyRow("", 0, 4, is_settled=True)
    assert possibly_active_holders("pool-0", settled, leases(b=1)) == ()


def test_holder_whose_entry_has_stopped_is_inactive():
    stopped = LeaseRow(PeerAddress("a", 1, ""), 1, is_over=True)
    assert possibly_active_holders("pool-0", DutyRow("a", 1, 1), {"a": stopped}) == ()


def test_predecessors_are_unknown_unless_a_row_lists_them_or_is_settled():
    assert possibly_active_holders("pool-0", DutyRow("", 0, 4), leases(b=1)) is None
    assert possibly_active_holders("pool-0", DutyRow("a", 1, 2), leases(a=2)) is None
    assert possibly_active_holders("pool-0", DutyRow("", 0, 1), leases(b=1)) == ()
    settled = DutyRow("a", 1, 2, is_settled=True)
    assert possibly_active_holders("pool-0", settled, leases(a=2)) == ()


def test_listed_predecessors_become_inactive_one_by_one():
    first, second = Holder("a", 1, 1), Holder("b", 1, 2)
    row = DutyRow("b", 1, 2, earlier=(first,))
    assert possibly_active_holders("pool-0", row, leases(a=1, b=1)) == (first, second)
    assert possibly_active_holders("pool-0", row, leases(a=1, b=2)) == (first,)
    assert possibly_active_holders("pool-0", row, leases(a=2, b=1)) == (second,)
    assert possibly_active_holders("pool-0", row, leases(a=2, b=2)) == ()


def test_unreachable_entries_get_no_duties():
    known: dict[str, VersionedDuty] = {}
    candidates = CandidateEntries({"a": 1, "b": 1}, frozenset({"a"}))
    assert duties_to_take("a", POOLS, known, candidates) == POOLS


def test_duty_row_round_trips_and_its_key_names_the_duty():
    row = DutyRow("a", 3, 9, sizes={"education": 43})
    assert decode_duty(encode_duty(row)).unwrap() == row
    assert duty_from_key(duty_key("pool-0")) == "pool-0"
    assert duty_from_key(entry_key("a")) is None


def sized_entries(large: int) -> CandidateEntries:
    """Return some large and 37 small entries, all reachable."""
    processors = {f"large-{number}": LARGE_CORES for number in range(large)}
    processors |= dict.fromkeys(SMALL_ENTRIES, SMALL_CORES)
    return CandidateEntries(
        dict.fromkeys(processors, 1), frozenset(processors), processors
    )


def sized_duties(**holders: str) -> dict[str, VersionedDuty]:
    """Return all duties with their holders; the row of the upkeep lists pool sizes."""
    sizes = {FLEET_DUTY: SIZES}
    return {
        duty: VersionedDuty(
            DutyRow(
                holders.get(duty.replace("-", "_"), ""),
                1,
                1,
                sizes=sizes.get(duty, {}),
            ),
            5,
        )
        for duty in DUTIES
    }


def named_targets(count: int) -> tuple[HeldTarget, ...]:
    return tuple(
        HeldTarget(TargetLife(f"target-{number}", 1), "") for number in range(count)
    )


def test_entry_with_a_larger_processor_takes_more_duties():
    pools = [f"pool-{number}" for number in range(10)]
    candidates = CandidateEntries(
        {"large": 1, "small": 1},
        frozenset({"large", "small"}),
        {"large": 2.15, "small": 0.5},
    )
    assert duties_to_take("small", pools[:7], {}, candidates) == []
    assert duties_to_take("large", pools[:7], {}, candidates) == pools[:7]
    assert len(duties_to_take("small", pools[:8], {}, candidates)) == 1
    assert len(duties_to_take("small", pools, {}, candidates)) == 1


def test_pools_go_to_a_small_entry_only_if_no_large_one_is_reachable():
    known = sized_duties()
    one_large = sized_entries(1)
    for name in SMALL_ENTRIES:
        assert not set(SIZES) & set(duties_to_take(name, DUTIES, known, one_large))
    assert set(SIZES) <= set(duties_to_take("large-0", DUTIES, known, one_large))
    none_large = sized_entries(0)
    taken = {
        name: duties_to_take(name, DUTIES, known, none_large) for name in SMALL_ENTRIES
    }
    assert sorted(duty for duties in taken.values() for duty in duties) == sorted(
        DUTIES
    )


def test_heavy_pool_goes_to_the_large_entry_that_holds_light_duties():
    known = sized_duties(
        employment="large-0",
        licensing="large-0",
        references="large-0",
        backoffice="large-0",
        fleet_upkeep="large-0",
    )
    candidates = sized_entries(1)
    assert duties_to_take("large-0", DUTIES, known, candidates) == ["education"]


def test_heaviest_duties_are_assigned_first():
    known = sized_duties()
    candidates = sized_entries(2)
    taken = [
        duties_to_take(f"large-{number}", DUTIES, known, candidates)
        for number in (0, 1)
    ]
    pools = [[duty for duty in duties if duty in SIZES] for duties in taken]
    assert sorted(len(duties) for duties in pools) == [2, 2]
    assert {duties[0] for duties in pools} == {"education", "references"}


def test_heavy_pool_of_a_small_entry_is_handed_over_to_a_large_one():
    """Each large entry already holds some duties, among them at least one pool."""
    known = sized_duties(
        education="small-0",
        employment="large-0",
        licensing="large-1",
        references="large-1",
        backoffice="large-0",
        fleet_upkeep="large-0",
    )
    candidates = sized_entries(2)
    assert duty_to_hand_over("small-0", ["education"], known, candidates) == "education"


def test_the_heavier_of_two_duties_leaves_a_small_entry_first():
    known = sized_duties(
        education="small-0", backoffice="small-0", fleet_upkeep="small-1"
    )
    pools = [STANDBY, "education"]
    candidates = sized_entries(1)
    assert duty_to_hand_over("small-0", pools, known, candidates) == "education"


def test_pool_with_few_targets_leaves_an_entry_before_one_that_is_busy():
    known = sized_duties(**dict.fromkeys(SIZES, "large-0"), fleet_upkeep="large-0")
    for pool, count in {"education": 78, "employment": 31, "licensing": 8}.items():
        row = DutyRow("large-0", 1, 1, named_targets(count))
        known[pool] = VersionedDuty(row, 6)
    known["references"] = VersionedDuty(DutyRow("large-0", 1, 1, named_targets(10)), 6)
    candidates = sized_entries(3)
    assert duty_to_hand_over("large-0", SIZES, known, candidates) == "licensing"


def test_light_duty_of_a_small_entry_stays_beside_large_ones_that_have_pools():
    known = sized_duties(
        backoffice="small-0",
        education="large-0",
        employment="large-1",
        references="large-0",
        licensing="large-1",
    )
    assert duty_to_hand_over("small-0", [STANDBY], known, sized_entries(2)) is None


def test_pools_that_change_sizes_in_turn_are_not_handed_over():
    known = sized_duties(
        education="large-0",
        employment="large-0",
        licensing="large-1",
        references="large-1",
        backoffice="small-0",
        fleet_upkeep="small-1",
    )
    candidates = sized_entries(2)
    for busy in SIZES:
        for pool in SIZES:
            targets = named_targets(119 if pool == busy else 8)
            row = known[pool].row
            resized = DutyRow(row.holder, 1, 1, targets, is_settled=True)
            known[pool] = VersionedDuty(resized, known[pool].version + 1)
        for name in ("large-0", "large-1"):
            held = [duty for duty in SIZES if known[duty].row.holder == name]
            assert duty_to_hand_over(name, held, known, candidates) is None


def test_pool_without_a_known_size_weighs_the_targets_of_its_row():
    known = sized_duties(fleet_upkeep="small-1", education="large-0") | {
        "later": VersionedDuty(DutyRow("small-0", 1, 1, named_targets(60)), 5)
    }
    candidates = sized_entries(1)
    assert duty_to_hand_over("small-0", ["later"], known, candidates) == "later"
    light = known | {"later": VersionedDuty(DutyRow("small-0", 1, 1), 6)}
    assert duty_to_hand_over("small-0", ["later"], light, candidates) is None


def test_duty_is_handed_over_only_to_an_entry_with_a_lower_load():
    names = {"a": 1, "b": 1}
    candidates = CandidateEntries(names, frozenset(names))
    two = duties_held(pool_0="a", pool_1="a")
    assert duty_to_hand_over("a", ["pool-0", "pool-1"], two, candidates) == "pool-0"
    assert (
        duty_to_hand_over("a", ["pool-0"], duties_held(pool_0="a"), candidates) is None
    )
    three = duties_held(pool_0="a", pool_1="a", pool_2="b")
    assert duty_to_hand_over("a", ["pool-0", "pool-1"], three, candidates) is None


def test_duty_is_not_handed_over_to_an_unreachable_entry():
    candidates = CandidateEntries({"a": 1, "b": 1}, frozenset({"a"}))
    two = duties_held(pool_0="a", pool_1="a")
    assert duty_to_hand_over("a", ["pool-0", "pool-1"], two, candidates) is None


def test_choices_in_a_full_size_fleet_compute_each_load_once(monkeypatch):
    """114 pools and 280 entries; no duty is free, and none is to be handed over."""
    names = [f"entry-{number}" for number in range(280)]
    candidates = CandidateEntries(dict.fromkeys(names, 1), frozenset(names))
    pools = [f"pool-{number}" for number in range(114)]
    sizes = dict.fromkeys(pools, 307)
    known = {
        pool: VersionedDuty(DutyRow(name, 1, 1, named_targets(307)), 5)
        for pool, name in zip(pools, names, strict=False)
    }
    known[FLEET_DUTY] = VersionedDuty(DutyRow(names[-1], 1, 1, sizes=sizes), 5)
    computed: list[str] = []
    load_per_core = CandidateEntries.load_per_core

    def count_call(
        self: CandidateEntries, entry: str, load: DutyLoad, weight: int = 0
    ) -> float:
        computed.append(entry)
        return load_per_core(self, entry, load, weight)

    monkeypatch.setattr(CandidateEntries, "load_per_core", count_call)
    assert duties_to_take(names[0], known, known, candidates) == []
    assert duty_to_hand_over(names[0], pools[:1], known, candidates) is None
    assert len(computed) <= len(names)
