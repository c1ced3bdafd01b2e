"""Requests while the store, targets, entries or a whole rack fail.

No failure may start a collection (not idempotent) twice, report a wrong outcome, or
lose a lookup (idempotent).
"""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from cornelturn.fleet.lease import ObservedLease, lease_key
from cornelturn.requests.claims import Claims
from cornelturn.requests.limits import HoldOffKey
from cornelturn.standins.platform import Fault
from cornelturn.standins.target import TargetFault
from cornelturn.store.http_client import HttpResponse
from cornelturn.store.rows import Put, Row, TableUnavailable
from cornelturn.tests.conftest import OPERATOR_TOKEN, Caller, Fleet, StartFleet


def outcome(answer: HttpResponse) -> str:
    return msgspec.json.decode(answer.body)["outcome"]


def reason(answer: HttpResponse) -> str:
    return msgspec.json.decode(answer.body).get("reason", "")


async def durable_answer(fleet: Fleet, accepted: HttpResponse) -> HttpResponse:
    request = msgspec.json.decode(accepted.body)["request"]
    path = f"/requests/{request}/answer"
    async with asyncio.timeout(30):
        while (answer := await fleet.caller().call("GET", path)).status == 409:
            await asyncio.sleep(0.05)
    return answer


@pytest.mark.parametrize("fault", [Fault.DOWN, Fault.SILENT])
async def test_store_outage_stops_collections_but_not_lookups(
    start_fleet: StartFleet, fault: Fault
) -> None:
    fleet = await start_fleet(entries=2)
    fleet.platform.set_fault(fault)
    lookup = await fleet.caller().post("lookup", b"x")
    collection = await fleet.caller(1).post(
        "collection", b"x", Request_Timeout_Ms="1500"
    )
    keyed = await fleet.caller(1).post(
        "collection", b"x", Idempotency_Key="k", Request_Timeout_Ms="1500"
    )
    durable = await fleet.caller().post("collection", b"y", Prefer="respond-async")
    assert (lookup.status, lookup.body) == (200, b"lookup:x")
    assert (outcome(collection), reason(collection)) == (
        "not_run",
        "table_unavailable",
    )
    assert outcome(keyed) == "unknown"
    assert outcome(durable) == "not_run"
    assert len(fleet.starts()) == 1


async def test_commit_fails_at_its_limit_while_others_wait_longer(
    start_fleet: StartFleet,
) -> None:
    fleet = await start_fleet()
    table = fleet.entries[0].parts.table
    fleet.platform.set_fault(Fault.DOWN)
    waiting = [
        asyncio.create_task(table.commit(Put(f"patient/{n}", ""), limit_ms=30_000))
        for n in range(20)
    ]
    await fleet.wait_for(lambda: bool(table.pending))
    async with asyncio.timeout(3):
        limited = await table.commit(Put("hurried", ""), limit_ms=300)
    assert isinstance(limited.unwrap_err(), TableUnavailable)
    fleet.platform.set_fault(Fault.NONE)
    assert all(result.is_ok() for result in await asyncio.gather(*waiting))
    assert "hurried" not in fleet.platform.table.rows


async def test_slow_store_delays_collections_but_not_lookups(
    start_fleet: StartFleet,
) -> None:
    fleet = await start_fleet()
    fleet.platform.set_fault(Fault.SLOW, delay_ms=800)
    started_s = asyncio.get_running_loop().time()
    assert (await fleet.caller().post("lookup", b"x")).status == 200
    assert asyncio.get_running_loop().time() - started_s < 0.7
    assert (await fleet.caller().post("collection", b"x")).status == 200


async def test_claim_whose_answer_is_lost_runs_once(start_fleet: StartFleet) -> None:
    fleet = await start_fleet()
    fleet.platform.set_fault(Fault.LOSE_ANSWERS, count=3)
    answer = await fleet.caller().post("collection", b"nurse")
    assert (answer.status, answer.body) == (200, b"collection:nurse")
    assert list(fleet.starts().values()) == [1]


async def test_refused_collection_never_starts(start_fleet: StartFleet) -> None:
    fleet = await start_fleet()
    fleet.platform.set_fault(Fault.LOSE_ANSWERS, count=1, then=Fault.DOWN)
    refused = await fleet.caller().post(
        "collection", b"nurse", Request_Timeout_Ms="800"
    )
    assert outcome(refused) == "not_run"
    fleet.platform.set_fault(Fault.NONE)
    await fleet.entries[0].parts.request_service.claims.wait_settled()
    assert fleet.starts() == {}


async def test_repeated_collection_with_a_key_runs_once(
    start_fleet: StartFleet,
) -> None:
    fleet = await start_fleet()
    fleet.platform.set_fault(Fault.LOSE_ANSWERS, count=1, then=Fault.DOWN)
    refused = await fleet.caller().post(
        "collection", b"nurse", Idempotency_Key="k", Request_Timeout_Ms="800"
    )
    assert outcome(refused) == "unknown"
    assert fleet.starts() == {}
    fleet.platform.set_fault(Fault.NONE)
    again = refused
    async with asyncio.timeout(20):
        while again.status in (409, 503, 504):
            again = await fleet.caller().post(
                "collection", b"nurse", Idempotency_Key="k"
            )
    assert again.status == 200
    assert list(fleet.starts().values()) == [1]


async def test_refused_key_is_not_started_by_an_earlier_submission(
    start_fleet: StartFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    fleet = await start_fleet(entries=2)
    delayed, refusing = (entry.parts for entry in fleet.entries)
    is_refused, original_claim_start, has_arrived = (
        asyncio.Event(),
        Claims.claim_start,
        asyncio.Event(),
    )

    async def start_when_refused(self: Claims, *arguments: object) -> object:
        has_arrived.set()
        await is_refused.wait()
        return await original_claim_start(self, *arguments)

    monkeypatch.setattr(Claims, "claim_start", start_when_refused)
    first = asyncio.create_task(
        fleet.caller(0).post("collection", b"nurse", Idempotency_Key="k")
    )
    await has_arrived.wait()
    now_ms = refusing.clock.now_ms()
    refusing.front.hold_offs.start(HoldOffKey("collection", "mill"), 60_000, now_ms)
    second = await fleet.caller(1).post("collection", b"nurse", Idempotency_Key="k")
    is_refused.set()
    assert (outcome(second), reason(second)) == ("not_run", "queue_full")
    assert outcome(await first) == "not_run"
    assert delayed.front.running == {}
    assert fleet.starts() == {}


async def test_same_key_sent_to_two_entries_at_once_runs_once(
    start_fleet: StartFleet,
) -> None:
    fleet = await start_fleet(entries=2)
    answers = await asyncio.gather(
        *(
            fleet.caller(number % 2).post("collection", b"nurse", Idempotency_Key="k")
            for number in range(8)
        )
    )
    assert {(answer.status, answer.body) for answer in answers} == {
        (200, b"collection:nurse")
    }
    assert list(fleet.starts().values()) == [1]


async def test_lookup_on_a_silent_target_is_hedged_on_another(
    start_fleet: StartFleet,
) -> None:
    fleet = await start_fleet()
    fleet.targets[0].fault = TargetFault.SILENT
    answers = await asyncio.gather(
        *(fleet.caller().post("lookup", b"%d" % number) for number in range(4))
    )
    assert [answer.body for answer in answers] == [b"lookup:%d" % n for n in range(4)]


async def test_answer_of_another_attempt_never_reaches_the_caller(
    start_fleet: StartFleet,
) -> None:
    fleet = await start_fleet()
    for number in range(20):
        await fleet.caller().post("lookup", b"before %d" % number)
    fleet.targets[0].fault = TargetFault.STALE
    answers = [await fleet.caller().post("lookup", b"%d" % n) for n in range(6)]
    assert [answer.body for answer in answers] == [b"lookup:%d" % n for n in range(6)]


async def test_collection_on_a_silent_connection_is_probed(
    start_fleet: StartFleet,
) -> None:
    fleet = await start_fleet()
    for target in fleet.targets:
        target.fault = TargetFault.CRASH_ANSWER
    answer = await fleet.caller().post("collection", b"nurse")
    assert (answer.status, answer.body) == (200, b"collection:nurse")
    assert list(fleet.starts().values()) == [1]


async def test_collection_that_failed_is_not_started_again(
    start_fleet: StartFleet,
) -> None:
    fleet = await start_fleet()
    for target in fleet.targets:
        target.fault = TargetFault.FAIL
    answer = await fleet.caller().post("collection", b"nurse", Idempotency_Key="k")
    again = await fleet.caller().post("collection", b"nurse", Idempotency_Key="k")
    assert (answer.status, outcome(answer)) == (502, "failed")
    assert outcome(again) == "failed"
    assert list(fleet.starts().values()) == [1]


async def test_unknown_outcome_reaches_the_caller_and_the_operators(
    start_fleet: StartFleet,
) -> None:
    fleet = await start_fleet()
    for target in fleet.targets:
        target.fault = TargetFault.SILENT
    sent = asyncio.create_task(fleet.caller().post("collection", b"nurse"))
    await fleet.wait_for(lambda: bool(fleet.starts()))
    for target in fleet.targets:
        target.tasks.clear()
    answer = await sent
    assert (answer.status, outcome(answer)) == (504, "unknown")
    operator = Caller(fleet.addresses[0].operators, OPERATOR_TOKEN)
    listed = msgspec.json.decode(
        (await operator.call("GET", "/requests?state=unknown")).body
    )
    assert [line["request"] for line in listed] == [
        msgspec.json.decode(answer.body)["request"]
    ]


async def test_leaving_target_gets_no_work_from_any_entry(
    start_fleet: StartFleet,
) -> None:
    fleet = await start_fleet(entries=2)
    leaving = fleet.targets[0]
    leaving.fault = TargetFault.LEAVING
    answers = [await fleet.caller(n % 2).post("lookup", b"x") for n in range(6)]
    assert [answer.status for answer in answers] == [200] * 6
    await fleet.wait_for(
        lambda: all(
            leaving.name in entry.parts.registry.leaving_marks.marked_instances()
            for entry in fleet.entries
        )
    )
    leaving.fault = TargetFault.NONE
    for number in range(6):
        await fleet.caller(number % 2).post("lookup", b"y")
    assert leaving.starts() == {}


def count_logged_repeats(events: pytest.LogCaptureFixture, request: str) -> int:
    """Return how many hedges and retries of a request the entries have logged."""
    starts = (f"event=hedge request={request}", f"event=retry request={request}")
    return sum(record.getMessage().startswith(starts) for record in events.records)


async def test_loss_of_a_rack_loses_no_request(
    start_fleet: StartFleet, events: pytest.LogCaptureFixture
) -> None:
    fleet = await start_fleet(entries=2, targets=4)
    for number in range(8):
        await fleet.caller(number % 2).post("lookup", b"before")
    before = fleet.starts()
    await asyncio.gather(*(target.stop() for target in fleet.targets[:2]))
    queues = ["lookup", "collection"] * 10
    answers = await asyncio.gather(
        *(
            fleet.caller(number % 2).post(queue, b"%d" % number)
            for number, queue in enumerate(queues)
        )
    )
    assert [answer.status for answer in answers] == [200] * len(queues)
    expected = [b"%s:%d" % (queue.encode(), n) for n, queue in enumerate(queues)]
    assert [answer.body for answer in answers] == expected
    after = {name: runs for name, runs in fleet.starts().items() if name not in before}
    assert len(after) == len(queues)
    tasks = [pair for target in fleet.targets for pair in target.tasks.items()]
    collections = {request for request, task in tasks if task.queue == "collection"}
    assert [after[request] for request in collections] == [1] * (len(queues) // 2)
    for request in after.keys() - collections:
        assert after[request] <= 1 + count_logged_repeats(events, request)


async def test_request_that_ended_after_listing_is_not_adopted(
    start_fleet: StartFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    fleet = await start_fleet(entries=2)
    driver, adopter = (entry.parts for entry in fleet.entries)
    original_read = Claims.read_record

    async def read_when_ended(self: Claims, member: str, request: str) -> object:
        if self is adopter.recovery.claims:
            await fleet.wait_for(lambda: not driver.request_driver.tasks)
            await driver.recovery.claims.wait_settled()
        return await original_read(self, member, request)

    monkeypatch.setattr(Claims, "read_record", read_when_ended)
    await fleet.caller().post(
        "collection", b"nurse", Prefer="respond-async", Run_Ms="300"
    )
    await fleet.wait_for(lambda: bool(fleet.starts()))
    lease = ObservedLease(Row(lease_key(driver.own), 1, "", ""), driver.own, 0)
    await adopter.recovery._take_over(lease)
    await adopter.request_service.wait_until_idle(5_000)
    assert list(fleet.starts().values()) == [1]


async def test_large_payload_of_a_durable_request_is_kept_in_the_object_store(
    start_fleet: StartFleet,
) -> None:
    fleet = await start_fleet()
    body = b"r" * 100_000
    accepted = await fleet.caller().post("collection", body, Prefer="respond-async")
    answer = await durable_answer(fleet, accepted)
    assert answer.body == b"collection:" + body
    assert len(fleet.platform.objects) == 2


async def test_cancelled_durable_request_never_starts(start_fleet: StartFleet) -> None:
    fleet = await start_fleet()
    for target in fleet.targets:
        for entry in fleet.entries:
            for dispatcher in entry.parts.dispatch_task.dispatchers.values():
                dispatcher.health_monitor.mark_leaving(target.name)
    accepted = await fleet.caller().post("collection", b"x", Prefer="respond-async")
    request = msgspec.json.decode(accepted.body)["request"]
    cancelled = await fleet.caller().call("DELETE", f"/requests/{request}")
    view = msgspec.json.decode(cancelled.body)
    assert (view["state"], view["reason"]) == ("not_run", "cancelled")
    assert fleet.starts() == {}


async def test_waiting_lookups_survive_the_loss_of_their_dispatcher(
    start_fleet: StartFleet,
) -> None:
    fleet = await start_fleet(entries=3, targets=2)
    owner = next(
        entry for entry in fleet.entries if entry.parts.dispatch_task.dispatchers
    )
    other_indexes = [
        index for index, entry in enumerate(fleet.entries) if entry is not owner
    ]
    sent = [
        asyncio.create_task(
            fleet.caller(other_indexes[number % 2]).post(
                "lookup", b"%d" % number, Run_Ms="400"
            )
        )
        for number in range(40)
    ]
    await fleet.wait_for(lambda: len(fleet.starts()) >= 8)
    await owner.abort()
    answers = await asyncio.gather(*sent)
    assert [answer.body for answer in answers] == [b"lookup:%d" % n for n in range(40)]
    assert max(target.peak_running for target in fleet.targets) <= 8
    fleet.entries.remove(owner)
