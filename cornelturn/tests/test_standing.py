"""How long an entry may act that cannot read its rows, and what others know of it."""

from __future__ import annotations

import asyncio
from math import ceil

import pytest

from cornelturn.fleet.lease import LeaseRow, SeenLease, decode_lease
from cornelturn.ownership.duties import ENTRY_NAME, MEMBERS_TABLE, entry_key
from cornelturn.ownership.keeper import LOOK_INTERVAL_S
from cornelturn.ownership.standing import (
    ASK_BEFORE_MS,
    OUTAGE_MS,
    SUPPORT_MS,
    UNSUPPORTED_MS,
    Standing,
)
from cornelturn.ownership.witnesses import Witnesses
from cornelturn.peering.messages import PeerAddress
from cornelturn.platform.standin.rows import StoreFault
from cornelturn.store.rows import Row
from cornelturn.targets.session import MIN_CLOCK_RATE
from cornelturn.tests.job_fleet import JobFleet, job_id, phases, submit_some

CONFIRMED_MS = 10_000
END_MS = CONFIRMED_MS + UNSUPPORTED_MS
LAST_RENEWAL_MS = 50_000
FORGET_MS = 20_000
STOOD_MS = FORGET_MS // 2
"""For how long a renewal proves that the row has not been deleted."""

HOLDER_REVISION = 100
PROOF_REVISION = 200
LAST_MS = LAST_RENEWAL_MS + ceil(UNSUPPORTED_MS / MIN_CLOCK_RATE)
STOPPED_S = 5.5
"""An entry looks once a second, acts by itself for 2.4 s, and its support ends."""

LONG_RUN_MS = 25_000
LATE_MS = 3_000
SAMPLE_MS = 50
OUTAGE_S = 9.0
"""Longer than any support lasts, and shorter than an entry acts without the store."""


@pytest.fixture
def standing() -> Standing:
    """Return the standing of one of five entries, just confirmed."""
    found = Standing(others=frozenset("bcde"))
    found.start(CONFIRMED_MS - 1_000)
    found.renewing(1, CONFIRMED_MS)
    found.read_back(1)
    return found


@pytest.fixture
def witnesses() -> Witnesses:
    """Return what one entry has noted before and after the holder fell silent."""
    found = Witnesses(FORGET_MS)
    found.read_all(HOLDER_REVISION)
    found.renewed(LAST_MS, PROOF_REVISION, LAST_MS + 1)
    return found


def lease(
    name: str,
    revision: int,
    seen_ms: int,
    untold_ms: int,
    since: int = HOLDER_REVISION,
) -> SeenLease:
    """Return the lease of an entry as it was read."""
    return SeenLease(
        Row(entry_key(name), 1, "", ""),
        PeerAddress(name, 1, ""),
        seen_ms,
        revision=revision,
        untold_ms=untold_ms,
        stood_since=since,
        read_since=since,
    )


def stand_since(found: dict[str, SeenLease], since: int, names: str) -> None:
    """Have leases say since when they have stood."""
    for name in names:
        found[entry_key(name)].stood_since = since


def leases(**revisions: int) -> dict[str, SeenLease]:
    """Return the leases of a holder and of four others, which told nobody anything.

    Those that are named have read a revision of their own.
    """
    found = {entry_key("a"): lease("a", HOLDER_REVISION, LAST_RENEWAL_MS, 9_000)}
    for name in "bcde":
        revision = revisions.get(name, PROOF_REVISION)
        found[entry_key(name)] = lease(name, revision, LAST_MS + 1_000, 9_000)
    return found


def last_act_ms(witnesses: Witnesses, found: dict[str, SeenLease]) -> int | None:
    """Return until when the holder can have acted."""
    return witnesses.last_act_ms(entry_key("a"), found)


def cut_from_each_other(fleet: JobFleet, one: str, other: str) -> None:
    """Cut two entries off from each other, over new connections too."""
    labels = [fleet.entries[name].label for name in (one, other)]
    fleet.network.silence(*labels)
    fleet.network.cut.add(frozenset(labels))


def is_renewed_by_another_life(fleet: JobFleet, old: PeerAddress) -> bool:
    """Return whether the row of an entry is there, and of another life than one."""
    part = f"{ENTRY_NAME}.{old.name}"
    value = fleet.store.value(MEMBERS_TABLE, ENTRY_NAME, part)
    return value is not None and decode_lease(value.decode()).unwrap().peer != old


def test_entry_acts_by_itself_for_a_short_time_only(standing: Standing):
    assert standing.may_act(END_MS - 1)
    assert not standing.may_act(END_MS)


def test_renewal_counts_from_when_it_was_sent_and_once_it_is_read_back(
    standing: Standing,
):
    standing.renewing(2, CONFIRMED_MS + 1_000)
    standing.renewing(3, CONFIRMED_MS + 2_000)
    assert not standing.may_act(END_MS)
    standing.read_back(2)
    assert standing.may_act(END_MS + 999)
    assert not standing.may_act(END_MS + 1_000)


def test_entry_that_is_alone_needs_nobody(standing: Standing):
    standing.others = frozenset()
    assert standing.may_act(END_MS + 1)
    assert not standing.wants_support(END_MS - 1)


def test_support_of_two_of_four_others_counts_from_when_the_later_was_asked(
    standing: Standing,
):
    standing.supported("b", END_MS - 300, END_MS - 10)
    assert not standing.may_act(END_MS)
    standing.supported("c", END_MS - 500, END_MS - 10)
    assert standing.may_act(END_MS - 500 + SUPPORT_MS - 1)
    assert not standing.may_act(END_MS - 500 + SUPPORT_MS)


def test_word_of_an_entry_that_the_rows_do_not_name_does_not_count(standing: Standing):
    standing.supported("b", END_MS - 300, END_MS - 10)
    standing.supported("x", END_MS - 300, END_MS - 10)
    assert not standing.may_act(END_MS)


def test_support_that_comes_after_the_end_does_not_count(standing: Standing):
    for name in "bcde":
        standing.supported(name, END_MS - 1, END_MS)
    assert not standing.may_act(END_MS)
    assert not standing.wants_support(END_MS)


def test_others_are_asked_before_the_end_alone(standing: Standing):
    assert not standing.wants_support(END_MS - ASK_BEFORE_MS)
    assert standing.wants_support(END_MS - ASK_BEFORE_MS + 1)


def test_entry_tells_that_it_has_no_store_only_when_it_has_none(standing: Standing):
    assert not standing.tell(CONFIRMED_MS + OUTAGE_MS)
    assert standing.untold_ms(CONFIRMED_MS + OUTAGE_MS) == 1_000 + OUTAGE_MS
    assert standing.tell(CONFIRMED_MS + OUTAGE_MS + 1)
    assert standing.untold_ms(CONFIRMED_MS + OUTAGE_MS + 1) == 0


def test_last_act_is_known_once_half_of_the_entries_have_told_nothing(
    witnesses: Witnesses,
):
    assert last_act_ms(witnesses, leases()) == LAST_MS
    found = leases(b=PROOF_REVISION - 1)
    assert last_act_ms(witnesses, found) == LAST_MS
    found = leases(b=PROOF_REVISION - 1, c=PROOF_REVISION - 1)
    assert last_act_ms(witnesses, found) is None


def test_nothing_is_known_before_this_entry_has_renewed_its_lease_after_that_time():
    found = Witnesses(FORGET_MS)
    found.read_all(HOLDER_REVISION)
    found.renewed(LAST_MS - 1, PROOF_REVISION, LAST_MS)
    assert last_act_ms(found, leases()) is None


def test_entry_that_told_the_holder_is_no_witness(witnesses: Witnesses):
    found = leases()
    silent_ms = LAST_MS - ceil(SUPPORT_MS / MIN_CLOCK_RATE)
    untold_ms = (LAST_MS + 1_000 - silent_ms) / MIN_CLOCK_RATE
    for name, for_ms in (("b", ceil(untold_ms)), ("c", ceil(untold_ms))):
        key = entry_key(name)
        found[key] = lease(name, PROOF_REVISION, LAST_MS + 1_000, for_ms)
    assert last_act_ms(witnesses, found) == LAST_MS
    for name in "bc":
        key = entry_key(name)
        found[key] = lease(name, PROOF_REVISION, LAST_MS + 1_000, int(untold_ms) - 1)
    assert last_act_ms(witnesses, found) is None


@pytest.mark.parametrize("since", [0, HOLDER_REVISION + 1])
def test_entry_that_the_holder_may_not_have_counted_is_no_witness(
    witnesses: Witnesses, since: int
):
    found = leases()
    stand_since(found, since, "b")
    assert last_act_ms(witnesses, found) == LAST_MS
    stand_since(found, since, "bc")
    assert last_act_ms(witnesses, found) is None


def test_row_stands_since_the_first_renewal_that_was_acknowledged():
    found = Witnesses(FORGET_MS)
    assert found.stands_since(0) == 0
    found.renewed(0, 5, 10)
    found.renewed(1_000, 9, 1_010)
    assert found.stands_since(1_010) == 5


@pytest.mark.parametrize(("before", "since"), [(3, 3), (0, 4)])
def test_row_that_replaces_one_of_the_life_before_has_stood_as_long(
    before: int, since: int
):
    found = Witnesses(FORGET_MS)
    found.renewed(0, 5, 10)
    found.followed(LeaseRow(PeerAddress("a", 1, ""), 7, stood_since=before), 4)
    found.renewed(1_000, 9, 1_010)
    assert found.stands_since(1_010) == since


def test_row_may_not_have_stood_if_it_was_not_renewed_for_long():
    found = Witnesses(FORGET_MS)
    found.renewed(0, 5, 10)
    assert found.stands_since(STOOD_MS - 1) == 5
    assert found.stands_since(STOOD_MS) == 0
    found.renewed(STOOD_MS - 2, 9, STOOD_MS - 1)
    assert found.stands_since(STOOD_MS) == 5
    found.renewed(STOOD_MS, 11, 2 * STOOD_MS - 2)
    assert found.stands_since(2 * STOOD_MS - 2) == 11


@pytest.mark.parametrize("since", [0, HOLDER_REVISION + 1])
def test_nothing_is_known_if_nobody_knows_who_left(witnesses: Witnesses, since: int):
    found = leases()
    for name in "abcd":
        found[entry_key(name)].read_since = since
    assert last_act_ms(witnesses, found) == LAST_MS
    found[entry_key("e")].read_since = since
    assert last_act_ms(witnesses, found) is None


def test_entry_that_has_just_started_builds_on_the_word_of_the_others():
    found = Witnesses(FORGET_MS)
    found.read_all(PROOF_REVISION - 1)
    found.renewed(LAST_MS, PROOF_REVISION, LAST_MS + 1)
    assert last_act_ms(found, leases()) == LAST_MS


def test_word_of_before_the_last_reading_of_all_rows_does_not_count():
    found = Witnesses(FORGET_MS)
    found.renewed(LAST_MS, PROOF_REVISION, LAST_MS + 1)
    found.read_all(PROOF_REVISION + 1)
    assert last_act_ms(found, leases()) is None


def test_entries_that_left_before_this_one_came_count_against_the_witnesses(
    witnesses: Witnesses,
):
    found = leases()
    told = found[entry_key("b")].left
    told.update({entry_key(name): HOLDER_REVISION for name in "vwxyz"})
    assert last_act_ms(witnesses, found) == LAST_MS
    told.update({entry_key(name): HOLDER_REVISION + 1 for name in "wxy"})
    assert last_act_ms(witnesses, found) == LAST_MS
    told.update({entry_key("z"): HOLDER_REVISION + 1})
    assert last_act_ms(witnesses, found) is None


def test_entries_that_left_are_forgotten_once_all_leases_are_later():
    found = Witnesses(FORGET_MS)
    found.read_all(1)
    found.renewed(0, 2, 10)
    for name, revision in (("x", HOLDER_REVISION), ("y", HOLDER_REVISION + 1)):
        found.gone([entry_key(name)], revision)
    found.observe(leases())
    assert found.left == {entry_key("y"): HOLDER_REVISION + 1}
    assert found.read_since == HOLDER_REVISION


def test_entry_that_is_back_counts_as_gone_no_more():
    found = Witnesses(FORGET_MS)
    found.gone([entry_key("b"), entry_key("y")], HOLDER_REVISION + 1)
    found.observe(leases())
    assert found.left == {entry_key("y"): HOLDER_REVISION + 1}


def test_entries_that_left_since_count_against_the_witnesses(witnesses: Witnesses):
    witnesses.gone([entry_key(name) for name in "wxy"], HOLDER_REVISION)
    assert last_act_ms(witnesses, leases()) == LAST_MS
    witnesses.gone([entry_key(name) for name in "wxyz"], HOLDER_REVISION + 1)
    assert last_act_ms(witnesses, leases()) is None


def test_holder_that_few_are_without_the_store_with_gives_no_more_orders(play):
    async def day(fleet: JobFleet) -> None:
        holder = fleet.owners()["phone"]
        others = [name for name in fleet.entries if name != holder]
        for name in (holder, others[0]):
            fleet.cut_from_store(name)
        for name in others[1:]:
            cut_from_each_other(fleet, holder, name)
        keeper = fleet.entries[holder].keeper
        await fleet.until(lambda: not keeper.may_act(), STOPPED_S)

    play(day, entries=5)


def test_runs_that_a_silent_holder_keeps_are_not_started_where_others_can(play):
    async def day(fleet: JobFleet) -> None:
        fleet.run_ms = LONG_RUN_MS
        holder = fleet.owners()["phone"]
        await submit_some(fleet, 6)
        await asyncio.sleep(0.5)
        fleet.cut_from_store(holder)
        fleet.cut_from_worker(holder, "phone-3")
        for entry in set(fleet.entries) - {holder}:
            cut_from_each_other(fleet, holder, entry)
            for worker in ("phone-0", "phone-1", "phone-2"):
                fleet.cut_from_worker(entry, worker)
        await fleet.until(lambda: max(fleet.judge.starts.values()) > 1)

    fleet = play(day, entries=4, workers=4)
    assert fleet.judge.violations == []


def test_holders_go_on_while_nobody_has_the_store(play):
    async def day(fleet: JobFleet) -> None:
        holder = fleet.entries[fleet.owners()["phone"]]
        job = job_id(1)
        assert await fleet.submit("entry-0", "phone", job, phases(*[1] * 40)) == 200
        fleet.store.fault = StoreFault.SILENT
        for _ in range(round(OUTAGE_S)):
            started = len(fleet.judge.starts)
            await fleet.until(lambda one=started: len(fleet.judge.starts) > one, 1.0)
            assert holder.keeper.may_act()
            await asyncio.sleep(1)
        fleet.store.fault = StoreFault.NONE
        await fleet.until_state("phone", job, "completed")

    fleet = play(day, entries=5)
    assert set(fleet.judge.starts.values()) == {1}


def test_late_delete_of_a_life_that_ended_leaves_the_row_of_the_next_one(play):
    async def day(fleet: JobFleet) -> None:
        entries = fleet.entries.items()
        name = next(name for name, one in entries if not one.keeper.held)
        old = fleet.entries.pop(name)
        fleet.store.fault = StoreFault.LOST_ANSWERS
        fleet.store.late_ms = LATE_MS
        stopping = asyncio.create_task(old.stop())
        await fleet.until(lambda: old.keeper.is_releasing)
        await asyncio.sleep(0.1)
        fleet.store.fault = StoreFault.NONE
        await fleet.add_entry(name)
        await fleet.until(lambda: is_renewed_by_another_life(fleet, old.keeper.own))
        for _ in range(2 * LATE_MS // SAMPLE_MS):
            assert is_renewed_by_another_life(fleet, old.keeper.own)
            await asyncio.sleep(SAMPLE_MS / 1_000)
        await stopping

    play(day, entries=5)


@pytest.mark.parametrize("is_late", [False, True])
def test_row_of_an_entry_that_stops_stands_for_its_next_life(play, is_late: bool):
    async def day(fleet: JobFleet) -> None:
        entries = fleet.entries.items()
        name = next(name for name, one in entries if not one.keeper.held)
        old = fleet.entries.pop(name)
        if is_late:
            fleet.store.fault = StoreFault.LOST_ANSWERS
            fleet.store.late_ms = LATE_MS
            await asyncio.sleep(LOOK_INTERVAL_S)
            fleet.store.fault = StoreFault.NONE
        stopping = asyncio.create_task(old.stop())
        key = tuple(entry_key(name).split("/", 2))
        for _ in range(2 * LATE_MS // SAMPLE_MS):
            await asyncio.sleep(SAMPLE_MS / 1_000)
            assert key in fleet.store.rows
        await stopping

    play(day, entries=5)
