"""Counts of completed requests, as stored by the entries and shown in reports."""

from __future__ import annotations

from cornelturn.requests.usage import UsageCount, read_usage
from cornelturn.tests.conftest import (
    OPERATOR_TOKEN,
    OTHER_MEMBER_TOKEN,
    Caller,
    StartFleet,
)


async def test_repeated_writes_count_completions_once(
    start_fleet: StartFleet,
) -> None:
    fleet = await start_fleet(entries=2)
    for number in range(6):
        await fleet.caller(number % 2).post("lookup", b"%d" % number)
    await fleet.caller(0, OTHER_MEMBER_TOKEN).post("lookup", b"other")
    first = await fleet.caller(0).post("collection", b"x", Idempotency_Key="k")
    again = await fleet.caller(1).post("collection", b"x", Idempotency_Key="k")
    assert first.status == again.status == 200
    counters = [entry.parts.usage for entry in fleet.entries]
    await fleet.wait_for(
        lambda: (
            sum(
                count.on_time
                for counter in counters
                for count in counter.counts.values()
            )
            == 8
        )
    )
    for counter in counters * 2:
        counter.is_changed = True
        await counter.write()
    assert await read_usage(fleet.entries[0].parts.table) == [
        UsageCount("mill", "collection", 1, 0),
        UsageCount("mill", "lookup", 6, 0),
        UsageCount("port", "lookup", 1, 0),
    ]


async def test_report_of_a_member_shows_only_that_member(
    start_fleet: StartFleet,
) -> None:
    fleet = await start_fleet()
    await fleet.caller(0).post("lookup", b"1")
    await fleet.caller(0, OTHER_MEMBER_TOKEN).post("lookup", b"2")
    counter = fleet.entries[0].parts.usage
    await fleet.wait_for(lambda: len(counter.counts) == 2)
    await counter.write()
    operator = Caller(fleet.addresses[0].operators, OPERATOR_TOKEN)
    answer = await operator.call("GET", "/reports/queues?member=mill")
    assert b"mill" in answer.body
    assert b"port" not in answer.body
