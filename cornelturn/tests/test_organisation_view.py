"""Rows of organisations that operators are shown, and confirmed caps."""

from __future__ import annotations

from dataclasses import replace

import msgspec
import pytest

from cornelturn.admission.controller import Admission
from cornelturn.clock import Clock, ManualTime
from cornelturn.entry.organisation_figures import EntryFigures
from cornelturn.http.organisation_views import OrganisationsBody, organisations_body
from cornelturn.jobs.model import Resources
from cornelturn.model.organisations import Organisation, key_digest
from cornelturn.model.routes import JobPool, RoutingTable
from cornelturn.organisation_view.known import (
    FORGET_ENTRY_MS,
    FORGET_POOL_MS,
    LATE_MS,
    KnownFigures,
)
from cornelturn.organisation_view.rows import (
    MissingPool,
    OrganisationRow,
    view_organisations,
)
from cornelturn.organisation_view.shown import ShownView
from cornelturn.peering.codec import Codec
from cornelturn.peering.messages import PoolCounts
from cornelturn.peering.organisation_messages import (
    AdmissionRefusals,
    CapsConfirmed,
    ConfirmedCap,
    PoolFigures,
    PoolOrganisation,
    RefusalCount,
)
from cornelturn.peering.quota_messages import QuotaReport
from cornelturn.quota.amounts import NOTHING, Amount
from cornelturn.quota.confirmation import CapConfirmations
from cornelturn.reports.forms import ReportFormat, render_report
from cornelturn.reports.organisations import COLUMNS, organisation_report
from cornelturn.reports.page import PAGE_WIDTH_CHARS
from cornelturn.scheduling.organisation_reporting import (
    FIGURES_INTERVAL_MS,
    OrganisationReporter,
)

KEY = "key-of-one"
CAP = Resources(6_000)
TABLE = RoutingTable(
    3,
    pools=(JobPool("mail"), JobPool("phone")),
    organisations=(
        Organisation("one", 2.0, CAP, frozenset({key_digest(KEY)})),
        Organisation("two"),
    ),
)
CAPACITY = Amount(10_000, 1_000)


def counts(
    pool: str, *rows: PoolOrganisation, generation: int = 1, counted_ms: int = 500
) -> PoolCounts:
    """Return a report of a pool's owner."""
    figures = PoolFigures(counted_ms, CAPACITY, rows)
    return PoolCounts(pool, generation, (), figures=figures)


def row(known: KnownFigures, name: str, now_ms: int, pool: str = "") -> OrganisationRow:
    """Return the row of one organisation."""
    rows = view_organisations(known, TABLE, now_ms, pool).rows
    return next(item for item in rows if item.organisation == name)


@pytest.fixture
def known() -> KnownFigures:
    """Return figures of both pools, in which only organisation one has work."""
    known = KnownFigures()
    part = PoolOrganisation("one", Amount(2_000, 100), 2, 3, 3_000, 4)
    known.add_pool(counts("mail", part), 1_000)
    known.add_pool(counts("phone", part._replace(runs=1), counted_ms=900), 1_200)
    return known


def test_row_adds_up_all_pools(known):
    # Guards against figures of one pool that hide those of another.
    told = AdmissionRefusals(100, (RefusalCount("one", "overload", 5),))
    known.add_refusals("entry-0", told, 1_200)
    known.add_refusals("entry-1", told, 1_200)
    found = row(known, "one", 1_300)
    assert (found.running, found.runs) == (Amount(4_000, 200), 3)
    assert (found.waiting_tasks, found.waiting_cpu) == (6, 6_000)
    assert found.share == pytest.approx(0.2)
    assert found.refusals == {"quota": 8, "overload": 10}
    assert (found.weight, found.cap) == (2.0, Amount(6_000))
    assert (found.age_ms, found.since_ms, found.missing_pools) == (300, 1_100, ())
    assert row(known, "one", 1_300, "phone").refusals == {"quota": 4}


def test_organisation_without_work_has_a_row(known):
    # Guards against a customer that operators take for unknown.
    found = row(known, "two", 1_300)
    assert (found.running, found.runs, found.refusals) == (Amount(), 0, {})
    assert (found.age_ms, found.cap) == (300, Amount())


def test_jobs_of_public_queues_and_removed_organisations_have_rows_last(known):
    part = PoolOrganisation("", Amount(1_000), 1)
    known.add_pool(counts("mail", part, part._replace(organisation="gone")), 1_300)
    rows = view_organisations(known, TABLE, 1_300).rows
    assert [item.organisation for item in rows] == ["gone", "one", "two", ""]
    assert [item.weight for item in rows] == [None, 2.0, 1.0, None]


def test_silent_owner_is_named_with_the_age_of_its_figures(known):
    # Guards against old figures that look like current ones.
    now_ms = 1_000 + LATE_MS
    view = view_organisations(known, TABLE, now_ms)
    assert view.missing_pools == (MissingPool("mail", LATE_MS),)
    assert row(known, "one", now_ms).age_ms == LATE_MS
    assert row(known, "one", now_ms).missing_pools == ("mail",)
    del known.pools["phone"]
    view = view_organisations(known, TABLE, 1_100)
    assert view.missing_pools == (MissingPool("phone", None),)
    assert row(known, "two", 1_100).missing_pools == ("phone",)


def test_figures_of_a_successor_replace_those_of_a_lost_owner(known):
    # Guards against a paused owner whose late report hides its successor.
    known.add_pool(counts("mail", generation=2, counted_ms=50), 1_500)
    known.add_pool(counts("mail", PoolOrganisation("one", runs=9)), 1_600)
    found = row(known, "one", 1_600)
    assert (found.runs, found.since_ms) == (1, 1_450)


def test_figures_of_removed_pools_and_lost_entries_are_forgotten(known):
    # Guards against a removed pool that is named as missing for ever.
    known.add_refusals("entry-0", AdmissionRefusals(0, ()), 0)
    known.forget_old({"phone"}, 999 + FORGET_POOL_MS)
    assert set(known.pools) == {"mail", "phone"}
    known.forget_old({"phone"}, 1_000 + FORGET_POOL_MS)
    assert (set(known.pools), set(known.refusals)) == ({"phone"}, {"entry-0"})
    known.forget_old({"phone"}, FORGET_ENTRY_MS)
    assert (set(known.pools), known.refusals) == ({"phone"}, {})


def test_pool_that_was_removed_long_ago_is_not_known_at_the_first_request(known):
    # Guards against an empty view in place of the answer that there is no such pool.
    time = ManualTime()
    time.advance_ms(1_000 + FORGET_POOL_MS)
    table = replace(TABLE, pools=(JobPool("phone"),))
    figures = EntryFigures(
        "entry-0",
        Clock(time.read_ns),
        unix_offset_ms=0,
        admission=Admission(),
        routing=lambda: table,
        send=lambda entry, message: None,
        send_all=lambda message: None,
        known=known,
    )
    assert figures.show("mail") is None
    assert figures.show("phone") is not None


def test_240_organisations_have_one_row_each():
    # Guards against rows by pool or by entry: people are to read 240 at most.
    names = [f"org-{number:03}" for number in range(240)]
    table = replace(TABLE, organisations=tuple(map(Organisation, names)))
    known = KnownFigures()
    for pool in ("mail", "phone"):
        parts = (PoolOrganisation(name, Amount(1), 1) for name in names)
        known.add_pool(counts(pool, *parts), 0)
    rows = view_organisations(known, table, 0).rows
    assert [item.organisation for item in rows] == names
    assert {item.runs for item in rows} == {2}


def test_cap_counts_as_confirmed_only_by_a_broker_that_still_tells_it(known):
    # Guards against confirmations of a cap that is not the one shown.
    cap = ConfirmedCap("one", Amount(6_000), 3, 40, 10)
    known.add_caps(CapsConfirmed(2, (cap,)), 1_000)
    assert row(known, "one", 1_100).confirmed == cap
    assert row(known, "one", 1_000 + LATE_MS).confirmed is None
    assert row(known, "one", 1_000 + LATE_MS).cap == Amount(6_000)
    known.add_caps(CapsConfirmed(1, ()), 1_100)
    assert row(known, "one", 1_200).confirmed == cap
    known.add_caps(CapsConfirmed(3, (cap._replace(cap=Amount(8_000)),)), 1_300)
    assert row(known, "one", 1_300).confirmed is None


def test_owner_reports_figures_only_with_organisations_and_once_a_second(make_pool):
    pool = make_pool(4, {})
    reporter = OrganisationReporter(pool.scheduler)
    assert reporter.report_due(0) is None
    pool.configure({"one": 1.0, "two": 1.0}, 2)
    for _ in range(6):
        pool.add("one")
    pool.scheduler.plan(0)
    pool.scheduler.update_demand()
    figures = reporter.report_due(100)
    (found,) = figures.rows
    assert found[:5] == ("one", Amount(4_000, 4), 4, 2, 2_000)
    assert (figures.counted_ms, figures.capacity.cpu) == (0, 4_000)
    assert reporter.report_due(99 + FIGURES_INTERVAL_MS) is None
    assert reporter.report_due(100 + FIGURES_INTERVAL_MS).counted_ms == 1_000


def test_messages_survive_their_encoding_and_have_no_key(known):
    # Guards against frames that other entries drop, and against published keys.
    codec = Codec("a", 1, b"k" * 16)
    cap = ConfirmedCap("one", Amount(6_000), 3, 40, 10)
    refusals = AdmissionRefusals(9, (RefusalCount("one", "over_rate", 2),))
    report = counts("mail", PoolOrganisation("one", Amount(1, 2, 3), 1, 2, 3, 4))
    messages = [report, refusals, CapsConfirmed(2, (cap,))]
    batch = replace(codec, entry="b").decode(codec.encode("b", messages)).unwrap()
    assert batch.messages == tuple(messages)
    body = organisations_body(ShownView("a", view_organisations(known, TABLE, 0), 0, 0))
    text = msgspec.json.encode(body)
    assert msgspec.json.decode(text, type=OrganisationsBody) == body
    assert KEY.encode() not in text and key_digest(KEY).encode() not in text


GENERATIONS = {"mail": 2, "phone": 5}
LOW, HIGH = {"one": Amount(2_000)}, {"one": Amount(6_000)}


def note(
    confirmations: CapConfirmations,
    pool: str,
    version: int,
    now_ms: int,
    later: int = 0,
) -> None:
    """Let the owner of a pool, or a later one, report a version."""
    generation = GENERATIONS[pool] + later
    report = QuotaReport(pool, generation, 1, 1, 0, version, True, NOTHING, ())
    confirmations.note_report(report, now_ms)


@pytest.fixture
def lowered() -> CapConfirmations:
    """Return the confirmations of a cap that version 2 has just lowered."""
    confirmations = CapConfirmations()
    confirmations.set_caps(1, HIGH)
    for pool in GENERATIONS:
        note(confirmations, pool, 1, 0)
    (first,) = confirmations.confirm(GENERATIONS, 10)
    assert (first.version, first.cap) == (1, HIGH["one"])
    confirmations.set_caps(2, LOW)
    return confirmations


def test_lowered_cap_is_confirmed_when_the_last_owner_has_it(lowered):
    # Guards against a confirmation while one owner still starts work by the old cap.
    assert lowered.confirmed == {}
    note(lowered, "mail", 2, 100)
    assert lowered.confirm(GENERATIONS, 110) == []
    note(lowered, "phone", 2, 350)
    (found,) = lowered.confirm(GENERATIONS, 350)
    assert (found.version, found.cap, found.spread_ms) == (2, LOW["one"], 250)
    assert lowered.confirm(GENERATIONS, 400) == []
    lowered.set_caps(3, LOW)
    assert lowered.confirmed["one"].version == 2


def test_report_of_a_replaced_owner_confirms_nothing(lowered):
    # Guards against a paused owner that answers for its successor.
    note(lowered, "mail", 2, 100)
    note(lowered, "phone", 2, 100)
    assert lowered.confirm({**GENERATIONS, "phone": 6}, 110) == []
    note(lowered, "phone", 1, 120, later=1)
    assert lowered.confirm({**GENERATIONS, "phone": 6}, 130) == []
    note(lowered, "phone", 3, 140, later=1)
    assert len(lowered.confirm({**GENERATIONS, "phone": 6}, 140)) == 1


def test_former_owner_of_a_pool_that_is_added_again_confirms_nothing(lowered):
    # Guards against a record of before that counts for an owner not known yet, and
    # against records of all pools that there ever were.
    note(lowered, "phone", 2, 100)
    assert lowered.confirm({"mail": 2}, 110) == []
    assert lowered.owners.keys() == {"mail"}
    note(lowered, "mail", 2, 120)
    assert lowered.confirm({"mail": 2, "phone": 0}, 130) == []
    note(lowered, "phone", 2, 140, later=1)
    assert len(lowered.confirm({"mail": 2, "phone": 6}, 150)) == 1


def test_cap_that_changes_again_is_confirmed_by_its_last_version(lowered):
    note(lowered, "mail", 2, 100)
    lowered.set_caps(3, HIGH)
    note(lowered, "phone", 2, 200)
    assert lowered.confirm(GENERATIONS, 200) == []
    note(lowered, "mail", 3, 300)
    note(lowered, "phone", 3, 310)
    (found,) = lowered.confirm(GENERATIONS, 310)
    assert (found.version, found.spread_ms) == (3, 10)


def test_pool_without_an_owner_and_removed_cap_are_never_confirmed(lowered):
    note(lowered, "mail", 2, 100)
    note(lowered, "phone", 2, 100)
    assert lowered.confirm({**GENERATIONS, "new": 0}, 110) == []
    assert lowered.confirm({}, 110) == []
    lowered.set_caps(3, {})
    assert lowered.confirm(GENERATIONS, 120) == []


def test_report_has_a_line_for_each_organisation_and_each_missing_pool(known):
    # Guards against a page that looks complete while pools are missing.
    cap = ConfirmedCap("one", Amount(6_000), 3, 40, 10)
    known.add_caps(CapsConfirmed(2, (cap,)), 3_900)
    view = view_organisations(known, TABLE, 1_000 + LATE_MS)
    report = organisation_report(ShownView("entry-0", view, 4_000, 0))
    assert sum(column.width + 1 for column in report.columns) - 1 <= PAGE_WIDTH_CHARS
    first, second, *totals = report.lines
    assert dict(zip((c.title for c in COLUMNS), first.cells, strict=True)) == {
        "Organisation": "one",
        "Weight": "2",
        "Cores": "4",
        "Core cap": "6",
        "Mem MB": "200",
        "Mem cap": "-",
        "GPU": "0",
        "GPU cap": "-",
        "Share": "20.0%",
        "Waiting": "6",
        "Overload": "0",
        "Over rate": "0",
        "Quota": "8",
        "Version": "3",
        "Age s": "3.0",
    }
    assert second.cells[0] == "two"
    assert [line.cells[0] for line in totals] == ["** TOTAL", "* MISSING mail"]
    text = render_report(report, ReportFormat.TEXT, "2026-12-07")
    assert "REFUSALS SINCE 1970-01-01T00:00:00.500Z" in text.splitlines()[0]
    assert len(render_report(report, ReportFormat.CSV, "").splitlines()) == 3
