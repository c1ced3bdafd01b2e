"""Fuzz tests: bad frames, settings and requests get an error and have no effect."""

from __future__ import annotations

import asyncio
from pathlib import Path

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from cornelturn.model.ticket import AttemptId, Ticket
from cornelturn.peering.codec import MAX_FRAME_BYTES, Batch, Codec
from cornelturn.peering.dispatch_messages import Cancel, Offer
from cornelturn.settings.documents import ConfigurationDocument
from cornelturn.settings.loader import load_text
from cornelturn.settings.models import EntrySettings
from cornelturn.tests.conftest import Fleet

KEY = bytes(range(16))
FUZZ_SETTINGS = settings(
    max_examples=150, deadline=None, derandomize=True, database=None
)
HEADERS = ("Idempotency_Key", "Request_Timeout_Ms", "Work_Cores", "Work_Memory_Mb")
PRINTABLE = st.characters(min_codepoint=32, max_codepoint=126)
VALUES = st.text(PRINTABLE, min_size=1, max_size=40).filter(lambda x: x == x.strip())


def offer() -> Offer:
    attempt = AttemptId("entry-1", 1, 1)
    return Offer("phone", Ticket(attempt, "r", "lookup", "mill", 1_000))


@FUZZ_SETTINGS
@given(st.binary(max_size=400))
def test_random_frames_are_dropped(data: bytes) -> None:
    assert isinstance(Codec("entry-1", 1, KEY).decode(data), Err)


@FUZZ_SETTINGS
@given(st.binary(max_size=400))
def test_random_bodies_with_a_valid_tag_are_dropped(body: bytes) -> None:
    codec = Codec("entry-1", 1, KEY)
    assert isinstance(codec.decode(codec._tag(body) + body), Err)


@FUZZ_SETTINGS
@given(st.integers(0, 10_000), st.integers(1, 255))
def test_changed_frames_are_dropped(position: int, change: int) -> None:
    data = bytearray(Codec("entry-2", 1, KEY).encode("entry-1", [offer()]))
    data[position % len(data)] ^= change
    assert isinstance(Codec("entry-1", 1, KEY).decode(bytes(data)), Err)


def test_frames_of_another_key_or_for_another_entry_are_dropped() -> None:
    receiver = Codec("entry-1", 1, KEY)
    valid = Codec("entry-2", 1, KEY).encode("entry-1", [offer()])
    assert receiver.decode(valid) == Ok(Batch("entry-2", 1, (offer(),)))
    wrong_key = Codec("entry-2", 1, bytes(16)).encode("entry-1", [offer()])
    assert receiver.decode(wrong_key).err_value.reason == "authentication"
    wrong_receiver = Codec("entry-2", 1, KEY).encode("entry-3", [offer()])
    assert receiver.decode(wrong_receiver).err_value.reason == "receiver"
    huge = bytes(MAX_FRAME_BYTES + 1)
    assert receiver.decode(huge).err_value.reason == "length"
    wrong_type = Codec("entry-2", 1, KEY).encode("entry-1", [Cancel("phone", "x")])
    assert receiver.decode(wrong_type).err_value.reason == "encoding"


@FUZZ_SETTINGS
@given(st.text(max_size=200))
def test_random_settings_are_rejected_with_problems(text: str) -> None:
    for model in (EntrySettings, ConfigurationDocument):
        match load_text(text, model):
            case Err(problems):
                assert all(str(problem) for problem in problems)
            case Ok(_):
                pytest.fail("random text must not be a whole document")


@pytest.fixture(scope="module")
def loop():
    """Return the event loop that the requests of this module share."""
    with asyncio.Runner() as runner:
        yield runner


@pytest.fixture(scope="module")
def small_fleet(loop: asyncio.Runner, tmp_path_factory):
    """Return the fleet that the requests of this module share."""
    fleet = Fleet(Path(tmp_path_factory.mktemp("fleet")))
    loop.run(fleet.start(1, 2))
    yield fleet
    loop.run(fleet.stop())


@settings(FUZZ_SETTINGS, max_examples=40)
@given(
    queue=st.sampled_from(["lookup", "collection", "nowhere"]),
    headers=st.dictionaries(st.sampled_from(HEADERS), VALUES, max_size=3),
    body=st.binary(max_size=200),
)
def test_fuzzed_requests_get_a_clear_answer(
    loop: asyncio.Runner,
    small_fleet: Fleet,
    queue: str,
    headers: dict[str, str],
    body: bytes,
) -> None:
    starts_before = len(small_fleet.starts())
    answer = loop.run(small_fleet.caller().post(queue, body, **headers))
    assert answer.status in (200, 400, 404, 422, 503, 504)
    if answer.status in (400, 404):
        problem = msgspec.json.decode(answer.body)
        assert problem["title"]
        assert len(small_fleet.starts()) == starts_before
