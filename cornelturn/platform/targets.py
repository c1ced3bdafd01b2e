"""HTTP client of a worker of the platform; the rest of the code calls it a target."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec
from result import Err, Ok, Result

from cornelturn.jobs.model import EndKind, Run, RunEnd, parse_task_id
from cornelturn.model.decoding import MAX_COUNT, Count, try_decode
from cornelturn.store.channel import Channel
from cornelturn.store.http_client import CallError, HttpResponse
from cornelturn.store.http_connection import CallResult
from cornelturn.targets.model import (
    ActiveRun,
    Declined,
    Executed,
    Lease,
    ListedTarget,
    Order,
    OrderResult,
    OtherLife,
    PaceOrder,
    ReportResult,
    StartOrder,
    StopOrder,
    TargetLife,
    TargetReport,
    Unanswered,
)

EXPECTED_INSTANCE_HEADER = b"Cornelturn-Expect-Instance"
NO_END = 0
"""Acknowledgement of no end; the first one has the number 1."""

MAX_LISTED_ENDS = 500
"""Most ends in one report; a worker lists the others once these are acknowledged."""

ORDER_TIMEOUT_MS = 700
"""Timeout of an order; a response normally takes a few milliseconds."""


class WireStart(msgspec.Struct, frozen=True, omit_defaults=True):
    """Request body of a start; ``deadline_ms`` ends the lease of the whole worker."""

    task_id: str
    run_id: int
    spec: str
    deadline_ms: int
    fence_token: int
    checkpoint: str = ""
    ticket: str = ""


class WireStop(msgspec.Struct, frozen=True):
    """Request body of a stop."""

    task_id: str
    run_id: int
    fence_token: int


class WirePace(msgspec.Struct, frozen=True):
    """Request body of a change of pace."""

    task_id: str
    run_id: int
    percent: int
    fence_token: int


class WireHold(msgspec.Struct, frozen=True, omit_defaults=True):
    """Request body of a lease renewal; ``ack_seq`` acknowledges ends up to this one."""

    fence_token: int
    ack_seq: int = -1
    deadline_ms: int | None = None
    wait_ms: int = 0


class WireReport(msgspec.Struct, frozen=True):
    """Report of a worker.

    A row of ``active`` is [task, run, checkpoint, percent, load], a row of ``finished``
    [sequence, task, run, kind, checkpoint]. ``born`` identifies the life of the worker.
    """

    clock_ms: Count = 0
    active: tuple[tuple[str | Count, ...], ...] = ()
    finished: tuple[tuple[str | Count, ...], ...] = ()
    born: Count = 0


class WireRefusal(msgspec.Struct, frozen=True):
    """Response of a worker that has not executed an order."""

    reason: str = ""
    clock_ms: Count = 0


REPORT_DECODER = msgspec.json.Decoder(WireReport)
REFUSAL_DECODER = msgspec.json.Decoder(WireRefusal)


@dataclass(slots=True)
class WorkerConnection:
    """Connection to a worker; sends orders and lease renewals to one life of it.

    An address may answer for a later life of the worker, which has another clock and
    numbers its ends from 1 again. A TCP connection belongs to one life. So leases are
    granted, and ends acknowledged, only on connections that have carried a report of
    the life; the first report on a connection does neither. A worker that closes each
    connection after one answer gets leases on new ones.

    Parameters
    ----------
    target : ListedTarget
        A target with an address.
    order_channel : Channel
        Connections for orders that grant no lease.
    start_channel, report_channel : Channel
        Connections that have carried a report.
    is_life_in_doubt : bool
        Whether a start may have reached another life: it was sent on a connection that
        had not carried a report in which the target states the expected life.
    """

    target: ListedTarget
    order_channel: Channel = field(init=False)
    start_channel: Channel = field(init=False)
    report_channel: Channel = field(init=False)
    is_life_in_doubt: bool = False

    def __post_init__(self) -> None:
        url = self.target.address.url()
        self.order_channel = Channel(url, ORDER_TIMEOUT_MS)
        self.start_channel = Channel(url, ORDER_TIMEOUT_MS)
        self.report_channel = Channel(url, ORDER_TIMEOUT_MS)

    async def send_order(self, order: Order, lease: Lease) -> OrderResult:
        """Send an order once, without a retry."""
        path, body = _encode_order(order, lease)
        match order:
            case StartOrder():
                return await self._send_start(path, body, lease.token)
            case _:
                return await self._call_order(self.order_channel, path, body)

    async def fetch_report(
        self, lease: Lease, acknowledged: int, wait_ms: int
    ) -> ReportResult:
        """Renew the lease and return the active and ended runs.

        Parameters
        ----------
        acknowledged : int
            Sequence number of the last end that the target may discard.
        wait_ms : int
            Time for which the target may hold the response back until a run ends.
        """
        if self.report_channel.has_open_connection():
            result = await self._call_hold(lease, acknowledged, wait_ms)
            if not _is_reset(result):
                return self._report_result(result)
            self.report_channel.close_idle()
        first = await self._fetch_first_report(self.report_channel, lease.token)
        match first:
            case Ok(report) if self._is_own(report) and lease.deadline_ms is not None:
                result = await self._call_hold(lease, NO_END, wait_ms)
                return self._report_result(result)
            case _:
                return first

    async def _send_start(self, path: str, body: bytes, token: int) -> OrderResult:
        """Send a start on a connection that has carried a report of the life."""
        if self.start_channel.has_open_connection():
            return await self._call_order(self.start_channel, path, body)
        match await self._fetch_first_report(self.start_channel, token):
            case Ok(report) if self._is_own(report):
                is_kept = self.start_channel.has_open_connection()
                if not is_kept or not self._is_certainly_own(report):
                    self.is_life_in_doubt = True
                return await self._call_order(self.start_channel, path, body)
            case Ok(report):
                return OtherLife(report.life)
            case Err(Unanswered(detail)):
                return Unanswered(detail, was_sent=False)
            case Err(refusal):
                return refusal

    async def _fetch_first_report(self, channel: Channel, token: int) -> ReportResult:
        """Return a report over a new connection; close that of another life.

        The request neither renews the lease nor acknowledges an end.
        """
        body = msgspec.json.encode(WireHold(token, NO_END))
        result = await channel.call(
            "POST", "/hold", ORDER_TIMEOUT_MS, body, self._headers()
        )
        match report := self._report_result(result):
            case Ok(first) if self._is_own(first):
                pass
            case _:
                channel.close_idle()
        return report

    async def _call_order(
        self, channel: Channel, path: str, body: bytes
    ) -> OrderResult:
        return _order_result(
            await channel.call("POST", path, ORDER_TIMEOUT_MS, body, self._headers())
        )

    async def _call_hold(
        self, lease: Lease, acknowledged: int, wait_ms: int
    ) -> CallResult:
        body = msgspec.json.encode(
            WireHold(lease.token, acknowledged, lease.deadline_ms, wait_ms)
        )
        limit_ms = wait_ms + ORDER_TIMEOUT_MS
        return await self.report_channel.call(
            "POST", "/hold", limit_ms, body, self._headers()
        )

    def _is_own(self, report: TargetReport) -> bool:
        """Return whether a report is of the life that is addressed, as far as known."""
        life = self.target.life
        return not life.born_ms or report.life == life

    def _is_certainly_own(self, report: TargetReport) -> bool:
        """Return whether the target states the life that is addressed."""
        return report.is_life_stated and report.life == self.target.life

    def may_have_reached_other_life(self) -> bool:
        """Return whether another life of the worker may have executed a start."""
        return self.is_life_in_doubt

    def _report_result(self, result: CallResult) -> ReportResult:
        match result:
            case Ok(HttpResponse(status=200, body=data)):
                return self._decode_report(data)
            case _:
                return Err(_order_result(result))

    async def close(self) -> None:
        """Close the connections."""
        await self.order_channel.close()
        await self.start_channel.close()
        await self.report_channel.close()

    def _headers(self) -> list[tuple[bytes, bytes]]:
        return [(EXPECTED_INSTANCE_HEADER, self.target.life.name.encode())]

    def _decode_report(self, data: bytes) -> ReportResult:
        report = try_decode(lambda body: decode_report(body, self.target.life), data)
        return report.map_err(
            lambda error: Unanswered(f"report could not be decoded: {error.detail}")
        )


def decode_report(data: bytes, expected: TargetLife) -> TargetReport:
    """Decode the report of a target.

    Parameters
    ----------
    expected : TargetLife
        Life to which the request was sent; used where the report names none.

    Raises
    ------
    msgspec.DecodeError, ValueError, RecursionError
        If the report is malformed.
    """
    wire = REPORT_DECODER.decode(data)
    life = TargetLife(expected.name, wire.born or expected.born_ms)
    active = tuple(_parse_active_run(row) for row in wire.active)
    ended = tuple(_parse_run_end(row) for row in wire.finished)
    is_complete = len(ended) < MAX_LISTED_ENDS
    return TargetReport(
        life, wire.clock_ms, active, ended, is_complete, is_life_stated=wire.born > 0
    )


def _encode_order(order: Order, lease: Lease) -> tuple[str, bytes]:
    task, number = str(order.run.task), order.run.number
    match order:
        case StartOrder(spec=spec, checkpoint=checkpoint, ticket=ticket):
            body = WireStart(
                task,
                number,
                spec,
                lease.deadline_ms or 0,
                lease.token,
                checkpoint,
                ticket,
            )
            return "/run-start", msgspec.json.encode(body)
        case StopOrder():
            return "/run-stop", msgspec.json.encode(WireStop(task, number, lease.token))
        case PaceOrder(percent=percent):
            return "/pace", msgspec.json.encode(
                WirePace(task, number, percent, lease.token)
            )


def _order_result(result: Result[HttpResponse, CallError]) -> OrderResult:
    match result:
        case Ok(HttpResponse(status=200)):
            return Executed()
        case Ok(HttpResponse(status=421)):
            return OtherLife()
        case Ok(HttpResponse(status=409, body=data)):
            return Declined(_refusal_reason(data))
        case Ok(other):
            return Declined(str(other.status))
        case Err(error):
            return Unanswered(error.detail, error.was_sent)


def _is_reset(result: CallResult) -> bool:
    match result:
        case Err(CallError(is_reset=True)):
            return True
        case _:
            return False


def _refusal_reason(data: bytes) -> str:
    return try_decode(REFUSAL_DECODER.decode, data).map_or(
        "409", lambda refusal: refusal.reason
    )


def _parse_run(task: str | int, number: str | int) -> Run:
    parsed = parse_task_id(str(task))
    if parsed is None:
        raise ValueError(f"expected a task id, found {task!r}")
    return Run(parsed, _parse_count(number))


def _parse_count(text: str | int) -> int:
    number = int(text)
    if not 0 <= number <= MAX_COUNT:
        raise ValueError("expected a number of at most 53 bits")
    return number


def _parse_active_run(row: tuple[str | int, ...]) -> ActiveRun:
    task, number, checkpoint, percent = row[:4]
    load = _parse_count(row[4]) if len(row) > 4 else 0
    return ActiveRun(
        _parse_run(task, number), str(checkpoint or ""), _parse_count(percent), load
    )


def _parse_run_end(row: tuple[str | int, ...]) -> RunEnd:
    sequence, task, number, kind, checkpoint = row[:5]
    run = _parse_run(task, number)
    return RunEnd(_parse_count(sequence), run, EndKind(kind), str(checkpoint or ""))
