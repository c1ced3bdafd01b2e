"""Decoders of bytes from outside: an outcome for any input, and numbers that fit."""

from __future__ import annotations

import copy
import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok, Result

from cornelturn.fleet.lease import LeaseRow, decode_lease, encode_lease
from cornelturn.fleet.resizing import BASE_DECODER
from cornelturn.fleet.upkeep import ROLLOUT_DECODER
from cornelturn.jobs.model import JobSpec, Resources, Step
from cornelturn.jobs.progress import Progress
from cornelturn.jobs.rows import JobRow, decode_job, encode_job
from cornelturn.model.decoding import decoded
from cornelturn.ownership.duties import DutyRow, decode_duty, encode_duty
from cornelturn.peering.codec import Codec, Frame, Part
from cornelturn.peering.messages import PeerAddress, RoutingWanted
from cornelturn.platform.documents import (
    MACHINES_DECODER,
    decode_configuration,
    decode_job_body,
    decode_target,
    decode_wave,
    machine_from_wire,
)
from cornelturn.platform.store import PARTS_DECODER, ROWS_DECODER, row_from_wire
from cornelturn.platform.targets import REFUSAL_DECODER, decode_report
from cornelturn.requests.target_client import TASK_COUNT_DECODER, TASK_DECODER
from cornelturn.store.instances import INSTANCES_DECODER
from cornelturn.store.rows import Row
from cornelturn.store.table import (
    COMMITTED_DECODER,
    CONFLICT_DECODER,
    PAGE_DECODER,
    ROW_DECODER,
)
from cornelturn.targets.model import TargetLife

FIXED = settings(max_examples=200, deadline=None, derandomize=True, database=None)
DEPTHS = (5_000, 100_000)
KEY = b"k" * 32

LEASE = LeaseRow(PeerAddress("entry-0", 1, "tcp://10.1.0.1:7000"), 1)
JOB = JobRow(
    JobSpec("1" * 16, "q", "p", "text", (Step(1, Resources(1, 1)),)), Progress()
)

Decode = Callable[[bytes], Result[Any, Any]]


@dataclass(frozen=True)
class Outside:
    """A decoder of bytes from outside, and a document that it understands."""

    name: str
    decode: Decode
    document: Any


def text_of(data: bytes) -> str:
    """Return what a row of the store holds; bytes that are no text are empty."""
    try:
        return data.decode()
    except UnicodeDecodeError:
        return ""


def by(decoder: msgspec.json.Decoder) -> Decode:
    """Return the guarded form of a decoder."""
    return lambda data: decoded(decoder.decode, data)


def machines(data: bytes) -> Result[Any, Any]:
    page = decoded(MACHINES_DECODER.decode, data)
    return page.map(lambda one: [machine_from_wire(wire) for wire in one.machines])


def rows(data: bytes) -> Result[Any, Any]:
    return decoded(ROWS_DECODER.decode, data).map(
        lambda page: [row_from_wire(one) for one in page.rows]
    )


LIFE = TargetLife("i-1", 17)

OUTSIDE = (
    Outside(
        "target",
        lambda data: decode_target(Row("servers//i-1", 1, "", text_of(data))),
        {
            "service": "p",
            "addr": "10.1.0.1:8000",
            "state": "ready",
            "capacity": {"cpu": 8_000, "mem_mb": 64_000, "gpu": 1},
            "zone": "z",
            "labels": ["a", "r1"],
            "born": 17,
        },
    ),
    Outside(
        "configuration",
        lambda data: decode_configuration(text_of(data)),
        {
            "version": 3,
            "routes": [
                {
                    "name": "q",
                    "host": "h.example",
                    "path_prefix": "/a/",
                    "service": "p",
                    "priority": 1,
                    "max_attempts": 2,
                    "slack_factor": 1.6,
                    "target_latency_ms": 600,
                    "hint": {"decision_ms": 3.0},
                }
            ],
            "services": [{"name": "p", "standby": False}],
            "limits": {"max_body_bytes": 9},
        },
    ),
    Outside(
        "wave",
        lambda data: decode_wave(text_of(data)),
        {"rollout_batch": 1, "machines": ["m"], "duration_s": 9.5, "cap": 1},
    ),
    Outside(
        "job body",
        lambda data: decode_job_body(data, "1" * 16, "q", "p"),
        {
            "spec": "text",
            "phases": [
                {"count": 2, "cpu": 500, "mem_mb": 1},
                {"count": 1, "after": [0]},
            ],
            "repeat_count": 2,
            "start_at_ms": 5,
        },
    ),
    Outside(
        "report",
        lambda data: decoded(lambda found: decode_report(found, LIFE), data),
        {
            "clock_ms": 5,
            "born": 17,
            "active": [["1111111111111111.0.0.1", 1, "", 40, 2]],
            "finished": [[1, "1111111111111111.0.0.0", 1, "done", ""]],
        },
    ),
    Outside("refusal", by(REFUSAL_DECODER), {"reason": "room", "clock_ms": 5}),
    Outside(
        "machines",
        machines,
        {"machines": [{"host_id": "m", "pool": "p", "state": "up"}], "next_token": 1},
    ),
    Outside(
        "rows",
        rows,
        {
            "rows": [
                {"table_name": "t", "part": "", "key": "k", "value": "YQ=="}
                | {"row_version": 4}
            ],
            "has_more": False,
            "row_version": 5,
        },
    ),
    Outside("parts", by(PARTS_DECODER), {"parts": ["a"], "has_more": True}),
    Outside(
        "job row",
        lambda data: decode_job("jobs/q.0/1", text_of(data)),
        json.loads(encode_job(JOB)),
    ),
    Outside(
        "lease",
        lambda data: decode_lease(text_of(data)),
        json.loads(encode_lease(LEASE)),
    ),
    Outside(
        "duty",
        lambda data: decode_duty(text_of(data)),
        json.loads(encode_duty(DutyRow("entry-0", 1, 1))),
    ),
    Outside("rollout", by(ROLLOUT_DECODER), {"begun": ["m"], "is_completed": False}),
    Outside("sizes", by(BASE_DECODER), {"machines": {"p": 3}}),
    Outside("task", by(TASK_DECODER), {"state": "running", "runs": 1}),
    Outside("count of tasks", by(TASK_COUNT_DECODER), {"running": 1}),
    Outside("instances", by(INSTANCES_DECODER), []),
    Outside("commit", by(COMMITTED_DECODER), {"revision": 1}),
    Outside("conflict", by(CONFLICT_DECODER), {"failed": ["k"]}),
    Outside(
        "row", by(ROW_DECODER), {"key": "k", "version": 1, "token": "", "value": "v"}
    ),
    Outside("page", by(PAGE_DECODER), {"revision": 1, "rows": []}),
)

ODD_VALUES = st.sampled_from(
    [
        None,
        True,
        -1,
        0,
        2**53,
        2**53 + 1,
        2**64,
        10**41,
        -(10**41),
        1e308,
        -1e308,
        "",
        "\u00b2",
        "\x00",
        "9" * 5_000,
        "x" * 5_000,
        "1.0.0." + "9" * 5_000,
        "nonsense",
        "10.1.0.1:99999",
        "10.1.0.1:0",
        "[::1:80",
        "10.1.0.1:\u0661",
        [],
        {},
        [[]],
        {"a": {}},
    ]
)

all_outside = pytest.mark.parametrize("outside", OUTSIDE, ids=lambda one: one.name)


def places(document: Any, path: tuple = ()) -> list[tuple]:
    """Return the paths to all values of a document."""
    found = [path]
    if isinstance(document, dict):
        items = list(document.items())
    elif isinstance(document, list):
        items = list(enumerate(document))
    else:
        items = []
    for key, value in items:
        found += places(value, (*path, key))
    return found


def replaced(document: Any, path: tuple, value: Any) -> Any:
    """Return a document with another value in a place."""
    if not path:
        return value
    changed = copy.deepcopy(document)
    inner = changed
    for key in path[:-1]:
        inner = inner[key]
    inner[path[-1]] = value
    return changed


def check(outside: Outside, data: bytes) -> None:
    """Decode data, and pass on what comes of it as messages do."""
    match outside.decode(data):
        case Ok(value):
            msgspec.msgpack.encode(value)
        case Err(error):
            assert str(error)


@all_outside
def test_document_that_a_decoder_understands_is_decoded(outside: Outside) -> None:
    assert outside.decode(json.dumps(outside.document).encode()).is_ok()


@all_outside
@given(data=st.data())
@FIXED
def test_odd_value_in_any_place_is_an_outcome(outside: Outside, data) -> None:
    document = outside.document
    for _ in range(data.draw(st.integers(1, 2))):
        path = data.draw(st.sampled_from(places(document)))
        document = replaced(document, path, data.draw(ODD_VALUES))
    check(outside, json.dumps(document).encode())


@all_outside
@given(data=st.data())
@FIXED
def test_cut_or_changed_bytes_are_an_outcome(outside: Outside, data) -> None:
    whole = json.dumps(outside.document).encode()
    cut = whole[: data.draw(st.integers(0, len(whole)))]
    check(outside, cut + data.draw(st.binary(max_size=20)))


@all_outside
@pytest.mark.parametrize("depth", DEPTHS)
def test_deeply_nested_unknown_field_is_an_outcome(outside: Outside, depth: int):
    nested = b"[" * depth + b"]" * depth
    whole = json.dumps(outside.document).encode()
    check(outside, nested)
    if isinstance(outside.document, dict):
        check(outside, whole[:-1] + b',"unknown":' + nested + b"}")


@pytest.mark.parametrize("depth", DEPTHS)
def test_deeply_nested_inner_message_is_an_outcome(depth: int) -> None:
    codec = Codec("entry-0", 1, KEY)
    nested = b"\x91" * depth + b"\x90"
    known = codec.encode("entry-0", [RoutingWanted(1)])
    assert codec.decode(known).is_ok()
    part = Part("RoutingWanted", msgspec.Raw(nested))
    body = msgspec.msgpack.encode(Frame("entry-1", 1, "entry-0", (part,)))
    assert codec.decode(codec._tag(body) + body).is_err()
