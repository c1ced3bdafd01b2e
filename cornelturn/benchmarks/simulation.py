"""A fake clock and fake targets that drive real dispatchers on a trace."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from cornelturn.model.fleet import Instance
from cornelturn.model.ticket import AttemptId, Report, ReportKind, Ticket
from cornelturn.model.work import Queue, Size
from cornelturn.requests.limits import HoldOffKey, HoldOffs
from cornelturn.routing.decisions import (
    Decision,
    GrantDecision,
    LoanAnswer,
    LoanRequest,
    RefusalDecision,
)
from cornelturn.routing.dispatcher import PoolDispatcher

ENTRIES = 9
HOP_MS = 1
TICK_MS = 100
SLOTS = 8
MAX_CONNECTIONS = 64


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request of a trace; times in milliseconds."""

    at_ms: int
    queue: Queue
    member: str
    run_ms: int
    number: int


@dataclass(frozen=True, slots=True)
class Flow:
    """A Poisson flow of requests.

    Parameters
    ----------
    rate : callable
        Requests a second at a time in milliseconds.
    run_ms : float
        Median run time; the spread is lognormal.
    """

    queue: Queue
    members: tuple[str, ...]
    rate: Callable[[int], float]
    run_ms: float
    sigma: float = 0.3


def make_trace(flows: list[Flow], length_ms: int, seed: int) -> list[Arrival]:
    """Return the arrivals of all flows in order."""
    rng = random.Random(seed)
    numbers = itertools.count()
    trace: list[Arrival] = []
    for flow in flows:
        for at_ms in _arrival_times(flow, length_ms, rng):
            run_ms = max(1, round(flow.run_ms * rng.lognormvariate(0, flow.sigma)))
            member = rng.choice(flow.members)
            trace.append(Arrival(at_ms, flow.queue, member, run_ms, next(numbers)))
    return sorted(trace, key=lambda one: (one.at_ms, one.number))


def _arrival_times(flow: Flow, length_ms: int, rng: random.Random) -> Iterator[int]:
    step_ms = 100
    for start_ms in range(0, length_ms, step_ms):
        expected = flow.rate(start_ms) * step_ms / 1_000
        at = rng.expovariate(1) if expected > 0 else expected + 1
        while at < expected:
            yield start_ms + int(at / expected * step_ms)
            at += rng.expovariate(1)


@dataclass(slots=True)
class Tally:
    """What became of the requests, by queue and by member."""

    sent: Counter[str] = field(default_factory=Counter)
    on_time: Counter[str] = field(default_factory=Counter)
    late: Counter[str] = field(default_factory=Counter)
    refused: Counter[str] = field(default_factory=Counter)
    by_member: Counter[HoldOffKey] = field(default_factory=Counter)
    slot_ms: Counter[HoldOffKey] = field(default_factory=Counter)

    def complete(self, arrival: Arrival, now_ms: int) -> None:
        """Count a completion."""
        name = arrival.queue.name
        if now_ms <= arrival.at_ms + arrival.queue.deadline_ms:
            self.on_time[name] += 1
            key = HoldOffKey(name, arrival.member)
            self.by_member[key] += 1
            self.slot_ms[key] += arrival.run_ms
        else:
            self.late[name] += 1

    def share_on_time(self, queue: str) -> float:
        """Return the part of the requests of a queue that were on time."""
        return self.on_time[queue] / max(self.sent[queue], 1)


@dataclass(slots=True)
class Events:
    """Callbacks in order of time."""

    now_ms: int = 0
    heap: list[tuple[int, int, Callable[[], None]]] = field(default_factory=list)
    numbers: Iterator[int] = field(default_factory=itertools.count)

    def after(self, delay_ms: int, action: Callable[[], None]) -> None:
        """Call an action after a delay."""
        entry = (self.now_ms + delay_ms, next(self.numbers), action)
        heapq.heappush(self.heap, entry)

    def run(self, until_ms: int) -> None:
        """Run all events up to a time."""
        while self.heap and self.heap[0][0] <= until_ms:
            self.now_ms, _, action = heapq.heappop(self.heap)
            action()
        self.now_ms = until_ms


def make_instances(pool: str, count: int) -> list[Instance]:
    """Return targets of 8 slots, 4 to a rack."""
    return [
        Instance(
            name=f"{pool}-{number}",
            pool=pool,
            data_centre=f"dc-{number % 3}",
            rack=f"rack-{number // 4}",
            address="",
            slots=SLOTS,
            cores=64.0,
            memory_mb=262_144,
        )
        for number in range(count)
    ]


@dataclass(slots=True)
class DispatchedFleet:
    """Pools with real dispatchers and hold-offs; targets that take their run time.

    Parameters
    ----------
    sizes : dict of str to int
        Targets by pool.
    queues : tuple of Queue
        All queues.
    """

    sizes: dict[str, int]
    queues: tuple[Queue, ...]
    seed: int = 1
    events: Events = field(default_factory=Events)
    tally: Tally = field(default_factory=Tally)
    dispatchers: dict[str, PoolDispatcher] = field(default_factory=dict)
    hold_offs: list[HoldOffs] = field(default_factory=list)
    arrivals: dict[AttemptId, Arrival] = field(default_factory=dict)
    started: set[AttemptId] = field(default_factory=set)
    loans: int = 0

    def __post_init__(self) -> None:
        rng = random.Random(self.seed)
        self.hold_offs = [HoldOffs() for _ in range(ENTRIES)]
        for pool, count in self.sizes.items():
            dispatcher = PoolDispatcher(pool, rng)
            own = tuple(one for one in self.queues if one.pool == pool)
            dispatcher.set_queues(own)
            dispatcher.set_instances(make_instances(pool, count), set(), 0)
            self.dispatchers[pool] = dispatcher

    def run(self, trace: list[Arrival], length_ms: int) -> Tally:
        """Play a trace and return what became of it."""
        for arrival in trace:
            delay_ms = arrival.at_ms
            self.events.after(delay_ms, lambda one=arrival: self._arrive(one))
        for at_ms in range(0, length_ms, TICK_MS):
            self.events.after(at_ms, self._tick)
        self.events.run(length_ms)
        return self.tally

    def _arrive(self, arrival: Arrival) -> None:
        now_ms = self.events.now_ms
        self.tally.sent[arrival.queue.name] += 1
        entry = arrival.number % ENTRIES
        key = HoldOffKey(arrival.queue.name, arrival.member)
        if self.hold_offs[entry].remaining_ms(key, now_ms):
            self.tally.refused[arrival.queue.name] += 1
            return
        attempt = AttemptId(str(entry), 1, arrival.number)
        self.arrivals[attempt] = arrival
        ticket = Ticket(
            attempt,
            str(arrival.number),
            arrival.queue.name,
            arrival.member,
            arrival.queue.deadline_ms,
            Size(),
        )
        pool = arrival.queue.pool
        self.events.after(
            HOP_MS,
            lambda: self._decide(
                self.dispatchers[pool].add_ticket(
                    str(entry), ticket, self.events.now_ms
                )
            ),
        )

    def _tick(self) -> None:
        for dispatcher in self.dispatchers.values():
            self._decide(dispatcher.tick(self.events.now_ms))

    def _decide(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            match decision:
                case GrantDecision():
                    self.events.after(HOP_MS, lambda one=decision: self._start(one))
                case RefusalDecision():
                    self._refused(decision)
                case LoanRequest(lender=lender):
                    self.events.after(
                        HOP_MS,
                        lambda pool=lender, one=decision: self._decide(
                            self.dispatchers[pool].handle_loan_request(
                                one, self.events.now_ms
                            )
                        ),
                    )
                case LoanAnswer(home=home):
                    self.loans += decision.is_granted
                    self.events.after(
                        HOP_MS,
                        lambda pool=home, one=decision: self._decide(
                            self.dispatchers[pool].handle_loan_answer(
                                one, self.events.now_ms
                            )
                        ),
                    )

    def _refused(self, decision: RefusalDecision) -> None:
        refusal = decision.refusal
        arrival = self.arrivals[refusal.attempt]
        self.tally.refused[arrival.queue.name] += 1
        key = HoldOffKey(arrival.queue.name, arrival.member)
        hold_offs = self.hold_offs[int(decision.front)]
        hold_offs.start(key, refusal.hold_off_ms, self.events.now_ms)

    def _start(self, decision: GrantDecision) -> None:
        grant = decision.grant
        arrival = self.arrivals[grant.attempt]
        if grant.attempt in self.started:
            self._report(decision, ReportKind.NOT_STARTED, 0)
            return
        self.started.add(grant.attempt)
        self.events.after(
            HOP_MS + arrival.run_ms, lambda: self._completed(decision, arrival)
        )

    def _completed(self, decision: GrantDecision, arrival: Arrival) -> None:
        self.tally.complete(arrival, self.events.now_ms + HOP_MS)
        self._report(decision, ReportKind.COMPLETED, arrival.run_ms)

    def _report(self, decision: GrantDecision, kind: ReportKind, run_ms: int) -> None:
        grant = decision.grant
        report = Report(grant.attempt, grant.pool, grant.target, kind, run_ms)
        self.events.after(
            HOP_MS,
            lambda: self._decide(
                self.dispatchers[grant.pool].handle_report(report, self.events.now_ms)
            ),
        )


@dataclass(slots=True)
class BusyTarget:
    """A target of a baseline: 8 slots and a queue of its own, first in first out."""

    running: int = 0
    waiting: deque[Arrival] = field(default_factory=deque)


@dataclass(slots=True)
class BaselineFleet:
    """One pool whose entries choose alone.

    Parameters
    ----------
    targets : int
        Targets of the pool.
    is_static : bool
        Whether each entry has a static share of the slots and goes round robin;
        else it picks the target to which it has the fewest connections.
    """

    targets: int
    is_static: bool
    events: Events = field(default_factory=Events)
    tally: Tally = field(default_factory=Tally)
    busy: list[BusyTarget] = field(default_factory=list)
    connections: list[list[int]] = field(default_factory=list)
    queues: list[deque[Arrival]] = field(default_factory=list)
    next_target: list[int] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.busy = [BusyTarget() for _ in range(self.targets)]
        self.connections = [[0] * self.targets for _ in range(ENTRIES)]
        self.queues = [deque() for _ in range(ENTRIES)]
        self.next_target = list(range(ENTRIES))

    def run(self, trace: list[Arrival], length_ms: int) -> Tally:
        """Play a trace and return what became of it."""
        for arrival in trace:
            self.events.after(arrival.at_ms, lambda one=arrival: self._arrive(one))
        self.events.run(length_ms)
        return self.tally

    def _share(self, entry: int) -> int:
        slots = self.targets * SLOTS
        return slots * (entry + 1) // ENTRIES - slots * entry // ENTRIES

    def _arrive(self, arrival: Arrival) -> None:
        self.tally.sent[arrival.queue.name] += 1
        entry = arrival.number % ENTRIES
        if self.is_static:
            self.queues[entry].append(arrival)
            self._start_static(entry)
            return
        target = min(range(self.targets), key=lambda one: self.connections[entry][one])
        self._send(entry, target, arrival)

    def _start_static(self, entry: int) -> None:
        queue = self.queues[entry]
        while queue and sum(self.connections[entry]) < self._share(entry):
            target = self.next_target[entry] % self.targets
            self.next_target[entry] += 1
            self._send(entry, target, queue.popleft())

    def _send(self, entry: int, target: int, arrival: Arrival) -> None:
        busy = self.busy[target]
        if busy.running + len(busy.waiting) >= MAX_CONNECTIONS:
            self.tally.refused[arrival.queue.name] += 1
            return
        self.connections[entry][target] += 1
        busy.waiting.append(arrival)
        self.events.after(HOP_MS, lambda: self._start(target))

    def _start(self, target: int) -> None:
        busy = self.busy[target]
        while busy.waiting and busy.running < SLOTS:
            arrival = busy.waiting.popleft()
            busy.running += 1
            self.events.after(
                arrival.run_ms, lambda one=arrival: self._completed(target, one)
            )

    def _completed(self, target: int, arrival: Arrival) -> None:
        entry = arrival.number % ENTRIES
        self.busy[target].running -= 1
        self.connections[entry][target] -= 1
        self.tally.complete(arrival, self.events.now_ms + HOP_MS)
        self._start(target)
        if self.is_static:
            self._start_static(entry)
