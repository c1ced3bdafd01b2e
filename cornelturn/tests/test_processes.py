"""Tests of entries that run as separate processes and are killed or stopped.

Guards against lookups that are lost, collections that run twice, durable requests that
end with the entry that accepted them, and requests that are cut by SIGTERM.
"""

from __future__ import annotations

import asyncio
import re
import signal

import msgspec
import pytest
from result import UnwrapError
from syrupy.assertion import SnapshotAssertion

from cornelturn.store.http_client import HttpResponse
from cornelturn.tests.conftest import OPERATOR_TOKEN, Caller, StartFleet
from cornelturn.tests.processes import Processes

LOOKUPS = 120
COLLECTIONS = 60
KILL_AFTER_S = 0.4


async def send_until_answered(
    fleet: Processes, queue: str, number: int, key: str
) -> HttpResponse:
    """Send a request like a caller behind a load balancer: retry at another entry."""
    names = list(fleet.entries)
    for attempt in range(12):
        entry = names[(number + attempt) % len(names)]
        headers = {"Idempotency_Key": key} if key else {}
        try:
            answer = await fleet.caller(entry).post(
                queue, b"reference %d" % number, **headers
            )
        except UnwrapError:
            await asyncio.sleep(0.1)
            continue
        if answer.status in (200, 502, 504):
            return answer
        await asyncio.sleep(0.2)
    raise AssertionError(f"no answer to {queue} {number}")


async def test_killed_entry_loses_no_lookup_and_repeats_no_collection(
    start_processes: StartFleet,
) -> None:
    fleet = await start_processes(entries=3, targets=2)

    async def send(number: int, queue: str) -> HttpResponse:
        await asyncio.sleep(number * 0.01)
        key = f"collection-{number}" if queue == "collection" else ""
        return await send_until_answered(fleet, queue, number, key)

    lookups = [asyncio.create_task(send(number, "lookup")) for number in range(LOOKUPS)]
    collections = [
        asyncio.create_task(send(number, "collection")) for number in range(COLLECTIONS)
    ]
    await asyncio.sleep(KILL_AFTER_S)
    fleet.entries["entry-1"].send(signal.SIGKILL)
    answers = await asyncio.gather(*lookups)
    assert [answer.status for answer in answers] == [200] * LOOKUPS
    expected = [b"lookup:reference %d" % number for number in range(LOOKUPS)]
    assert [answer.body for answer in answers] == expected
    for number, answer in enumerate(await asyncio.gather(*collections)):
        if answer.status == 200:
            assert answer.body == b"collection:reference %d" % number
        else:
            assert b'"outcome":"unknown"' in answer.body
    starts = await fleet.starts()
    repeated = [runs for request, runs in starts.items() if runs > 1]
    assert len(starts) >= LOOKUPS
    assert repeated == [] or await is_every_repeat_a_lookup(fleet, starts)


async def is_every_repeat_a_lookup(fleet: Processes, starts: dict[str, int]) -> bool:
    """Return whether all requests that started more than once are lookups."""
    entry = next(
        program for name, program in fleet.entries.items() if name != "entry-1"
    )
    operator = Caller(entry.started["operators"], OPERATOR_TOKEN)
    rows = msgspec.json.decode((await operator.call("GET", "/requests")).body)
    recorded = {row["request"] for row in rows}
    return all(runs == 1 for request, runs in starts.items() if request in recorded)


async def test_durable_request_survives_the_entry_that_accepted_it(
    start_processes: StartFleet,
) -> None:
    fleet = await start_processes(entries=3, targets=2, run_ms=1_500)
    accepted = await fleet.caller("entry-0").post(
        "collection", b"nurse", Prefer="respond-async"
    )
    assert accepted.status == 202
    async with asyncio.timeout(10):
        while not await fleet.starts():
            await asyncio.sleep(0.05)
    fleet.entries["entry-0"].send(signal.SIGKILL)
    request = msgspec.json.decode(accepted.body)["request"]
    caller = fleet.caller("entry-1")
    path = f"/requests/{request}/answer"
    async with asyncio.timeout(30):
        while (answer := await caller.call("GET", path)).status == 409:
            await asyncio.sleep(0.2)
    assert (answer.status, answer.body) == (200, b"collection:nurse")
    assert list((await fleet.starts()).values()) == [1]


async def test_sigterm_cuts_no_request_in_progress(
    start_processes: StartFleet,
) -> None:
    fleet = await start_processes(entries=2, targets=2, run_ms=1_000)
    lookups = [
        asyncio.create_task(fleet.caller("entry-0").post("lookup", b"%d" % number))
        for number in range(4)
    ]
    await asyncio.sleep(0.3)
    fleet.entries["entry-0"].send(signal.SIGTERM)
    answers = await asyncio.gather(*lookups)
    assert [answer.status for answer in answers] == [200] * 4
    async with asyncio.timeout(15):
        assert await fleet.entries["entry-0"].process.wait() == 0


def mask_varying_values(text: str) -> str:
    text = re.sub(r"[0-9a-f]{32}", "<id>", text)
    text = re.sub(r"entry-\d\.\d+\.\d+", "<attempt>", text)
    text = re.sub(r"RUN DATE .*", "RUN DATE <date>", text)
    text = re.sub(r'"run_ms":\d+', '"run_ms":<ms>', text)
    return re.sub(r"target-\d", "target-<n>", text)


@pytest.mark.usefixtures("start_processes")
async def test_whole_session(
    start_processes: StartFleet, snapshot: SnapshotAssertion
) -> None:
    fleet = await start_processes(entries=2, targets=2)
    caller = fleet.caller("entry-0")
    other = fleet.caller("entry-1")
    operators = fleet.entries["entry-1"].started["operators"]
    operator = Caller(operators, OPERATOR_TOKEN)
    unauthorised = Caller(operators, "guess")
    session: list[str] = []

    async def step(
        sender: Caller, method: str, path: str, body=None, **headers
    ) -> HttpResponse:
        answer = await sender.call(method, path, body, **headers)
        text = mask_varying_values(answer.body.decode())
        session.append(f"{method} {mask_varying_values(path)}\n{answer.status}\n{text}")
        return answer

    async def post(sender: Caller, queue: str, body: bytes, **headers) -> HttpResponse:
        return await step(sender, "POST", f"/queues/{queue}/requests", body, **headers)

    await post(caller, "lookup", b"mill 1")
    await post(other, "lookup", b"mill 2")
    await post(caller, "collection", b"nurse", Idempotency_Key="k")
    await post(other, "collection", b"nurse", Idempotency_Key="k")
    await post(other, "collection", b"another", Idempotency_Key="k")
    await post(caller, "no-such-queue", b"x")
    await post(caller, "lookup", b"x", Request_Timeout_Ms="soon")
    await post(caller, "lookup", b"x", Work_Cores="1000")
    await step(caller, "GET", "/readyz")
    await step(operator, "GET", "/pools")
    await step(unauthorised, "GET", "/pools")
    await step(operator, "PUT", "/preset/peak", b"{}", If_Match='"1"')
    await step(operator, "PUT", "/preset/ordinary", b"{}", If_Match='"1"')
    await step(operator, "PUT", "/preset/nonsense", b"{}")
    await step(operator, "GET", "/reports/presets")
    await step(operator, "GET", "/requests?state=completed")
    await step(operator, "GET", "/reports/unknown")
    assert "\n\n".join(session) == snapshot
