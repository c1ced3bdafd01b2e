"""Malformed documents in the store or in a request must not stop an entry.

Other writers share the tables. Values out of range and lists nested so deeply that the
parser fails must be skipped or rejected, and the fleet must go on to complete jobs.
"""

from __future__ import annotations

import asyncio
import json

import msgspec
import pytest

from cornelturn.platform.standin.documents import job_id, phases
from cornelturn.tests.job_fleet import JobFleet, submit_jobs, wait_until_completed

NESTING_DEPTH = 100_000
BODY_NESTING_DEPTH = 5_000
LIST_READ_S = 3.0
"""Long enough for a read of the list of targets, which happens once a second."""


def nested_list(depth: int) -> bytes:
    """Return a deeply nested list."""
    return b"[" * depth + b"]" * depth


def target_row(**fields: object) -> bytes:
    """Return the value of a row of the list of targets, with some fields replaced."""
    entry = {
        "service": "phone",
        "addr": "127.0.0.1:9",
        "state": "ready",
        "capacity": {"cpu": 8_000, "mem_mb": 64_000},
        "labels": ["a", "r1"],
        "born": 17,
    }
    return json.dumps(entry | fields).encode()


MALFORMED_TARGET_ROWS = {
    "i-nested": target_row()[:-1]
    + b', "unknown": '
    + nested_list(NESTING_DEPTH)
    + b"}",
    "i-large": target_row(capacity={"cpu": 10**41, "mem_mb": 1}),
    "i-exact": target_row(capacity={"cpu": 2**53, "mem_mb": 2**53}),
    "i-born": target_row(born=10**41),
    "i-unborn": target_row(born=-(10**41)),
    "i-port": target_row(addr="127.0.0.1:99999"),
    "i-text": target_row(addr="nonsense"),
    "i-bracket": target_row(addr="[::1:80"),
    "i-bytes": b"\xff\xfe",
}

MALFORMED_ROWS = {
    "wave": [
        (
            "op",
            "wave/9",
            b'{"rollout_batch":9,"machines":[],"duration_s":1e308,"cap":1}',
        ),
        ("op", "wave/10", nested_list(NESTING_DEPTH)),
    ],
    "configuration": [
        ("op", "config", b'{"version":9,"unknown":' + nested_list(NESTING_DEPTH) + b"}")
    ],
    "member": [
        ("members", "entry", nested_list(NESTING_DEPTH), "entry.odd"),
        ("members", "duty", nested_list(NESTING_DEPTH), "duty.odd"),
    ],
}


def failed_entries(fleet: JobFleet) -> list[str]:
    """Return the names of the entries of which a task has ended with an error."""
    return [name for name, entry in fleet.entries.items() if entry.failed.is_set()]


@pytest.mark.parametrize("name", MALFORMED_TARGET_ROWS)
def test_malformed_target_row_stops_no_entry(play, name):
    async def scenario(fleet: JobFleet) -> None:
        fleet.store.put("servers", name, MALFORMED_TARGET_ROWS[name])
        await asyncio.sleep(LIST_READ_S)
        for worker in list(fleet.workers):
            fleet.remove_worker(worker)
        await fleet.add_worker("phone-new", "phone")
        await asyncio.sleep(LIST_READ_S)
        assert failed_entries(fleet) == []
        await wait_until_completed(fleet, await submit_jobs(fleet, 3))

    play(scenario)


@pytest.mark.parametrize("name", MALFORMED_ROWS)
def test_malformed_row_stops_no_entry(play, name):
    async def scenario(fleet: JobFleet) -> None:
        for row in MALFORMED_ROWS[name]:
            fleet.store.put(*row)
        await asyncio.sleep(LIST_READ_S)
        assert failed_entries(fleet) == []
        await wait_until_completed(fleet, await submit_jobs(fleet, 3))

    play(scenario)


def test_malformed_job_body_is_rejected(play):
    async def scenario(fleet: JobFleet) -> None:
        body = msgspec.json.encode({"spec": "text", "phases": phases(1)})
        malformed = body[:-1] + b',"unknown":' + nested_list(BODY_NESTING_DEPTH) + b"}"
        path = f"/phone/{job_id(1)}"
        assert (await fleet.call("entry-0", "POST", path, malformed))[0] == 400
        assert failed_entries(fleet) == []

    play(scenario)
