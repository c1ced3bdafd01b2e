"""Tests of requests from a caller through entries to targets and back.

Also guards against an entry that cannot be stopped after one of its tasks has failed.
"""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from cornelturn.cli.run import stop_or_abort
from cornelturn.fleet.lease import LeaseReleased
from cornelturn.tests.conftest import OTHER_MEMBER_TOKEN, StartFleet


async def test_lookup_gets_the_complete_answer_through_any_entry(
    start_fleet: StartFleet,
) -> None:
    fleet = await start_fleet(entries=3, targets=2)
    for entry in range(3):
        body = b"reference %d" % entry
        answer = await fleet.caller(entry).post("lookup", body)
        assert (answer.status, answer.body) == (200, b"lookup:" + body)


async def test_collection_runs_once_for_a_repeated_key(
    start_fleet: StartFleet,
) -> None:
    fleet = await start_fleet(entries=2, targets=2)
    first = await fleet.caller(0).post("collection", b"nurse", Idempotency_Key="k1")
    repeated = await fleet.caller(1).post("collection", b"nurse", Idempotency_Key="k1")
    assert (first.status, first.body) == (200, b"collection:nurse")
    assert repeated.body == first.body
    assert list(fleet.starts().values()) == [1]


async def test_durable_request_is_answered_by_another_entry(
    start_fleet: StartFleet,
) -> None:
    fleet = await start_fleet(entries=2, targets=2)
    accepted = await fleet.caller(0).post(
        "collection", b"board", Prefer="respond-async"
    )
    assert accepted.status == 202
    request = msgspec.json.decode(accepted.body)["request"]
    path = f"/requests/{request}/answer"
    answer = await fleet.caller(1).call("GET", path)
    while answer.status == 409:
        answer = await fleet.caller(1).call("GET", path)
    assert (answer.status, answer.body) == (200, b"collection:board")


async def test_member_reads_only_own_requests(start_fleet: StartFleet) -> None:
    fleet = await start_fleet()
    accepted = await fleet.caller().post("collection", b"x", Prefer="respond-async")
    request = msgspec.json.decode(accepted.body)["request"]
    other = await fleet.caller(token=OTHER_MEMBER_TOKEN).call(
        "GET", f"/requests/{request}"
    )
    assert other.status == 404


@pytest.mark.causes_errors
async def test_entry_with_a_failed_task_can_be_stopped(start_fleet: StartFleet) -> None:
    fleet = await start_fleet()
    entry = fleet.entries[0]
    entry.parts.lease.mailbox.post(LeaseReleased(reply=None))
    await asyncio.wait_for(entry.failed.wait(), 10)
    await asyncio.wait_for(stop_or_abort(entry, 500), 10)
    assert not entry.tasks
