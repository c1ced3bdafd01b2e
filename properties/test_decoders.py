"""Decoders of external bytes return a result for any input, with encodable numbers."""

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
from cornelturn.model.decoding import try_decode
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

DETERMINISTIC = settings(
    max_examples=200, deadline=None, derandomize=True, database=None
)
DEPTHS = (5_000, 100_000)
KEY = b"k" * 32

LEASE = LeaseRow(PeerAddress("entry-0", 1, "tcp://10.1.0.1:7000"), 1)
JOB = JobRow(
    JobSpec("1" * 16, "q", "p", "text", (Step(1, Resources(1, 1)),)), Progress()
)

Decode = Callable[[bytes], Result[Any, Any]]


@dataclass(frozen=True)
class DecoderCase:
    """A decoder of external bytes, and a valid document for it."""

    name: str
    decode: Decode
    document: Any


def text_or_empty(data: bytes) -> str:
    """Return bytes as the text of a row, empty if they are not valid UTF-8."""
    try:
        return data.decode()
    except UnicodeDecodeError:
        return ""


def guarded(decoder: msgspec.json.Decoder) -> Decode:
    """Return a decoder that returns errors instead of raising them."""
    return lambda data: try_decode(decoder.decode, data)


def decode_machines(data: bytes) -> Result[Any, Any]:
    page = try_decode(MACHINES_DECODER.decode, data)
    return page.map(
        lambda listing: [machine_from_wire(wire) for wire in listing.machines]
    )


def decode_rows(data: bytes) -> Result[Any, Any]:
    return try_decode(ROWS_DECODER.decode, data).map(
        lambda page: [row_from_wire(wire) for wire in page.rows]
    )


LIFE = TargetLife("i-1", 17)

DECODER_CASES = (
    DecoderCase(
        "target",
        lambda data: decode_target(Row("servers//i-1", 1, "", text_or_empty(data))),
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
    DecoderCase(
        "configuration",
        lambda data: decode_configuration(text_or_empty(data)),
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
    DecoderCase(
        "wave",
        lambda data: decode_wave(text_or_empty(data)),
        {"rollout_batch": 1, "machines": ["m"], "duration_s": 9.5, "cap": 1},
    ),
    DecoderCase(
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
    DecoderCase(
        "report",
        lambda data: try_decode(lambda report: decode_report(report, LIFE), data),
        {
            "clock_ms": 5,
            "born": 17,
            "active": [["1111111111111111.0.0.1", 1, "", 40, 2]],
            "finished": [[1, "1111111111111111.0.0.0", 1, "done", ""]],
        },
    ),
    DecoderCase("refusal", guarded(REFUSAL_DECODER), {"reason": "room", "clock_ms": 5}),
    DecoderCase(
        "machines",
        decode_machines,
        {"machines": [{"host_id": "m", "pool": "p", "state": "up"}], "next_token": 1},
    ),
    DecoderCase(
        "rows",
        decode_rows,
        {
            "rows": [
                {"table_name": "t", "part": "", "key": "k", "value": "YQ=="}
                | {"row_version": 4}
            ],
            "has_more": False,
            "row_version": 5,
        },
    ),
    DecoderCase("parts", guarded(PARTS_DECODER), {"parts": ["a"], "has_more": True}),
    DecoderCase(
        "job row",
        lambda data: decode_job("jobs/q.0/1", text_or_empty(data)),
        json.loads(encode_job(JOB)),
    ),
    DecoderCase(
        "lease",
        lambda data: decode_lease(text_or_empty(data)),
        json.loads(encode_lease(LEASE)),
    ),
    DecoderCase(
        "duty",
        lambda data: decode_duty(text_or_empty(data)),
        json.loads(encode_duty(DutyRow("entry-0", 1, 1))),
    ),
    DecoderCase(
        "rollout", guarded(ROLLOUT_DECODER), {"begun": ["m"], "is_completed": False}
    ),
    DecoderCase("sizes", guarded(BASE_DECODER), {"machines": {"p": 3}}),
    DecoderCase("task", guarded(TASK_DECODER), {"state": "running", "runs": 1}),
    DecoderCase("count of tasks", guarded(TASK_COUNT_DECODER), {"running": 1}),
    DecoderCase("instances", guarded(INSTANCES_DECODER), []),
    DecoderCase("commit", guarded(COMMITTED_DECODER), {"revision": 1}),
    DecoderCase("conflict", guarded(CONFLICT_DECODER), {"failed": ["k"]}),
    DecoderCase(
        "row",
        guarded(ROW_DECODER),
        {"key": "k", "version": 1, "token": "", "value": "v"},
    ),
    DecoderCase("page", guarded(PAGE_DECODER), {"revision": 1, "rows": []}),
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

each_decoder = pytest.mark.parametrize(
    "decoder_case", DECODER_CASES, ids=lambda decoder_case: decoder_case.name
)


def value_paths(document: Any, path: tuple = ()) -> list[tuple]:
    """Return the paths of all values in a document."""
    paths = [path]
    if isinstance(document, dict):
        items = list(document.items())
    elif isinstance(document, list):
        items = list(enumerate(document))
    else:
        items = []
    for key, value in items:
        paths += value_paths(value, (*path, key))
    return paths


def with_value(document: Any, path: tuple, value: Any) -> Any:
    """Return a copy of a document with another value at a path."""
    if not path:
        return value
    changed = copy.deepcopy(document)
    inner = changed
    for key in path[:-1]:
        inner = inner[key]
    inner[path[-1]] = value
    return changed


def check_result(decoder_case: DecoderCase, data: bytes) -> None:
    """Decode data; a value must be encodable in a message, an error has a text."""
    match decoder_case.decode(data):
        case Ok(value):
            msgspec.msgpack.encode(value)
        case Err(error):
            assert str(error)


@each_decoder
def test_valid_document_is_decoded(decoder_case: DecoderCase) -> None:
    assert decoder_case.decode(json.dumps(decoder_case.document).encode()).is_ok()


@each_decoder
@given(data=st.data())
@DETERMINISTIC
def test_odd_value_anywhere_gives_a_result(decoder_case: DecoderCase, data) -> None:
    document = decoder_case.document
    for _ in range(data.draw(st.integers(1, 2))):
        path = data.draw(st.sampled_from(value_paths(document)))
        document = with_value(document, path, data.draw(ODD_VALUES))
    check_result(decoder_case, json.dumps(document).encode())


@each_decoder
@given(data=st.data())
@DETERMINISTIC
def test_truncated_or_changed_bytes_give_a_result(
    decoder_case: DecoderCase, data
) -> None:
    whole = json.dumps(decoder_case.document).encode()
    cut = whole[: data.draw(st.integers(0, len(whole)))]
    check_result(decoder_case, cut + data.draw(st.binary(max_size=20)))


@each_decoder
@pytest.mark.parametrize("depth", DEPTHS)
def test_deeply_nested_unknown_field_gives_a_result(
    decoder_case: DecoderCase, depth: int
):
    nested = b"[" * depth + b"]" * depth
    whole = json.dumps(decoder_case.document).encode()
    check_result(decoder_case, nested)
    if isinstance(decoder_case.document, dict):
        check_result(decoder_case, whole[:-1] + b',"unknown":' + nested + b"}")


@pytest.mark.parametrize("depth", DEPTHS)
def test_deeply_nested_inner_message_gives_a_result(depth: int) -> None:
    codec = Codec("entry-0", 1, KEY)
    nested = b"\x91" * depth + b"\x90"
    known = codec.encode("entry-0", [RoutingWanted(1)])
    assert codec.decode(known).is_ok()
    part = Part("RoutingWanted", msgspec.Raw(nested))
    body = msgspec.msgpack.encode(Frame("entry-1", 1, "entry-0", (part,)))
    assert codec.decode(codec._tag(body) + body).is_err()
