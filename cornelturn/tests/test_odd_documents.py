"""Whole fleets among whose documents are some of another writer."""

from __future__ import annotations

import asyncio
import json

import msgspec
import pytest

from cornelturn.tests.job_fleet import (
    JobFleet,
    all_complete,
    job_id,
    phases,
    submit_some,
)

DEPTH = 100_000
BODY_DEPTH = 5_000
READ_S = 3.0
"""The list of targets is read once a second."""


def nested(depth: int) -> bytes:
    """Return a deeply nested list."""
    return b"[" * depth + b"]" * depth


def listed(**fields: object) -> bytes:
    """Return the entry of a target, some of whose fields are odd."""
    entry = {
        "service": "phone",
        "addr": "127.0.0.1:9",
        "state": "ready",
        "capacity": {"cpu": 8_000, "mem_mb": 64_000},
        "labels": ["a", "r1"],
        "born": 17,
    }
    return json.dumps(entry | fields).encode()


ODD_TARGETS = {
    "i-nested": listed()[:-1] + b', "unknown": ' + nested(DEPTH) + b"}",
    "i-large": listed(capacity={"cpu": 10**41, "mem_mb": 1}),
    "i-exact": listed(capacity={"cpu": 2**53, "mem_mb": 2**53}),
    "i-born": listed(born=10**41),
    "i-unborn": listed(born=-(10**41)),
    "i-port": listed(addr="127.0.0.1:99999"),
    "i-text": listed(addr="nonsense"),
    "i-bracket": listed(addr="[::1:80"),
    "i-bytes": b"\xff\xfe",
}

ODD_ROWS = {
    "wave": [
        (
            "op",
            "wave/9",
            b'{"rollout_batch":9,"machines":[],"duration_s":1e308,"cap":1}',
        ),
        ("op", "wave/10", nested(DEPTH)),
    ],
    "configuration": [
        ("op", "config", b'{"version":9,"unknown":' + nested(DEPTH) + b"}")
    ],
    "member": [
        ("members", "entry", nested(DEPTH), "entry.odd"),
        ("members", "duty", nested(DEPTH), "duty.odd"),
    ],
}


def ended(fleet: JobFleet) -> list[str]:
    """Return the entries of which a task has ended by an error."""
    return [name for name, one in fleet.entries.items() if one.is_superseded.is_set()]


@pytest.mark.parametrize("name", ODD_TARGETS)
def test_odd_entry_in_the_list_of_targets_ends_nothing(play, name):
    async def day(fleet: JobFleet) -> None:
        fleet.store.put("servers", name, ODD_TARGETS[name])
        await asyncio.sleep(READ_S)
        for one in list(fleet.workers):
            fleet.end_worker(one)
        await fleet.add_worker("phone-new", "phone")
        await asyncio.sleep(READ_S)
        assert ended(fleet) == []
        await all_complete(fleet, await submit_some(fleet, 3))

    play(day)


@pytest.mark.parametrize("name", ODD_ROWS)
def test_odd_row_ends_nothing(play, name):
    async def day(fleet: JobFleet) -> None:
        for row in ODD_ROWS[name]:
            fleet.store.put(*row)
        await asyncio.sleep(READ_S)
        assert ended(fleet) == []
        await all_complete(fleet, await submit_some(fleet, 3))

    play(day)


def test_odd_body_of_a_job_is_refused(play):
    async def day(fleet: JobFleet) -> None:
        body = msgspec.json.encode({"spec": "text", "phases": phases(1)})
        odd = body[:-1] + b',"unknown":' + nested(BODY_DEPTH) + b"}"
        path = f"/phone/{job_id(1)}"
        assert (await fleet.call("entry-0", "POST", path, odd))[0] == 400
        assert ended(fleet) == []

    play(day)
