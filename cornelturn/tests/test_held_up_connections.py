"""Connection attempts that time out because the process itself was held up.

Guards against targets that are ejected for the delays of the entry that calls them.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import pytest
from result import Err

from cornelturn.clock import ManualTime
from cornelturn.model.ticket import AttemptId
from cornelturn.requests.target_client import (
    CONNECT_TIMEOUT_MS,
    Exchange,
    TargetClient,
    TargetNotReached,
)
from cornelturn.store.http_connection import CallError

EXCHANGE = Exchange(
    "http://target", "lookup", "r-1", AttemptId("entry", 1, 1), b"", "text/plain", 5_000
)


@dataclass
class UnconnectedChannel:
    """Channel whose attempts to connect time out, each after a given time."""

    time: ManualTime
    durations_ms: list[int]
    calls: int = 0

    async def call(self, *arguments, **options):
        self.time.advance_ms(self.durations_ms[self.calls])
        self.calls += 1
        return Err(CallError("connection timed out", was_sent=False))


@dataclass
class ChannelClient(TargetClient):
    """Client with one channel for all targets."""

    channel: UnconnectedChannel = field(kw_only=True)

    def _channel(self, exchange: Exchange):
        return self.channel


@pytest.mark.parametrize(
    ("durations_ms", "calls"),
    [
        ([CONNECT_TIMEOUT_MS], 1),
        ([CONNECT_TIMEOUT_MS + 1_200, CONNECT_TIMEOUT_MS], 2),
        ([CONNECT_TIMEOUT_MS + 1_200, CONNECT_TIMEOUT_MS + 1_200], 2),
    ],
)
async def test_attempt_to_connect_is_repeated_once_after_a_delay_of_the_process(
    manual_time, durations_ms, calls
):
    channel = UnconnectedChannel(manual_time, durations_ms)
    client = ChannelClient(manual_time.clock(), channel=channel)
    assert isinstance(await client.send(EXCHANGE), TargetNotReached)
    assert channel.calls == calls
