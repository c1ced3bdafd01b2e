"""A small test language: who sends what, what breaks when, what must hold."""

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

SEND_PAUSE_S = 0.02
TRIES = 40
TRY_PAUSE_S = 0.25
DURABLE_TRIES = 400
IN_FORCE_LIMIT_S = 16.0
MAX_UNAVAILABLE = CONFIGURATION["pools"][0]["max_unavailable"]

PARSER = Lark.open("scenario.lark", rel_to=__file__, parser="earley")


def argument_of(part: Token | Tree | None) -> str | tuple[str, ...] | None:
    """Return an argument of a step: a word, several names, or nothing."""
    if isinstance(part, Tree):
        return tuple(str(name) for name in part.children)
    return None if part is None else str(part)


@dataclass
class Sent:
    """A request of a scenario with the answer it got."""

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
    """Runs a script on separate processes, or in memory under a fake clock."""

    fleet: Processes | MemoryFleet
    sent: list[Sent] = field(default_factory=list)
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
                await handler(*(argument_of(one) for one in step.children))

    # Who sends what

    async def do_fleet(self, entries: str, targets: str, run_ms: str | None) -> None:
        await self.fleet.start(int(entries), int(targets), int(run_ms or 20))

    async def do_send(self, count: str, queue: str) -> None:
        has_key = queue != "lookup"
        await self._send_all(int(count), queue, has_key=has_key)

    async def do_send_without_key(self, count: str, queue: str) -> None:
        await self._send_all(int(count), queue, has_key=False)

    async def do_accept(self, count: str, queue: str) -> None:
        await self._send_all(int(count), queue, is_durable=True)

    async def _send_all(
        self, count: int, queue: str, has_key: bool = True, is_durable: bool = False
    ) -> None:
        for _ in range(count):
            number = next(self.numbers)
            key = f"key-{number}" if has_key else ""
            sent = Sent(queue, b"reference %d" % number, key, is_durable)
            self.sent.append(sent)
            self.tasks.append(asyncio.create_task(self._send(sent, number)))
            await asyncio.sleep(SEND_PAUSE_S)

    async def do_repeat(self, queue: str) -> None:
        for number, one in enumerate(list(self.sent)):
            if one.queue == queue and one.key:
                again = Sent(queue, one.body, one.key)
                self.sent.append(again)
                work = self._send(again, number + 1)
                self.tasks.append(asyncio.create_task(work))

    async def _send(self, sent: Sent, number: int) -> None:
        """Send as callers behind a balancer do.

        When an entry is gone they go to another; an idempotent request whose
        answer came too late is sent again.
        """
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        for attempt in range(TRIES):
            entry = self._entry(number + attempt)
            headers = {"Idempotency_Key": sent.key} if sent.key else {}
            if sent.is_durable:
                headers["Prefer"] = "respond-async"
            caller = self.fleet.caller(entry)
            try:
                async with asyncio.timeout(12):
                    answer = await caller.post(sent.queue, sent.body, **headers)
            except (UnwrapError, TimeoutError):
                await asyncio.sleep(TRY_PAUSE_S)
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
            await asyncio.sleep(TRY_PAUSE_S)

    async def _durable_answer(
        self, accepted: HttpResponse, number: int
    ) -> HttpResponse | None:
        """Ask for the answer of a durable request until there is one."""
        request = msgspec.json.decode(accepted.body)["request"]
        path = f"/requests/{request}/answer"
        for attempt in range(DURABLE_TRIES):
            await asyncio.sleep(TRY_PAUSE_S)
            caller = self.fleet.caller(self._entry(number + attempt))
            try:
                async with asyncio.timeout(2):
                    answer = await caller.call("GET", path)
            except (UnwrapError, TimeoutError):
                continue
            if answer.status not in (409, 503):
                return answer
        return None

    def _entry(self, number: int) -> str:
        names = [one for one in self.fleet.entries if one not in self.dead]
        return names[number % len(names)]

    # What breaks when

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

    async def do_cut(self, one: tuple[str, ...], two: tuple[str, ...]) -> None:
        pairs = itertools.product(one, two)
        self.fleet.network.cut |= {frozenset(pair) for pair in pairs}

    async def do_silence(self, one: str, two: str) -> None:
        self.fleet.network.silence(one, two)

    async def do_lossy(self, percent: str) -> None:
        self.fleet.network.lost_share = int(percent) / 100

    async def do_delay(self, limit_ms: str) -> None:
        self.fleet.network.delay_s = int(limit_ms) / 1_000

    async def do_heal(self) -> None:
        network = self.fleet.network
        network.cut.clear()
        network.lost_share = network.delay_s = 0.0

    async def do_lose_data_centre(self, name: str) -> None:
        for machine in self.fleet.machines_in(name):
            self.dead.add(machine)
            self.fleet.kill(machine)

    async def do_maintain(self, entry: str) -> None:
        path = "/maintenance/phone/start"
        answer = await self._operator(entry).call("PUT", path, b"{}")
        assert answer.status == 200, answer.body

    async def do_switch(self, preset: str, entry: str) -> None:
        answer = await self._switch(preset, entry, None)
        assert answer.status == 200

    async def do_race(self, one: str, at_one: str, two: str, at_two: str) -> None:
        answers = await asyncio.gather(
            self._switch(one, at_one, 1), self._switch(two, at_two, 1)
        )
        assert sorted(answer.status for answer in answers) == [200, 412]

    async def do_wait(self, duration_ms: str) -> None:
        await asyncio.sleep(int(duration_ms) / 1_000)

    async def do_join(self) -> None:
        await asyncio.gather(*self.tasks)

    # What must hold

    async def do_all_answered(self, queue: str) -> None:
        outcomes = Counter(one.outcome() for one in self.sent if one.queue == queue)
        assert set(outcomes) == {"completed"}, outcomes

    async def do_all_settled(self, queue: str) -> None:
        outcomes = Counter(one.outcome() for one in self.sent if one.queue == queue)
        assert "none" not in outcomes, outcomes

    async def do_none_twice(self, queue: str) -> None:
        recorded = await self._recorded(queue)
        starts = await self.fleet.starts()
        twice = {one: starts[one] for one in recorded if starts.get(one, 0) > 1}
        assert recorded
        assert twice == {}

    async def do_own_answers(self) -> None:
        for one in self.sent:
            if one.outcome() == "completed":
                assert one.answer.body == one.queue.encode() + b":" + one.body

    async def do_truly_not_run(self) -> None:
        starts = await self.fleet.starts()
        for one in self.sent:
            if one.outcome() == "not_run":
                request = msgspec.json.decode(one.answer.body)["request"]
                assert starts.get(request, 0) == 0

    async def do_some_not_run(self, queue: str) -> None:
        outcomes = [one.outcome() for one in self.sent if one.queue == queue]
        assert "not_run" in outcomes

    async def do_within(self, queue: str, limit_ms: str) -> None:
        times_s = [one.took_s for one in self.sent if one.queue == queue]
        assert max(times_s) <= int(limit_ms) / 1_000

    async def do_wave_done(self, limit_s: str) -> None:
        async with asyncio.timeout(int(limit_s)):
            while await self._wave_state() != "done":
                await asyncio.sleep(0.5)

    async def _wave_state(self) -> str:
        operator = self._operator(self._live()[-1])
        answer = await operator.call("GET", "/maintenance/phone")
        return msgspec.json.decode(answer.body).get("state", "")

    async def do_budget_held(self) -> None:
        assert 1 <= self.fleet.platform.table.most_out <= MAX_UNAVAILABLE

    async def do_no_task_cut(self) -> None:
        cut = {
            name: one.interrupted_by_reboot for name, one in self.fleet.standins.items()
        }
        assert set(cut.values()) == {0}, cut

    async def do_no_entry_ended(self) -> None:
        ended = [one for one in self.fleet.entries if self.fleet.has_ended(one)]
        assert ended == []

    async def do_in_contact(self) -> None:
        """Wait until every live entry takes part with all others."""
        async with asyncio.timeout(IN_FORCE_LIMIT_S):
            while not all([await self._sees_all(name) for name in self._live()]):
                await asyncio.sleep(0.1)

    async def _sees_all(self, entry: str) -> bool:
        answer = await self._operator(entry).call("GET", "/entries")
        rows = msgspec.json.decode(answer.body)
        ready = {
            row["name"]
            for row in rows
            if row["state"] in ("self", "alive") and row["ready"]
        }
        return ready == set(self._live())

    async def do_one_preset(self) -> None:
        await self._wait_presets(lambda presets: len(presets) == 1)

    async def do_preset_in_force(self, name: str) -> None:
        await self._wait_presets(lambda presets: presets == {name})

    async def _wait_presets(self, condition: Callable[[set[str]], bool]) -> None:
        async with asyncio.timeout(IN_FORCE_LIMIT_S):
            while not condition(await self._presets()):
                await asyncio.sleep(0.1)

    async def _presets(self) -> set[str]:
        found: set[str] = set()
        for name in self._live():
            answer = await self._operator(name).call("GET", "/configuration")
            found.add(msgspec.json.decode(answer.body)["preset"])
        return found

    async def _recorded(self, queue: str) -> list[str]:
        answer = await self._operator(self._live()[-1]).call("GET", "/requests")
        rows = msgspec.json.decode(answer.body)
        return [row["request"] for row in rows if row["queue"] == queue]

    async def _switch(self, preset: str, entry: str, seen: int | None) -> HttpResponse:
        headers = {"If_Match": f'"{seen}"'} if seen is not None else {}
        path = f"/preset/{preset}"
        return await self._operator(entry).call("PUT", path, b"{}", **headers)

    def _operator(self, entry: str) -> Caller:
        return Caller(self.fleet.operators_url(entry), OPERATOR_TOKEN)

    def _live(self) -> list[str]:
        """Return the entries that run; one whose lease lapsed ends by itself."""
        gone = self.dead | self.frozen
        return [
            name
            for name in self.fleet.entries
            if name not in gone and not self.fleet.has_ended(name)
        ]


def run_under_fake_clock(folder: Path, text: str, seed: int) -> None:
    """Run a script in memory."""
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
