"""Decisions about who holds a duty."""

from __future__ import annotations

from cornelturn.fleet.lease import LeaseRow
from cornelturn.ownership.duties import (
    FLEET_DUTY,
    DutyRow,
    Entries,
    HeldTarget,
    Holder,
    Load,
    SeenDuty,
    decode_duty,
    duties_to_take,
    duty_key,
    duty_of,
    duty_to_hand_over,
    encode_duty,
    entry_key,
    free_duties,
    may_still_act,
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


def entries(*names: str) -> Entries:
    return Entries(dict.fromkeys(names, 1), frozenset(names))


def leases(**incarnations: int) -> dict[str, LeaseRow]:
    return {
        name: LeaseRow(PeerAddress(name, incarnation, ""), 1)
        for name, incarnation in incarnations.items()
    }


def held(**holders: str) -> dict[str, SeenDuty]:
    return {
        duty.replace("_", "-"): SeenDuty(DutyRow(holder, 1, 1), 5)
        for duty, holder in holders.items()
    }


def test_each_free_duty_falls_to_exactly_one_entry():
    names = ("a", "b", "c")
    view = entries(*names)
    taken = [duties_to_take(name, POOLS, {}, view) for name in names]
    assert sorted(duty for one in taken for duty in one) == POOLS


def test_free_duties_go_to_the_entries_with_the_fewest():
    seen = held(pool_0="a", pool_1="a", pool_2="b")
    rest = POOLS[3:6]
    taken = {
        name: duties_to_take(name, POOLS[:6], seen, entries("a", "b", "c"))
        for name in ("a", "b", "c")
    }
    assert sorted(duty for one in taken.values() for duty in one) == rest
    assert len(taken["c"]) == 2
    assert taken["a"] == []


def test_duties_of_the_living_are_left_alone():
    seen = held(pool_0="a")
    assert duties_to_take("b", ["pool-0"], seen, entries("a", "b")) == []


def test_duty_of_an_earlier_incarnation_is_free():
    seen = {"pool-0": SeenDuty(DutyRow("a", 1, 1), 5)}
    now = Entries({"a": 2, "b": 1}, frozenset({"a", "b"}))
    assert free_duties(["pool-0"], seen, now) == ["pool-0"]
    assert may_still_act("pool-0", seen["pool-0"].row, leases(a=2)) == ()


def test_silent_holder_may_still_act():
    silent = (Holder("a", 1, 1),)
    assert may_still_act("pool-0", DutyRow("a", 1, 1), leases(b=1)) == silent
    settled = DutyRow("", 0, 4, is_settled=True)
    assert may_still_act("pool-0", settled, leases(b=1)) == ()


def test_holder_whose_entry_has_stopped_acts_no_more():
    over = LeaseRow(PeerAddress("a", 1, ""), 1, is_over=True)
    assert may_still_act("pool-0", DutyRow("a", 1, 1), {"a": over}) == ()


def test_holder_before_one_that_had_not_outwaited_it_may_still_act():
    assert may_still_act("pool-0", DutyRow("", 0, 4), leases(b=1)) is None
    assert may_still_act("pool-0", DutyRow("a", 1, 2), leases(a=2)) is None
    assert may_still_act("pool-0", DutyRow("", 0, 1), leases(b=1)) == ()
    settled = DutyRow("a", 1, 2, is_settled=True)
    assert may_still_act("pool-0", settled, leases(a=2)) == ()


def test_holders_before_one_that_had_not_outwaited_them_are_gone_one_by_one():
    first, second = Holder("a", 1, 1), Holder("b", 1, 2)
    row = DutyRow("b", 1, 2, earlier=(first,))
    assert may_still_act("pool-0", row, leases(a=1, b=1)) == (first, second)
    assert may_still_act("pool-0", row, leases(a=1, b=2)) == (first,)
    assert may_still_act("pool-0", row, leases(a=2, b=1)) == (second,)
    assert may_still_act("pool-0", row, leases(a=2, b=2)) == ()


def test_entries_that_are_not_heard_get_nothing():
    seen: dict[str, SeenDuty] = {}
    view = Entries({"a": 1, "b": 1}, frozenset({"a"}))
    assert duties_to_take("a", POOLS, seen, view) == POOLS


def test_rows_are_told_apart_by_their_keys():
    row = DutyRow("a", 3, 9, sizes={"education": 43})
    assert decode_duty(encode_duty(row)).unwrap() == row
    assert duty_of(duty_key("pool-0")) == "pool-0"
    assert duty_of(entry_key("a")) is None


def sized_entries(large: int) -> Entries:
    """Return some large and 37 small entries, all heard."""
    processors = {f"large-{number}": LARGE_CORES for number in range(large)}
    processors |= dict.fromkeys(SMALL_ENTRIES, SMALL_CORES)
    return Entries(dict.fromkeys(processors, 1), frozenset(processors), processors)


def sized_duties(**holders: str) -> dict[str, SeenDuty]:
    """Return all duties with their holders; the fleet's row names the sizes."""
    sizes = {FLEET_DUTY: SIZES}
    return {
        duty: SeenDuty(
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
    view = Entries(
        {"large": 1, "small": 1},
        frozenset({"large", "small"}),
        {"large": 2.15, "small": 0.5},
    )
    assert duties_to_take("small", pools[:7], {}, view) == []
    assert duties_to_take("large", pools[:7], {}, view) == pools[:7]
    assert len(duties_to_take("small", pools[:8], {}, view)) == 1
    assert len(duties_to_take("small", pools, {}, view)) == 1


def test_pools_go_to_a_small_entry_only_if_no_large_one_is_heard():
    seen = sized_duties()
    one_large = sized_entries(1)
    for name in SMALL_ENTRIES:
        assert not set(SIZES) & set(duties_to_take(name, DUTIES, seen, one_large))
    assert set(SIZES) <= set(duties_to_take("large-0", DUTIES, seen, one_large))
    none_large = sized_entries(0)
    taken = {
        name: duties_to_take(name, DUTIES, seen, none_large) for name in SMALL_ENTRIES
    }
    assert sorted(duty for one in taken.values() for duty in one) == sorted(DUTIES)


def test_heavy_pool_goes_to_the_large_entry_that_holds_light_duties():
    seen = sized_duties(
        employment="large-0",
        licensing="large-0",
        references="large-0",
        backoffice="large-0",
        fleet_upkeep="large-0",
    )
    view = sized_entries(1)
    assert duties_to_take("large-0", DUTIES, seen, view) == ["education"]


def test_heaviest_duties_are_chosen_for_first():
    seen = sized_duties()
    view = sized_entries(2)
    taken = [duties_to_take(f"large-{number}", DUTIES, seen, view) for number in (0, 1)]
    pools = [[duty for duty in one if duty in SIZES] for one in taken]
    assert sorted(len(one) for one in pools) == [2, 2]
    assert {one[0] for one in pools} == {"education", "references"}


def test_heavy_pool_of_a_small_entry_is_handed_over_to_a_large_one():
    """Each large entry holds light duties, or one pool of its own."""
    seen = sized_duties(
        education="small-0",
        employment="large-0",
        licensing="large-1",
        references="large-1",
        backoffice="large-0",
        fleet_upkeep="large-0",
    )
    view = sized_entries(2)
    assert duty_to_hand_over("small-0", ["education"], seen, view) == "education"


def test_the_heavier_of_two_duties_leaves_a_small_entry_first():
    seen = sized_duties(
        education="small-0", backoffice="small-0", fleet_upkeep="small-1"
    )
    pools = [STANDBY, "education"]
    view = sized_entries(1)
    assert duty_to_hand_over("small-0", pools, seen, view) == "education"


def test_pool_with_few_targets_leaves_an_entry_before_one_that_is_busy():
    seen = sized_duties(**dict.fromkeys(SIZES, "large-0"), fleet_upkeep="large-0")
    for pool, count in {"education": 78, "employment": 31, "licensing": 8}.items():
        row = DutyRow("large-0", 1, 1, named_targets(count))
        seen[pool] = SeenDuty(row, 6)
    seen["references"] = SeenDuty(DutyRow("large-0", 1, 1, named_targets(10)), 6)
    view = sized_entries(3)
    assert duty_to_hand_over("large-0", SIZES, seen, view) == "licensing"


def test_light_duty_of_a_small_entry_stays_beside_large_ones_that_have_pools():
    seen = sized_duties(
        backoffice="small-0",
        education="large-0",
        employment="large-1",
        references="large-0",
        licensing="large-1",
    )
    assert duty_to_hand_over("small-0", [STANDBY], seen, sized_entries(2)) is None


def test_pools_that_change_their_sizes_by_turns_stay_where_they_are():
    seen = sized_duties(
        education="large-0",
        employment="large-0",
        licensing="large-1",
        references="large-1",
        backoffice="small-0",
        fleet_upkeep="small-1",
    )
    view = sized_entries(2)
    for busy in SIZES:
        for pool in SIZES:
            targets = named_targets(119 if pool == busy else 8)
            row = seen[pool].row
            turned = DutyRow(row.holder, 1, 1, targets, is_settled=True)
            seen[pool] = SeenDuty(turned, seen[pool].version + 1)
        for name in ("large-0", "large-1"):
            held = [duty for duty in SIZES if seen[duty].row.holder == name]
            assert duty_to_hand_over(name, held, seen, view) is None


def test_pool_that_came_later_weighs_as_many_targets_as_its_row_names():
    seen = sized_duties(fleet_upkeep="small-1", education="large-0") | {
        "later": SeenDuty(DutyRow("small-0", 1, 1, named_targets(60)), 5)
    }
    view = sized_entries(1)
    assert duty_to_hand_over("small-0", ["later"], seen, view) == "later"
    light = seen | {"later": SeenDuty(DutyRow("small-0", 1, 1), 6)}
    assert duty_to_hand_over("small-0", ["later"], light, view) is None


def test_duty_is_handed_over_only_to_an_entry_that_carries_it_better():
    names = {"a": 1, "b": 1}
    view = Entries(names, frozenset(names))
    two = held(pool_0="a", pool_1="a")
    assert duty_to_hand_over("a", ["pool-0", "pool-1"], two, view) == "pool-0"
    assert duty_to_hand_over("a", ["pool-0"], held(pool_0="a"), view) is None
    three = held(pool_0="a", pool_1="a", pool_2="b")
    assert duty_to_hand_over("a", ["pool-0", "pool-1"], three, view) is None


def test_duty_is_not_handed_over_to_an_entry_that_is_not_heard():
    view = Entries({"a": 1, "b": 1}, frozenset({"a"}))
    two = held(pool_0="a", pool_1="a")
    assert duty_to_hand_over("a", ["pool-0", "pool-1"], two, view) is None


def test_look_at_a_fleet_of_the_target_size_weighs_each_entry_once(monkeypatch):
    """114 pools and 280 entries; nothing is free, and nothing is to be handed over."""
    names = [f"entry-{number}" for number in range(280)]
    view = Entries(dict.fromkeys(names, 1), frozenset(names))
    pools = [f"pool-{number}" for number in range(114)]
    sizes = dict.fromkeys(pools, 307)
    seen = {
        pool: SeenDuty(DutyRow(name, 1, 1, named_targets(307)), 5)
        for pool, name in zip(pools, names, strict=False)
    }
    seen[FLEET_DUTY] = SeenDuty(DutyRow(names[-1], 1, 1, sizes=sizes), 5)
    weighed: list[str] = []
    burden = Entries.burden

    def counted(self: Entries, entry: str, load: Load, weight: int = 0) -> float:
        weighed.append(entry)
        return burden(self, entry, load, weight)

    monkeypatch.setattr(Entries, "burden", counted)
    assert duties_to_take(names[0], seen, seen, view) == []
    assert duty_to_hand_over(names[0], pools[:1], seen, view) is None
    assert len(weighed) <= len(names)
