"""Authority to act without the store, and evidence of when it has ended."""

from __future__ import annotations

import asyncio
from math import ceil

import pytest

from cornelturn.fleet.lease import LeaseRow, ObservedLease, decode_lease
from cornelturn.ownership.authority import (
    OUTAGE_REPORT_VALIDITY_MS,
    OUTAGE_THRESHOLD_MS,
    QUERY_LEAD_MS,
    RENEWAL_VALIDITY_MS,
    ActingAuthority,
)
from cornelturn.ownership.duties import ENTRY_NAME, MEMBERS_TABLE, entry_key
from cornelturn.ownership.evidence import HolderEvidence
from cornelturn.ownership.reconcile_schedule import RENEW_INTERVAL_S
from cornelturn.peering.messages import PeerAddress
from cornelturn.platform.standin.documents import job_id, phases
from cornelturn.platform.standin.rows import StoreFault
from cornelturn.store.rows import Row
from cornelturn.targets.session import MIN_CLOCK_RATE
from cornelturn.tests.job_fleet import JobFleet, submit_jobs

CONFIRMED_MS = 10_000
END_MS = CONFIRMED_MS + RENEWAL_VALIDITY_MS
LAST_RENEWAL_MS = 50_000
RETENTION_MS = 20_000
ROW_PROVEN_MS = RETENTION_MS // 2
"""Time for which a renewal proves that the row has not been deleted."""

HOLDER_REVISION = 100
PROOF_REVISION = 200
LAST_ACT_MS = LAST_RENEWAL_MS + ceil(RENEWAL_VALIDITY_MS / MIN_CLOCK_RATE)
AUTHORITY_LOST_S = 5.5
"""Renewal interval of 1 s, validity of a renewal of 2.4 s and of a report of 2 s."""

LONG_RUN_MS = 25_000
STORE_DELAY_MS = 3_000
SAMPLE_MS = 50
OUTAGE_S = 9.0
"""Longer than an outage report counts, shorter than an entry acts without the store."""


@pytest.fixture
def authority() -> ActingAuthority:
    """Return the authority of one of five entries, just confirmed."""
    confirmed = ActingAuthority(others=frozenset("bcde"))
    confirmed.start(CONFIRMED_MS - 1_000)
    confirmed.record_renewal_sent(1, CONFIRMED_MS)
    confirmed.confirm_renewal(1)
    return confirmed


@pytest.fixture
def evidence() -> HolderEvidence:
    """Return the evidence of one entry from before and after the holder fell silent."""
    evidence = HolderEvidence(RETENTION_MS)
    evidence.record_full_read(HOLDER_REVISION)
    evidence.record_renewal(LAST_ACT_MS, PROOF_REVISION, LAST_ACT_MS + 1)
    return evidence


def lease(
    name: str,
    revision: int,
    seen_ms: int,
    untold_ms: int,
    since: int = HOLDER_REVISION,
) -> ObservedLease:
    """Return a lease as read by another entry."""
    return ObservedLease(
        Row(entry_key(name), 1, "", ""),
        PeerAddress(name, 1, ""),
        seen_ms,
        revision=revision,
        untold_ms=untold_ms,
        stood_since=since,
        read_since=since,
    )


def set_stood_since(
    seen_leases: dict[str, ObservedLease], since: int, names: str
) -> None:
    """Set the revision since which the rows of some leases exist."""
    for name in names:
        seen_leases[entry_key(name)].stood_since = since


def leases(**revisions: int) -> dict[str, ObservedLease]:
    """Return the leases of a holder and of four others, which reported no outage.

    Parameters
    ----------
    revisions : int
        Revision that an entry had read, by its name.
    """
    seen_leases = {entry_key("a"): lease("a", HOLDER_REVISION, LAST_RENEWAL_MS, 9_000)}
    for name in "bcde":
        revision = revisions.get(name, PROOF_REVISION)
        seen_leases[entry_key(name)] = lease(name, revision, LAST_ACT_MS + 1_000, 9_000)
    return seen_leases


def last_possible_act_ms(
    evidence: HolderEvidence, seen_leases: dict[str, ObservedLease]
) -> int | None:
    """Return the latest time at which the holder can have acted."""
    return evidence.last_possible_act_ms(entry_key("a"), seen_leases)


def cut_from_each_other(fleet: JobFleet, first: str, second: str) -> None:
    """Cut the connections between two entries and refuse new ones."""
    labels = [fleet.entries[name].label for name in (first, second)]
    fleet.network.silence(*labels)
    fleet.network.cut_pairs.add(frozenset(labels))


def is_renewed_by_another_incarnation(fleet: JobFleet, old: PeerAddress) -> bool:
    """Return whether the row of an entry exists and is of another incarnation."""
    part = f"{ENTRY_NAME}.{old.name}"
    value = fleet.store.read_value(MEMBERS_TABLE, ENTRY_NAME, part)
    return value is not None and decode_lease(value.decode()).unwrap().peer != old


def test_authority_of_a_confirmed_renewal_expires(authority: ActingAuthority):
    assert authority.may_act(END_MS - 1)
    assert not authority.may_act(END_MS)


def test_renewal_extends_authority_from_its_send_time_once_read_back(
    authority: ActingAuthority,
):
    authority.record_renewal_sent(2, CONFIRMED_MS + 1_000)
    authority.record_renewal_sent(3, CONFIRMED_MS + 2_000)
    assert not authority.may_act(END_MS)
    authority.confirm_renewal(2)
    assert authority.may_act(END_MS + 999)
    assert not authority.may_act(END_MS + 1_000)


def test_sole_entry_needs_no_outage_reports(authority: ActingAuthority):
    authority.others = frozenset()
    assert authority.may_act(END_MS + 1)
    assert not authority.needs_outage_reports(END_MS - 1)


def test_reports_of_a_majority_extend_authority_from_the_oldest_one_needed(
    authority: ActingAuthority,
):
    authority.add_outage_report("b", END_MS - 300, END_MS - 10)
    assert not authority.may_act(END_MS)
    authority.add_outage_report("c", END_MS - 500, END_MS - 10)
    assert authority.may_act(END_MS - 500 + OUTAGE_REPORT_VALIDITY_MS - 1)
    assert not authority.may_act(END_MS - 500 + OUTAGE_REPORT_VALIDITY_MS)


def test_report_of_an_entry_without_a_row_does_not_count(
    authority: ActingAuthority,
):
    authority.add_outage_report("b", END_MS - 300, END_MS - 10)
    authority.add_outage_report("x", END_MS - 300, END_MS - 10)
    assert not authority.may_act(END_MS)


def test_report_after_expiry_does_not_count(authority: ActingAuthority):
    for name in "bcde":
        authority.add_outage_report(name, END_MS - 1, END_MS)
    assert not authority.may_act(END_MS)
    assert not authority.needs_outage_reports(END_MS)


def test_others_are_queried_only_shortly_before_expiry(authority: ActingAuthority):
    assert not authority.needs_outage_reports(END_MS - QUERY_LEAD_MS)
    assert authority.needs_outage_reports(END_MS - QUERY_LEAD_MS + 1)


def test_outage_is_reported_only_without_a_recent_confirmation(
    authority: ActingAuthority,
):
    assert not authority.report_outage(CONFIRMED_MS + OUTAGE_THRESHOLD_MS)
    assert (
        authority.time_since_outage_report_ms(CONFIRMED_MS + OUTAGE_THRESHOLD_MS)
        == 1_000 + OUTAGE_THRESHOLD_MS
    )
    assert authority.report_outage(CONFIRMED_MS + OUTAGE_THRESHOLD_MS + 1)
    assert (
        authority.time_since_outage_report_ms(CONFIRMED_MS + OUTAGE_THRESHOLD_MS + 1)
        == 0
    )


def test_last_act_is_known_once_half_of_the_entries_reported_no_outage(
    evidence: HolderEvidence,
):
    assert last_possible_act_ms(evidence, leases()) == LAST_ACT_MS
    seen_leases = leases(b=PROOF_REVISION - 1)
    assert last_possible_act_ms(evidence, seen_leases) == LAST_ACT_MS
    seen_leases = leases(b=PROOF_REVISION - 1, c=PROOF_REVISION - 1)
    assert last_possible_act_ms(evidence, seen_leases) is None


def test_last_act_is_unknown_until_this_entry_renews_its_lease_after_it():
    evidence = HolderEvidence(RETENTION_MS)
    evidence.record_full_read(HOLDER_REVISION)
    evidence.record_renewal(LAST_ACT_MS - 1, PROOF_REVISION, LAST_ACT_MS)
    assert last_possible_act_ms(evidence, leases()) is None


def test_entry_that_reported_an_outage_does_not_bound_the_last_act(
    evidence: HolderEvidence,
):
    seen_leases = leases()
    silent_ms = LAST_ACT_MS - ceil(OUTAGE_REPORT_VALIDITY_MS / MIN_CLOCK_RATE)
    untold_ms = (LAST_ACT_MS + 1_000 - silent_ms) / MIN_CLOCK_RATE
    for name, untold_for_ms in (("b", ceil(untold_ms)), ("c", ceil(untold_ms))):
        key = entry_key(name)
        seen_leases[key] = lease(
            name, PROOF_REVISION, LAST_ACT_MS + 1_000, untold_for_ms
        )
    assert last_possible_act_ms(evidence, seen_leases) == LAST_ACT_MS
    for name in "bc":
        key = entry_key(name)
        seen_leases[key] = lease(
            name, PROOF_REVISION, LAST_ACT_MS + 1_000, int(untold_ms) - 1
        )
    assert last_possible_act_ms(evidence, seen_leases) is None


@pytest.mark.parametrize("since", [0, HOLDER_REVISION + 1])
def test_entry_that_the_holder_may_not_have_counted_does_not_bound_the_last_act(
    evidence: HolderEvidence, since: int
):
    seen_leases = leases()
    set_stood_since(seen_leases, since, "b")
    assert last_possible_act_ms(evidence, seen_leases) == LAST_ACT_MS
    set_stood_since(seen_leases, since, "bc")
    assert last_possible_act_ms(evidence, seen_leases) is None


def test_row_exists_since_the_first_acknowledged_renewal():
    evidence = HolderEvidence(RETENTION_MS)
    assert evidence.row_exists_since(0) == 0
    evidence.record_renewal(0, 5, 10)
    evidence.record_renewal(1_000, 9, 1_010)
    assert evidence.row_exists_since(1_010) == 5


@pytest.mark.parametrize(("before", "since"), [(3, 3), (0, 4)])
def test_row_that_replaces_one_of_an_earlier_incarnation_exists_as_long(
    before: int, since: int
):
    evidence = HolderEvidence(RETENTION_MS)
    evidence.record_renewal(0, 5, 10)
    evidence.record_replaced_lease(
        LeaseRow(PeerAddress("a", 1, ""), 7, stood_since=before), 4
    )
    evidence.record_renewal(1_000, 9, 1_010)
    assert evidence.row_exists_since(1_010) == since


def test_row_may_have_been_deleted_if_it_was_not_renewed_in_time():
    evidence = HolderEvidence(RETENTION_MS)
    evidence.record_renewal(0, 5, 10)
    assert evidence.row_exists_since(ROW_PROVEN_MS - 1) == 5
    assert evidence.row_exists_since(ROW_PROVEN_MS) == 0
    evidence.record_renewal(ROW_PROVEN_MS - 2, 9, ROW_PROVEN_MS - 1)
    assert evidence.row_exists_since(ROW_PROVEN_MS) == 5
    evidence.record_renewal(ROW_PROVEN_MS, 11, 2 * ROW_PROVEN_MS - 2)
    assert evidence.row_exists_since(2 * ROW_PROVEN_MS - 2) == 11


@pytest.mark.parametrize("since", [0, HOLDER_REVISION + 1])
def test_last_act_is_unknown_if_no_entry_knows_all_departures(
    evidence: HolderEvidence, since: int
):
    seen_leases = leases()
    for name in "abcd":
        seen_leases[entry_key(name)].read_since = since
    assert last_possible_act_ms(evidence, seen_leases) == LAST_ACT_MS
    seen_leases[entry_key("e")].read_since = since
    assert last_possible_act_ms(evidence, seen_leases) is None


def test_new_entry_uses_the_departures_that_others_recorded():
    evidence = HolderEvidence(RETENTION_MS)
    evidence.record_full_read(PROOF_REVISION - 1)
    evidence.record_renewal(LAST_ACT_MS, PROOF_REVISION, LAST_ACT_MS + 1)
    assert last_possible_act_ms(evidence, leases()) == LAST_ACT_MS


def test_departures_recorded_before_the_last_full_read_do_not_count():
    evidence = HolderEvidence(RETENTION_MS)
    evidence.record_renewal(LAST_ACT_MS, PROOF_REVISION, LAST_ACT_MS + 1)
    evidence.record_full_read(PROOF_REVISION + 1)
    assert last_possible_act_ms(evidence, leases()) is None


def test_departures_before_this_entry_started_raise_the_number_needed(
    evidence: HolderEvidence,
):
    seen_leases = leases()
    departures = seen_leases[entry_key("b")].left
    departures.update({entry_key(name): HOLDER_REVISION for name in "vwxyz"})
    assert last_possible_act_ms(evidence, seen_leases) == LAST_ACT_MS
    departures.update({entry_key(name): HOLDER_REVISION + 1 for name in "wxy"})
    assert last_possible_act_ms(evidence, seen_leases) == LAST_ACT_MS
    departures.update({entry_key("z"): HOLDER_REVISION + 1})
    assert last_possible_act_ms(evidence, seen_leases) is None


def test_departures_are_dropped_once_all_leases_are_newer():
    evidence = HolderEvidence(RETENTION_MS)
    evidence.record_full_read(1)
    evidence.record_renewal(0, 2, 10)
    for name, revision in (("x", HOLDER_REVISION), ("y", HOLDER_REVISION + 1)):
        evidence.record_deletions([entry_key(name)], revision)
    evidence.observe(leases())
    assert evidence.departed == {entry_key("y"): HOLDER_REVISION + 1}
    assert evidence.read_since_revision == HOLDER_REVISION


def test_returned_entry_is_no_longer_departed():
    evidence = HolderEvidence(RETENTION_MS)
    evidence.record_deletions([entry_key("b"), entry_key("y")], HOLDER_REVISION + 1)
    evidence.observe(leases())
    assert evidence.departed == {entry_key("y"): HOLDER_REVISION + 1}


def test_departures_after_the_last_read_of_the_holder_raise_the_number_needed(
    evidence: HolderEvidence,
):
    evidence.record_deletions([entry_key(name) for name in "wxy"], HOLDER_REVISION)
    assert last_possible_act_ms(evidence, leases()) == LAST_ACT_MS
    evidence.record_deletions([entry_key(name) for name in "wxyz"], HOLDER_REVISION + 1)
    assert last_possible_act_ms(evidence, leases()) is None


def test_holder_in_a_minority_without_the_store_stops_giving_orders(play):
    async def day(fleet: JobFleet) -> None:
        holder = fleet.owners()["phone"]
        others = [name for name in fleet.entries if name != holder]
        for name in (holder, others[0]):
            fleet.disconnect_from_store(name)
        for name in others[1:]:
            cut_from_each_other(fleet, holder, name)
        keeper = fleet.entries[holder].keeper
        await fleet.wait_until(lambda: not keeper.authority.may_act(), AUTHORITY_LOST_S)

    play(day, entries=5)


def test_runs_of_a_silent_holder_are_started_again_only_once_they_lapsed(play):
    async def day(fleet: JobFleet) -> None:
        fleet.run_ms = LONG_RUN_MS
        holder = fleet.owners()["phone"]
        await submit_jobs(fleet, 6)
        await asyncio.sleep(0.5)
        fleet.disconnect_from_store(holder)
        fleet.disconnect_from_worker(holder, "phone-3")
        for entry in set(fleet.entries) - {holder}:
            cut_from_each_other(fleet, holder, entry)
            for worker in ("phone-0", "phone-1", "phone-2"):
                fleet.disconnect_from_worker(entry, worker)
        await fleet.wait_until(lambda: max(fleet.checker.start_counts.values()) > 1)

    fleet = play(day, entries=4, workers=4)
    assert fleet.checker.violations == []


def test_holders_keep_acting_while_no_entry_reaches_the_store(play):
    async def day(fleet: JobFleet) -> None:
        holder = fleet.entries[fleet.owners()["phone"]]
        job = job_id(1)
        assert await fleet.submit("entry-0", "phone", job, phases(*[1] * 40)) == 200
        fleet.store.fault = StoreFault.SILENT
        for _ in range(round(OUTAGE_S)):
            started = len(fleet.checker.start_counts)
            await fleet.wait_until(
                lambda started=started: len(fleet.checker.start_counts) > started, 1.0
            )
            assert holder.keeper.authority.may_act()
            await asyncio.sleep(1)
        fleet.store.fault = StoreFault.NONE
        await fleet.wait_for_state("phone", job, "completed")

    fleet = play(day, entries=5)
    assert set(fleet.checker.start_counts.values()) == {1}


def test_late_write_of_a_stopped_incarnation_leaves_the_row_of_the_next_one(play):
    async def day(fleet: JobFleet) -> None:
        entries = fleet.entries.items()
        name = next(
            name for name, entry in entries if not entry.keeper.held.generations
        )
        old = fleet.entries.pop(name)
        fleet.store.fault = StoreFault.LOST_ANSWERS
        fleet.store.lost_write_delay_ms = STORE_DELAY_MS
        stopping = asyncio.create_task(old.stop())
        await fleet.wait_until(lambda: old.keeper.is_releasing)
        await asyncio.sleep(0.1)
        fleet.store.fault = StoreFault.NONE
        await fleet.add_entry(name)
        await fleet.wait_until(
            lambda: is_renewed_by_another_incarnation(fleet, old.keeper.own)
        )
        for _ in range(2 * STORE_DELAY_MS // SAMPLE_MS):
            assert is_renewed_by_another_incarnation(fleet, old.keeper.own)
            await asyncio.sleep(SAMPLE_MS / 1_000)
        await stopping

    play(day, entries=5)


@pytest.mark.parametrize("is_late", [False, True])
def test_row_of_a_stopped_entry_stays_for_its_next_incarnation(play, is_late: bool):
    async def day(fleet: JobFleet) -> None:
        entries = fleet.entries.items()
        name = next(
            name for name, entry in entries if not entry.keeper.held.generations
        )
        old = fleet.entries.pop(name)
        if is_late:
            fleet.store.fault = StoreFault.LOST_ANSWERS
            fleet.store.lost_write_delay_ms = STORE_DELAY_MS
            await asyncio.sleep(RENEW_INTERVAL_S)
            fleet.store.fault = StoreFault.NONE
        stopping = asyncio.create_task(old.stop())
        key = tuple(entry_key(name).split("/", 2))
        for _ in range(2 * STORE_DELAY_MS // SAMPLE_MS):
            await asyncio.sleep(SAMPLE_MS / 1_000)
            assert key in fleet.store.rows
        await stopping

    play(day, entries=5)
