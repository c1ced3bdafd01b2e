"""Stand-in for the platform's service that approves workers for steps."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
from blacksheep import Application, Request, Response

from cornelturn.clock import to_seconds
from cornelturn.http.routes import add_route, new_application
from cornelturn.jobs.model import Run
from cornelturn.model.routes import ApprovalTimes
from cornelturn.platform.approvals import WireAdvice, WireAdviceRequest
from cornelturn.platform.standin.answers import json_response

MAX_WAITING_CALLS = 32


@dataclass(slots=True)
class ApprovalsStandin:
    """Answers one call at a time, whichever entry it is from.

    Parameters
    ----------
    now_ms : callable
        Returns the time.
    born_ms : callable
        Returns the birth of the current incarnation of a worker.
    is_approved : callable
        Returns whether a worker may run a step.
    lost_answers, busy_answers, malformed_answers : int
        Number of next calls that get no answer, 429 or a malformed answer.
    calls : list
        Steps and workers of all calls.
    rejected_starts : int
        Number of starts without a valid ticket.
    waiting_count, most_waiting : int
        Number of calls that wait for their answer, and the largest one so far.
    """

    now_ms: Callable[[], int]
    born_ms: Callable[[str], int]
    times: ApprovalTimes = field(default_factory=lambda: ApprovalTimes(100, 10, 5_000))
    is_approved: Callable[[str, str], bool] = lambda step, worker: True
    lost_answers: int = 0
    busy_answers: int = 0
    malformed_answers: int = 0
    calls: list[WireAdviceRequest] = field(default_factory=list)
    rejected_starts: int = 0
    waiting_count: int = 0
    most_waiting: int = 0
    answer_count: int = 0
    turn: asyncio.Lock = field(default_factory=asyncio.Lock)

    def application(self) -> Application:
        """Return the web application of the service."""
        app = new_application()
        add_route(app, "POST", "/advise", self.advise)
        return app

    async def advise(self, request: Request) -> Response:
        """Return the workers that may run a step, with tickets."""
        wire = msgspec.json.decode(await request.read() or b"", type=WireAdviceRequest)
        self.calls.append(wire)
        if self.busy_answers or self.waiting_count >= MAX_WAITING_CALLS:
            self.busy_answers = max(0, self.busy_answers - 1)
            return json_response(429, {})
        self.waiting_count += 1
        self.most_waiting = max(self.most_waiting, self.waiting_count)
        try:
            async with self.turn:
                delay_ms = self.times.decision_ms + self.times.period_ms * len(
                    wire.workers
                )
                await asyncio.sleep(to_seconds(delay_ms))
        finally:
            self.waiting_count -= 1
        if self.lost_answers:
            self.lost_answers -= 1
            await asyncio.sleep(to_seconds(1_000_000))
        if self.malformed_answers:
            self.malformed_answers -= 1
            return json_response(200, {"approved": [["", 1, 2], []]})
        self.answer_count += 1
        end_ms = self.now_ms() + self.times.validity_ms
        approved = tuple(
            (worker, f"{wire.phase}/{self.born_ms(worker)}/{end_ms}")
            for worker in wire.workers
            if self.is_approved(wire.phase, worker)
        )
        return json_response(200, WireAdvice(approved))

    def check_ticket(self, run: Run, worker: str, ticket: str) -> bool:
        """Return whether a ticket is valid for a run on a worker."""
        phase, _, rest = ticket.partition("/")
        born, _, end = rest.partition("/")
        is_valid = (
            phase == str(run.task.step_id())
            and self.is_approved(phase, worker)
            and born == str(self.born_ms(worker))
            and int(end) > self.now_ms()
        )
        self.rejected_starts += not is_valid
        return is_valid
