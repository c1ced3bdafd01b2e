"""Rows of organisations in a fleet of entries, as operators get them."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from dataclasses import replace
from itertools import pairwise
from typing import Any

import msgspec
import pytest
from blacksheep import Request
from typer.testing import CliRunner

from cornelturn.cli import organisations
from cornelturn.cli.client import Endpoint, ExitCode
from cornelturn.cli.main import app
from cornelturn.entry.job_process import JobEntry
from cornelturn.http.organisation_views import (
    AmountView,
    ConfirmedView,
    MissingPoolView,
    OrganisationsBody,
    OrganisationView,
)
from cornelturn.jobs.model import Resources
from cornelturn.ownership.duties import QUOTA_DUTY
from cornelturn.peering.messages import InnerMessage, PoolCounts
from cornelturn.peering.organisation_messages import (
    AdmissionRefusals,
    CapsConfirmed,
    FiguresWanted,
    PoolFigures,
)
from cornelturn.store.http_client import HttpResponse
from cornelturn.tests.job_fleet import JobFleet, phases
from cornelturn.tests.test_duty_spread import holder
from cornelturn.tests.test_organisations import (
    KEY,
    OTHER_KEY,
    adopt,
    keyed_configuration,
    submit,
)

LASTING = msgspec.json.encode({"spec": "text", "phases": phases(2, is_lasting=True)})


async def ask(fleet: JobFleet, entry: str, query: str = "") -> OrganisationsBody:
    """Return the rows as the metrics listener of an entry answers them."""
    request = Request("GET", f"/organisations{query}".encode(), [])
    answer = await fleet.entries[entry].listeners.metrics.serve(request)
    assert answer.status == 200
    text = await answer.read()
    assert KEY.encode() not in text and OTHER_KEY.encode() not in text
    return msgspec.json.decode(text, type=OrganisationsBody)


def row(body: OrganisationsBody, name: str) -> OrganisationView:
    return next(item for item in body.organisations if item.organisation == name)


async def wait_for_row(
    fleet: JobFleet, entry: str, limit_s: float = 3.0, **fields: Any
) -> OrganisationView:
    """Wait until the row of organisation a has some values, and return it."""
    async with asyncio.timeout(limit_s):
        while True:
            found = row(await ask(fleet, entry), "a")
            if all(getattr(found, name) == value for name, value in fields.items()):
                return found
            await asyncio.sleep(0.1)


def test_every_entry_shows_what_all_pools_run(play):
    # Guards against an entry that shows only the pools that it owns.
    async def day(fleet: JobFleet) -> None:
        assert (await ask(fleet, "entry-0")).organisations == ()
        await adopt(fleet, keyed_configuration(2, KEY))
        assert await submit(fleet, KEY, LASTING) == 200
        for entry in fleet.entries:
            found = await wait_for_row(fleet, entry, runs=2, missing_pools=())
            assert found.running.cpu == 2_000
            assert (found.weight, found.cap.cpu) == (3, 4_000)
            body = await ask(fleet, entry)
            assert (body.entry, body.version) == (entry, 2)
            assert body.missing_pools == found.missing_pools == ()
            assert row(body, "b").runs == 0
            assert found.age_ms <= 1_500
        assert row(await ask(fleet, "entry-0", "?pool=mail"), "a").runs == 0
        assert row(await ask(fleet, "entry-0", "?pool=phone"), "a").runs == 2
        metrics = fleet.entries["entry-0"].listeners.metrics
        for form, start in (("text", "REPORT CT060"), ("csv", "organisation,weight")):
            path = f"/reports/organisations?form={form}&pool=phone"
            answer = await metrics.serve(Request("GET", path.encode(), []))
            assert (await answer.read()).decode().startswith(start)
        bad = Request("GET", b"/reports/organisations?form=xml", [])
        assert (await metrics.serve(bad)).status == 400
        # Guards against rows of zeros for a pool whose name is misspelt.
        assert fleet.entries["entry-0"].figures.show("fone") is None

    play(day, entries=3, workers=1)


def test_figures_of_a_lost_owner_come_from_its_successor(play):
    # Guards against counts that seem to go on although the owner has changed.
    async def day(fleet: JobFleet) -> None:
        await adopt(fleet, keyed_configuration(2, KEY))
        assert await submit(fleet, KEY, LASTING) == 200
        owner = fleet.owners()["phone"]
        other = next(entry for entry in fleet.entries if entry != owner)
        before = await wait_for_row(fleet, other, runs=2, missing_pools=())
        fleet.kill_entry(owner)
        await asyncio.sleep(2.5)
        assert (await wait_for_row(fleet, other, 0.1, runs=2)).age_ms >= 2_000
        await fleet.wait_until(lambda: "phone" in fleet.owners(), 20)
        await ask(fleet, other)
        await asyncio.sleep(2)
        after = await wait_for_row(fleet, other, runs=2)
        assert after.counted_since > before.counted_since
        assert after.age_ms <= 1_500

    play(day, entries=3, workers=1)


def test_entry_that_an_owner_does_not_reach_names_its_pools(play):
    # Guards against old figures that look like current ones.
    async def day(fleet: JobFleet) -> None:
        await adopt(fleet, keyed_configuration(2, KEY))
        owner = fleet.owners()["phone"]
        first, second = (entry for entry in fleet.entries if entry != owner)
        await wait_for_row(fleet, first, missing_pools=())
        labels = (fleet.entries[owner].label, fleet.entries[first].label)
        fleet.network.cut_pairs.add(frozenset(labels))
        await ask(fleet, second)
        await asyncio.sleep(4.5)
        (missing,) = (
            item
            for item in (await ask(fleet, first)).missing_pools
            if item.pool == "phone"
        )
        assert 3_000 <= missing.age_ms <= 6_000
        assert (await ask(fleet, second)).missing_pools == ()
        fleet.network.cut_pairs.clear()
        await wait_for_row(fleet, first, 10, missing_pools=())

    play(day, entries=3, workers=1)


def lower_cap(fleet: JobFleet, entry: str) -> None:
    """Put version 3, with half of the cap, into force at one entry only."""
    watch = fleet.entries[entry].operator_watch
    first, *others = watch.current.organisations
    lowered = replace(first, cap=Resources(first.cap.cpu // 2))
    watch.current = replace(watch.current, version=3, organisations=(lowered, *others))


@pytest.mark.parametrize("is_broker_killed", [False, True])
def test_lowered_cap_is_confirmed_when_the_last_owner_has_it(
    play, events, is_broker_killed
):
    # Guards against a confirmation while one owner still starts work by the old cap,
    # also where the broker is lost before it could confirm.
    async def day(fleet: JobFleet) -> None:
        await adopt(fleet, keyed_configuration(2, KEY))
        await fleet.wait_until(lambda: holder(fleet, QUOTA_DUTY) in fleet.entries)
        broker = holder(fleet, QUOTA_DUTY)
        late = next(name for name in fleet.owners().values() if name != broker)
        (asked,) = fleet.entries.keys() - {broker, late}
        confirmed = (await wait_for_confirmation(fleet, asked, 2)).confirmed
        assert row(await ask(fleet, asked), "b").confirmed is None
        for entry in (broker, asked):
            lower_cap(fleet, entry)
        if is_broker_killed:
            fleet.kill_entry(broker)
            await asyncio.sleep(8)
        await asyncio.sleep(2)
        lowered = row(await ask(fleet, asked), "a")
        assert (lowered.cap.cpu, lowered.confirmed) == (2_000, None)
        lower_cap(fleet, late)
        found = (await wait_for_confirmation(fleet, asked, 3)).confirmed
        assert found.since > confirmed.since
        # Reports are 200 ms apart, so that either end may be seen late.
        assert 1_800 <= found.spread_ms <= 20_000

    play(day, entries=3, workers=1)
    lines = [text for text in events.messages if "event=quota_confirmed" in text]
    assert sum("version=3 organisation=a cap_cpu=2000" in text for text in lines) == 1


async def wait_for_confirmation(
    fleet: JobFleet, entry: str, version: int
) -> OrganisationView:
    """Wait until the cap of organisation a is confirmed with a version."""
    async with asyncio.timeout(20):
        while True:
            found = row(await ask(fleet, entry), "a")
            if found.confirmed is not None and found.confirmed.version == version:
                return found
            await asyncio.sleep(0.1)


def test_refused_jobs_of_all_entries_are_counted_at_each(play):
    # Guards against refusals that only the entry knows which the caller reached.
    async def day(fleet: JobFleet) -> None:
        await adopt(fleet, keyed_configuration(2, KEY))
        entries = list(fleet.entries.values())
        for entry in entries[:2]:
            entry.service.admission.refusals["a", "overload"] += 2
        found = await wait_for_row(fleet, "entry-2", refusals={"overload": 4})
        assert found.counted_since is not None

    play(day, entries=3, workers=1)


def test_work_beyond_the_cap_is_shown_as_waiting_and_refused_by_quota(play):
    # Guards against a row that does not say why an organisation gets no more.
    async def day(fleet: JobFleet) -> None:
        await adopt(fleet, keyed_configuration(2, KEY))
        wide = msgspec.json.encode(
            {"spec": "text", "phases": phases(6, is_lasting=True)}
        )
        assert await submit(fleet, KEY, wide) == 200
        found = await wait_for_row(fleet, "entry-0", 10, runs=4, waiting_tasks=2)
        assert (found.running.cpu, found.waiting_cpu) == (4_000, 2_000)
        assert found.refusals["quota"] >= 1
        assert found.confirmed is not None

    play(day, entries=2, workers=1)


def record_messages(
    monkeypatch: pytest.MonkeyPatch, times: dict[tuple[str, str], list[int]]
) -> None:
    """Record when each message for operators is sent, by its kind and sender."""
    send, send_all = JobEntry.send, JobEntry.send_all

    def note(entry: JobEntry, message: InnerMessage) -> None:
        match message:
            case PoolCounts(pool=pool, figures=PoolFigures()):
                times["figures", pool].append(entry.clock.now_ms())
            case AdmissionRefusals() | CapsConfirmed() | FiguresWanted():
                place = (type(message).__name__, entry.settings.name)
                times[place].append(entry.clock.now_ms())

    def record(self: JobEntry, entry: str, message: InnerMessage) -> None:
        note(self, message)
        send(self, entry, message)

    def record_all(self: JobEntry, message: InnerMessage) -> None:
        note(self, message)
        send_all(self, message)

    monkeypatch.setattr(JobEntry, "send", record)
    monkeypatch.setattr(JobEntry, "send_all", record_all)


def test_figures_are_sent_only_while_somebody_asks(play, monkeypatch):
    # Guards against 930 KB a second at each entry of 114 pools that nobody reads.
    times: dict[tuple[str, str], list[int]] = defaultdict(list)
    record_messages(monkeypatch, times)

    async def day(fleet: JobFleet) -> None:
        await adopt(fleet, keyed_configuration(2, KEY))
        for entry in fleet.entries.values():
            entry.service.admission.refusals["a", "overload"] += 1
        await asyncio.sleep(10)
        assert times == {}
        first = await ask(fleet, "entry-0")
        assert first.missing_pools != ()
        await wait_for_row(fleet, "entry-0", missing_pools=(), refusals={"overload": 3})
        for name in ("entry-1", "entry-2"):
            assert fleet.entries[name].figures.requesters.keys() == {"entry-0"}
        assert fleet.entries["entry-0"].figures.requesters == {}
        # Requests end 10 s after the last question, and hold for 4 s.
        await asyncio.sleep(16)
        times.clear()
        await asyncio.sleep(5)
        assert times == {}

    play(day, entries=3, workers=1)


def test_entry_that_has_not_joined_answers(play):
    # Guards against an exception where the request has no hub to go through.
    async def day(fleet: JobFleet) -> None:
        await adopt(fleet, keyed_configuration(2, KEY))
        entry = fleet.entries["entry-0"]
        entry.is_joined = False
        try:
            assert (await ask(fleet, "entry-0")).version == 2
            assert entry.figures.is_wanted()
        finally:
            entry.is_joined = True

    play(day, entries=2, workers=1)


def test_each_message_is_sent_once_a_second_at_most(play, monkeypatch):
    # Guards against costs that grow with the number of changes.
    times: dict[tuple[str, str], list[int]] = defaultdict(list)
    record_messages(monkeypatch, times)

    async def day(fleet: JobFleet) -> None:
        await adopt(fleet, keyed_configuration(2, KEY))
        for _ in range(100):
            for entry in fleet.entries.values():
                entry.service.admission.refusals["a", "overload"] += 1
                await ask(fleet, entry.settings.name)
            await asyncio.sleep(0.1)

    play(day, entries=2, workers=1)
    # Three pools, two entries with refusals, one broker, two entries that ask.
    assert len(times) == 8
    for sent in times.values():
        assert len(sent) >= 5
        assert min(later - earlier for earlier, later in pairwise(sent)) >= 1_000


def test_nothing_is_told_without_organisations(play):
    # Guards against costs for operators who have no organisations.
    async def day(fleet: JobFleet) -> None:
        await asyncio.sleep(5)
        for entry in fleet.entries.values():
            entry.service.admission.refusals["a", "overload"] += 1
        await asyncio.sleep(2)
        for entry in fleet.entries.values():
            assert entry.figures.known.pools == {}
            assert set(entry.figures.known.refusals) <= {entry.settings.name}
        # Guards against a refusal that ends after the last organisation was removed,
        # and would have a row for ever.
        for name, entry in fleet.entries.items():
            entry.service.admission.refusals["a", "overload"] += 1
            assert (await ask(fleet, name)).organisations == ()

    play(day, entries=2, workers=1)


def test_command_prints_a_row_with_cap_missing_pool_and_age(monkeypatch):
    # Guards against a table that looks complete while pools are missing.
    body = OrganisationsBody(
        "entry-0",
        4,
        {"phone": 200},
        (MissingPoolView("mail", None),),
        (
            OrganisationView(
                organisation="a",
                weight=3.0,
                running=AmountView(2_500, 10, 0),
                runs=2,
                cap=AmountView(4_000, 0, 0),
                confirmed=ConfirmedView(3, "2026-12-07T02:00:00.000Z", 40),
                share=125,
                waiting_tasks=7,
                waiting_cpu=7_000,
                refusals={"overload": 5},
                age_ms=1_250,
                counted_since="2026-12-07T01:00:00.000Z",
                missing_pools=("mail",),
            ),
        ),
    )
    answer = HttpResponse(200, msgspec.json.encode(body), "application/json")
    paths: list[str] = []

    def request(method: str, path: str, endpoint: Endpoint) -> HttpResponse:
        paths.append(endpoint.url + path)
        return answer

    monkeypatch.setattr(organisations, "request_or_exit", request)
    result = CliRunner().invoke(app, ["organisations", "--from", "127.0.0.1:9464"])
    header, cells, *rest = result.output.splitlines()
    assert paths == ["http://127.0.0.1:9464/organisations"]
    assert dict(zip(header.split(), cells.split(), strict=True)) == {
        "organisation": "a",
        "weight": "3",
        "cores": "2.5/4",
        "mem_mb": "10",
        "gpu": "0",
        "share": "12.5%",
        "waiting": "7",
        "waiting_cores": "7",
        "overload": "5",
        "over_rate": "0",
        "quota": "0",
        "confirmed": "3",
        "age_s": "1.2",
        "missing": "mail",
    }
    assert rest == [
        "entry entry-0, version 4, 1 pools told",
        "missing pool mail: no figures",
        "refusals counted since 2026-12-07T01:00:00.000Z",
    ]


@pytest.mark.parametrize("address", ["", "127.0.0.1", "127.0.0.1:x", "host:1/path"])
def test_command_refuses_an_address_that_is_none(address):
    result = CliRunner().invoke(app, ["organisations", "--from", address])
    assert result.exit_code == ExitCode.USAGE


def test_command_says_that_an_entry_does_not_answer():
    result = CliRunner().invoke(app, ["organisations", "--from", "127.0.0.1:1"])
    assert result.exit_code == ExitCode.UNAVAILABLE
