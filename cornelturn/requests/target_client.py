"""Client of the targets: sends requests, and queries tasks and health.

An answer is accepted only if it is complete and belongs to its attempt.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

import msgspec
from result import Err, Ok, Result

from cornelturn.clock import Clock
from cornelturn.model.decoding import Int64, try_decode
from cornelturn.model.ticket import AttemptId
from cornelturn.store.channel import Channel
from cornelturn.store.http_client import (
    CallError,
    HttpResponse,
    call,
    open_session,
    quoted,
)

CONNECT_TIMEOUT_MS = 500

MAX_TIMER_DELAY_MS = 200
"""Delay of a timer above which this process itself was held up."""

TASK_CALL_TIMEOUT_MS = 1_000
MAX_EXCHANGE_MS = 7 * 24 * 3_600_000
ATTEMPT_HEADER = b"Attempt-Id"


@dataclass(frozen=True, slots=True)
class TargetCompleted:
    """The complete answer to this attempt."""

    body: bytes
    content_type: str
    run_ms: int


@dataclass(frozen=True, slots=True)
class TargetNotReached:
    """No connection could be made, so no byte was sent."""

    detail: str


@dataclass(frozen=True, slots=True)
class TargetLeaving:
    """The target is leaving and refused the request before starting it."""


@dataclass(frozen=True, slots=True)
class TargetFailed:
    """The target reported a failure."""

    detail: str
    run_ms: int


@dataclass(frozen=True, slots=True)
class TargetSilent:
    """Bytes were sent, but no complete answer to this attempt came back."""

    detail: str
    run_ms: int


@dataclass(frozen=True, slots=True)
class TargetCheckpointed:
    """The target has checkpointed the task and resumes it after a reboot."""

    run_ms: int


TargetResult = (
    TargetCompleted
    | TargetNotReached
    | TargetLeaving
    | TargetFailed
    | TargetSilent
    | TargetCheckpointed
)


@dataclass(frozen=True, slots=True)
class Exchange:
    """One request to a target.

    Parameters
    ----------
    address : str
        Base URL of the target.
    uses_new_connection : bool
        Whether a new connection is made for it, so that a failure to connect proves
        that nothing ran.
    """

    address: str
    queue: str
    request: str
    attempt: AttemptId
    payload: bytes
    content_type: str
    timeout_ms: int
    headers: tuple[ForwardedHeader, ...] = ()
    uses_new_connection: bool = False


@dataclass(frozen=True, slots=True)
class ForwardedHeader:
    """A header of the caller that is forwarded unchanged to the target."""

    name: bytes
    value: bytes


class TaskAnswer(msgspec.Struct, frozen=True):
    """Answer of a target to a query of a task."""

    state: str
    runs: Int64
    answer: bytes = b""
    content_type: str = ""


class TaskCountAnswer(msgspec.Struct, frozen=True):
    """Answer of a target to a query of its number of running tasks."""

    running: Int64


@dataclass(frozen=True, slots=True)
class TaskNeverSeen:
    """The target has never seen the request."""


@dataclass(frozen=True, slots=True)
class TaskQueryFailed:
    """The target gave no valid answer to the query."""

    detail: str


TaskReply = TaskAnswer | TaskNeverSeen | TaskQueryFailed


TASK_DECODER = msgspec.json.Decoder(TaskAnswer)
TASK_COUNT_DECODER = msgspec.json.Decoder(TaskCountAnswer)


def _decode_task_reply(body: bytes) -> TaskReply:
    match try_decode(TASK_DECODER.decode, body):
        case Ok(task_answer):
            return task_answer
        case Err(error):
            return TaskQueryFailed(error.detail)


async def call_on_new_connection(
    address: str, method: str, path: str
) -> Result[HttpResponse, CallError]:
    """Call a target on a new connection, which is closed afterwards."""
    session = open_session(address, TASK_CALL_TIMEOUT_MS)
    body = None if method == "GET" else b"{}"
    try:
        return await call(session, method, path, TASK_CALL_TIMEOUT_MS, body)
    finally:
        await session.close()


async def count_running_tasks(address: str) -> int | None:
    """Return how many tasks a target runs, None without a valid answer."""
    match await call_on_new_connection(address, "GET", "/tasks"):
        case Ok(HttpResponse(status=200, body=body)):
            reply = try_decode(TASK_COUNT_DECODER.decode, body)
            return reply.map_or(None, lambda count: count.running)
        case _:
            return None


async def checkpoint_tasks(address: str) -> bool:
    """Request a checkpoint of a target's tasks; return whether it succeeded."""
    match await call_on_new_connection(address, "POST", "/checkpoint"):
        case Ok(HttpResponse(status=200)):
            return True
        case _:
            return False


async def is_healthy(address: str) -> bool:
    """Return whether a target reports that it is healthy."""
    match await call_on_new_connection(address, "GET", "/health"):
        case Ok(HttpResponse(status=200)):
            return True
        case _:
            return False


@dataclass(slots=True)
class TargetClient:
    """Sends requests to targets, over one channel per address or new connections."""

    clock: Clock
    channels: dict[str, Channel] = field(default_factory=dict)

    async def send(self, exchange: Exchange) -> TargetResult:
        """Send a request to a target and return the result.

        A connection attempt that timed out while this process was held up says nothing
        about the target, so it is repeated once.
        """
        started_ms = self.clock.now_ms()
        result = await self._send_once(exchange)
        run_ms = self.clock.now_ms() - started_ms
        if is_unsent(result) and run_ms > CONNECT_TIMEOUT_MS + MAX_TIMER_DELAY_MS:
            started_ms = self.clock.now_ms()
            result = await self._send_once(exchange)
            run_ms = self.clock.now_ms() - started_ms
        match result:
            case Ok(answer):
                return _classify_answer(exchange, answer, run_ms)
            case Err(CallError(detail, was_sent=False)):
                return TargetNotReached(detail)
            case Err(CallError(detail)):
                return TargetSilent(detail, run_ms)

    async def _send_once(self, exchange: Exchange) -> Result[HttpResponse, CallError]:
        channel = self._channel(exchange)
        try:
            return await channel.call(
                "POST",
                f"/run/{quoted(exchange.queue)}",
                exchange.timeout_ms,
                exchange.payload,
                _request_headers(exchange),
                exchange.content_type,
                may_retry=not exchange.uses_new_connection,
            )
        finally:
            if exchange.uses_new_connection:
                await channel.close()

    async def query_task(self, address: str, request: str) -> TaskReply:
        """Query the state of a request that may have started at a target."""
        result = await call_on_new_connection(
            address, "GET", f"/tasks/{quoted(request)}"
        )
        match result:
            case Ok(HttpResponse(status=200, body=body)):
                return _decode_task_reply(body)
            case Ok(HttpResponse(status=404)):
                return TaskNeverSeen()
            case Ok(answer):
                return TaskQueryFailed(f"status {answer.status}")
            case Err(error):
                return TaskQueryFailed(error.detail)

    async def close(self) -> None:
        """Close all connections."""
        await asyncio.gather(*(channel.close() for channel in self.channels.values()))
        self.channels.clear()

    def _channel(self, exchange: Exchange) -> Channel:
        if exchange.uses_new_connection:
            return Channel(exchange.address, CONNECT_TIMEOUT_MS)
        channel = self.channels.get(exchange.address)
        if channel is None:
            channel = Channel(exchange.address, CONNECT_TIMEOUT_MS)
            self.channels[exchange.address] = channel
        return channel


def is_unsent(result: Result[HttpResponse, CallError]) -> bool:
    """Return whether a call has failed before any byte was sent."""
    return result.is_err() and not result.err_value.was_sent


def _request_headers(exchange: Exchange) -> list[tuple[bytes, bytes]]:
    headers = [
        (b"Request-Id", exchange.request.encode()),
        (ATTEMPT_HEADER, str(exchange.attempt).encode()),
    ]
    return headers + [(header.name, header.value) for header in exchange.headers]


def _classify_answer(
    exchange: Exchange, answer: HttpResponse, run_ms: int
) -> TargetResult:
    if answer.is_leaving:
        return TargetLeaving()
    if answer.is_checkpointed:
        return TargetCheckpointed(run_ms)
    if answer.status != 200:
        return TargetFailed(f"status {answer.status}", run_ms)
    if answer.attempt != str(exchange.attempt):
        detail = f"expected attempt {exchange.attempt}, found {answer.attempt or '-'}"
        return TargetSilent(detail, run_ms)
    return TargetCompleted(answer.body, answer.content_type, run_ms)
