"""Decisions about who holds a duty."""

from __future__ import annotations

from cornelturn.fleet.lease import LeaseRow
from cornelturn.ownership.duties import (
    DutyRow,
    Entries,
    Holder,
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

POOLS = [f"pool-{number}" for number in range(7)]


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
    row = DutyRow("a", 3, 9)
    assert decode_duty(encode_duty(row)) == row
    assert duty_of(duty_key("pool-0")) == "pool-0"
    assert duty_of(entry_key("a")) is None


def test_entry_with_a_larger_processor_takes_more_duties():
    view = Entries(
        {"large": 1, "small": 1},
        frozenset({"large", "small"}),
        {"large": 2.15, "small": 0.5},
    )
    assert duties_to_take("small", POOLS[:4], {}, view) == []
    assert duties_to_take("large", POOLS[:4], {}, view) == POOLS[:4]
    taken = duties_to_take("small", POOLS, {}, view)
    assert len(taken) == 1


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
