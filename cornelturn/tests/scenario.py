"""Interpreter of the scenario language: load, injected faults and expectations.

The grammar is in ``scenario.lark``; each step names a method ``do_STEP``.
"""

from __future__ import annotations

import asyncio
import itertools
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
import pytest
from lark import Lark, Token, Tree
from result import UnwrapError

from cornelturn.store.http_client import HttpResponse
from cornelturn.tests.conftest import CONFIGURATION, OPERATOR_TOKEN, Caller
from cornelturn.tests.memory import MemoryFleet
from cornelturn.tests.network import FakeTimeLoop, Network
from cornelturn.tests.processes import Processes

SEND_INTERVAL_S = 0.02
MAX_SEND_ATTEMPTS = 40
RETRY_DELAY_S = 0.25
MAX_ANSWER_POLLS = 400
CONVERGENCE_LIMIT_S = 16.0
MAX_UNAVAILABLE = CONFIGURATION["pools"][0]["max_unavailable"]

PARSER = Lark.open("scenario.lark", rel_to=__file__, parser="earley")


def step_argument(part: Token | Tree | None) -> str | tuple[str, ...] | None:
    """Return an argument of a step: a word, several names, or None if left out."""
    if isinstance(part, Tree):
        return tuple(str(name) for name in part.children)
    return None if part is None else str(part)


@dataclass
class SentRequest:
    """A request of a scenario with its answer, None while there is none."""

    queue: str
    body: bytes
    key: str
    is_durable: bool = False
    answer: HttpResponse | None = None
    took_s: float = 0.0

    def outcome(self) -> str:
        if self.answer is None:
            return "none"
        if self.answer.status == 200:
            return "completed"
        return msgspec.json.decode(self.answer.body).get("outcome", "")


@dataclass
class Scenario:
    """Runs a script on separate processes, or in memory on a fake clock."""

    fleet: Processes | MemoryFleet
    sent: list[SentRequest] = field(default_factory=list)
    tasks: list[asyncio.Task] = field(default_factory=list)
    dead: set[str] = field(default_factory=set)
    frozen: set[str] = field(default_factory=set)
    races: list[HttpResponse] = field(default_factory=list)
    numbers: itertools.count = field(default_factory=itertools.count)

    async def run(self, text: str) -> None:
        tree = PARSER.parse(text.strip() + "\n")
        for step in tree.children:
            if isinstance(step, Tree):
                handler: Callable[..., Awaitable[None]] = getattr(
                    self, f"do_{step.data}"
                )
                await handler(*(step_argument(part) for part in step.children))

    # Load

    async def do_fleet(self, entries: str, targets: str, run_ms: str | None) -> None:
        await self.fleet.start(int(entries), int(targets), int(run_ms or 20))

    async def do_send(self, count: str, queue: str) -> None:
        has_key = queue != "lookup"
        await self._send_all(int(count), queue, has_key=has_key)

    async def do_send_without_key(self, count: str, queue: str) -> None:
        await self._send_all(int(count), queue, has_key=False)

    async def do_send_async(self, count: str, queue: str) -> None:
        await self._send_all(int(count), queue, is_durable=True)

    async def _send_all(
        self, count: int, queue: str, has_key: bool = True, is_durable: bool = False
    ) -> None:
        for _ in range(count):
            number = next(self.numbers)
            key = f"key-{number}" if has_key else ""
            sent = SentRequest(queue, b"reference %d" % number, key, is_durable)
            self.sent.append(sent)
            self.tasks.append(asyncio.create_task(self._send(sent, number)))
            await asyncio.sleep(SEND_INTERVAL_S)

    async def do_repeat(self, queue: str) -> None:
        for number, sent in enumerate(list(self.sent)):
            if sent.queue == queue and sent.key:
                repeated = SentRequest(queue, sent.body, sent.key)
                self.sent.append(repeated)
                work = self._send(repeated, number + 1)
                self.tasks.append(asyncio.create_task(work))

    async def _send(self, sent: SentRequest, number: int) -> None:
        """Send as a caller behind a load balancer does.

        A failed call is retried at another entry, and an idempotent request whose
        answer came too late is sent again.
        """
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        for attempt in range(MAX_SEND_ATTEMPTS):
            entry = self._pick_entry(number + attempt)
            headers = {"Idempotency_Key": sent.key} if sent.key else {}
            if sent.is_durable:
                headers["Prefer"] = "respond-async"
            caller = self.fleet.caller(entry)
            try:
                async with asyncio.timeout(12):
                    answer = await caller.post(sent.queue, sent.body, **headers)
            except (UnwrapError, TimeoutError):
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            if answer.status == 202:
                answer = await self._durable_answer(answer, number)
            if answer is None:
                return
            sent.answer = answer
            sent.took_s = loop.time() - started_s
            may_repeat = answer.status == 409 or (
                sent.queue == "lookup" and answer.status != 200
            )
            if not may_repeat:
                return
            await asyncio.sleep(RETRY_DELAY_S)

    async def _durable_answer(
        self, accepted: HttpResponse, number: int
    ) -> HttpResponse | None:
        """Poll for the answer of a durable request; return None if there is none."""
        request = msgspec.json.decode(accepted.body)["request"]
        path = f"/requests/{request}/answer"
        for attempt in range(MAX_ANSWER_POLLS):
            await asyncio.sleep(RETRY_DELAY_S)
            caller = self.fleet.caller(self._pick_entry(number + attempt))
            try:
                async with asyncio.timeout(2):
                    answer = await caller.call("GET", path)
            except (UnwrapError, TimeoutError):
                continue
            if answer.status not in (409, 503):
                return answer
        return None

    def _pick_entry(self, number: int) -> str:
        names = [name for name in self.fleet.entries if name not in self.dead]
        return names[number % len(names)]

    # Faults and operations

    async def do_store(self, fault: str, count: str | None) -> None:
        body = {"fault": fault, "delay_ms": 300, "count": int(count or 0)}
        await Caller(self.fleet.platform_url).call(
            "PUT", "/faults", msgspec.json.encode(body)
        )

    async def do_target(self, name: str, fault: str) -> None:
        await Caller(self.fleet.targets[name]).call("PUT", f"/faults/{fault}", b"{}")

    async def do_kill(self, entry: str) -> None:
        self.dead.add(entry)
        self.fleet.kill(entry)

    async def do_freeze(self, entry: str) -> None:
        self.frozen.add(entry)
        self.fleet.freeze(entry)

    async def do_thaw(self, entry: str) -> None:
        self.frozen.discard(entry)
        self.fleet.thaw(entry)

    async def do_partition(
        self, group: tuple[str, ...], others: tuple[str, ...]
    ) -> None:
        pairs = itertools.product(group, others)
        self.fleet.network.cut_pairs |= {frozenset(pair) for pair in pairs}

    async def do_silence(self, first: str, second: str) -> None:
        self.fleet.network.silence(first, second)

    async def do_lose_frames(self, percent: str) -> None:
        self.fleet.network.frame_loss = int(percent) / 100

    async def do_delay_frames(self, limit_ms: str) -> None:
        self.fleet.network.max_frame_delay_s = int(limit_ms) / 1_000

    async def do_heal(self) -> None:
        network = self.fleet.network
        network.cut_pairs.clear()
        network.frame_loss = network.max_frame_delay_s = 0.0

    async def do_lose_data_centre(self, name: str) -> None:
        for machine in self.fleet.machines_in_data_centre(name):
            self.dead.add(machine)
            self.fleet.kill(machine)

    async def do_maintain(self, entry: str) -> None:
        path = "/maintenance/phone/start"
        answer = await self._operator_client(entry).call("PUT", path, b"{}")
        assert answer.status == 200, answer.body

    async def do_switch(self, preset: str, entry: str) -> None:
        answer = await self._switch(preset, entry, None)
        assert answer.status == 200

    async def do_race(
        self, first: str, first_entry: str, second: str, second_entry: str
    ) -> None:
        answers = await asyncio.gather(
            self._switch(first, first_entry, 1), self._switch(second, second_entry, 1)
        )
        assert sorted(answer.status for answer in answers) == [200, 412]

    async def do_wait(self, duration_ms: str) -> None:
        await asyncio.sleep(int(duration_ms) / 1_000)

    async def do_await_answers(self) -> None:
        await asyncio.gather(*self.tasks)

    # Expectations

    async def do_all_completed(self, queue: str) -> None:
        outcomes = Counter(sent.outcome() for sent in self.sent if sent.queue == queue)
        assert set(outcomes) == {"completed"}, outcomes

    async def do_all_have_outcome(self, queue: str) -> None:
        outcomes = Counter(sent.outcome() for sent in self.sent if sent.queue == queue)
        assert "none" not in outcomes, outcomes

    async def do_none_started_twice(self, queue: str) -> None:
        recorded = await self._recorded_requests(queue)
        starts = await self.fleet.starts()
        twice = {
            request: starts[request]
            for request in recorded
            if starts.get(request, 0) > 1
        }
        assert recorded
        assert twice == {}

    async def do_answers_match(self) -> None:
        for sent in self.sent:
            if sent.outcome() == "completed":
                assert sent.answer.body == sent.queue.encode() + b":" + sent.body

    async def do_not_run_not_started(self) -> None:
        starts = await self.fleet.starts()
        for sent in self.sent:
            if sent.outcome() == "not_run":
                request = msgspec.json.decode(sent.answer.body)["request"]
                assert starts.get(request, 0) == 0

    async def do_some_not_run(self, queue: str) -> None:
        outcomes = [sent.outcome() for sent in self.sent if sent.queue == queue]
        assert "not_run" in outcomes

    async def do_all_within(self, queue: str, limit_ms: str) -> None:
        times_s = [sent.took_s for sent in self.sent if sent.queue == queue]
        assert max(times_s) <= int(limit_ms) / 1_000

    async def do_wave_done(self, limit_s: str) -> None:
        async with asyncio.timeout(int(limit_s)):
            while await self._wave_state() != "done":
                await asyncio.sleep(0.5)

    async def _wave_state(self) -> str:
        operator = self._operator_client(self._live_entries()[-1])
        answer = await operator.call("GET", "/maintenance/phone")
        return msgspec.json.decode(answer.body).get("state", "")

    async def do_budget_respected(self) -> None:
        assert 1 <= self.fleet.platform.table.max_in_maintenance <= MAX_UNAVAILABLE

    async def do_no_task_interrupted(self) -> None:
        interrupted = {
            name: target.interrupted_by_reboot
            for name, target in self.fleet.standins.items()
        }
        assert set(interrupted.values()) == {0}, interrupted

    async def do_no_entry_ended(self) -> None:
        ended = [name for name in self.fleet.entries if self.fleet.has_ended(name)]
        assert ended == []

    async def do_all_connected(self) -> None:
        """Wait until every live entry reports all live entries as ready."""
        async with asyncio.timeout(CONVERGENCE_LIMIT_S):
            while not all(
                [await self._lists_all_ready(name) for name in self._live_entries()]
            ):
                await asyncio.sleep(0.1)

    async def _lists_all_ready(self, entry: str) -> bool:
        answer = await self._operator_client(entry).call("GET", "/entries")
        rows = msgspec.json.decode(answer.body)
        ready = {
            row["name"]
            for row in rows
            if row["state"] in ("self", "alive") and row["ready"]
        }
        return ready == set(self._live_entries())

    async def do_one_preset(self) -> None:
        await self._wait_for_presets(lambda presets: len(presets) == 1)

    async def do_preset_in_force(self, name: str) -> None:
        await self._wait_for_presets(lambda presets: presets == {name})

    async def _wait_for_presets(self, condition: Callable[[set[str]], bool]) -> None:
        async with asyncio.timeout(CONVERGENCE_LIMIT_S):
            while not condition(await self._presets()):
                await asyncio.sleep(0.1)

    async def _presets(self) -> set[str]:
        presets: set[str] = set()
        for name in self._live_entries():
            answer = await self._operator_client(name).call("GET", "/configuration")
            presets.add(msgspec.json.decode(answer.body)["preset"])
        return presets

    async def _recorded_requests(self, queue: str) -> list[str]:
        answer = await self._operator_client(self._live_entries()[-1]).call(
            "GET", "/requests"
        )
        rows = msgspec.json.decode(answer.body)
        return [row["request"] for row in rows if row["queue"] == queue]

    async def _switch(
        self, preset: str, entry: str, generation: int | None
    ) -> HttpResponse:
        headers = {"If_Match": f'"{generation}"'} if generation is not None else {}
        path = f"/preset/{preset}"
        return await self._operator_client(entry).call("PUT", path, b"{}", **headers)

    def _operator_client(self, entry: str) -> Caller:
        return Caller(self.fleet.operators_url(entry), OPERATOR_TOKEN)

    def _live_entries(self) -> list[str]:
        """Return the running entries; an entry stops itself when its lease expires."""
        stopped = self.dead | self.frozen
        return [
            name
            for name in self.fleet.entries
            if name not in stopped and not self.fleet.has_ended(name)
        ]


def run_under_fake_clock(folder: Path, text: str, seed: int) -> None:
    """Run a script in memory on a fake clock."""
    runner = asyncio.Runner(loop_factory=FakeTimeLoop)
    with runner, pytest.MonkeyPatch.context() as monkeypatch:
        network = Network(runner.get_loop(), random.Random(seed))
        network.patch(monkeypatch)
        runner.run(_run_and_stop(MemoryFleet(folder, network, seed), text))


async def _run_and_stop(fleet: MemoryFleet, text: str) -> None:
    try:
        await Scenario(fleet).run(text)
    finally:
        await fleet.stop()
