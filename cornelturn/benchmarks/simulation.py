"""Discrete-event simulation of real dispatchers, and of baselines, on a trace.

Time, entries and targets are simulated, so that a run is fast and reproducible.
"""

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

ENTRY_COUNT = 9
MESSAGE_DELAY_MS = 1
TICK_INTERVAL_MS = 100
SLOTS_PER_TARGET = 8
MAX_CONNECTIONS = 64


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request of a trace."""

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
        Returns the requests per second at a time in milliseconds.
    run_ms : float
        Median run time; run times have a lognormal distribution.
    """

    queue: Queue
    members: tuple[str, ...]
    rate: Callable[[int], float]
    run_ms: float
    sigma: float = 0.3


def make_trace(flows: list[Flow], duration_ms: int, seed: int) -> list[Arrival]:
    """Return the arrivals of all flows in order of time."""
    rng = random.Random(seed)
    sequence_numbers = itertools.count()
    trace: list[Arrival] = []
    for flow in flows:
        for at_ms in _arrival_times(flow, duration_ms, rng):
            run_ms = max(1, round(flow.run_ms * rng.lognormvariate(0, flow.sigma)))
            member = rng.choice(flow.members)
            trace.append(
                Arrival(at_ms, flow.queue, member, run_ms, next(sequence_numbers))
            )
    return sorted(trace, key=lambda arrival: (arrival.at_ms, arrival.number))


def _arrival_times(flow: Flow, duration_ms: int, rng: random.Random) -> Iterator[int]:
    step_ms = 100
    for start_ms in range(0, duration_ms, step_ms):
        expected = flow.rate(start_ms) * step_ms / 1_000
        offset = rng.expovariate(1) if expected > 0 else expected + 1
        while offset < expected:
            yield start_ms + int(offset / expected * step_ms)
            offset += rng.expovariate(1)


@dataclass(slots=True)
class OutcomeCounts:
    """Counts of request outcomes, by queue and by member."""

    sent: Counter[str] = field(default_factory=Counter)
    on_time: Counter[str] = field(default_factory=Counter)
    late: Counter[str] = field(default_factory=Counter)
    refused: Counter[str] = field(default_factory=Counter)
    by_member: Counter[HoldOffKey] = field(default_factory=Counter)
    slot_ms: Counter[HoldOffKey] = field(default_factory=Counter)

    def complete(self, arrival: Arrival, now_ms: int) -> None:
        """Count a completed request as on time or late."""
        name = arrival.queue.name
        if now_ms <= arrival.at_ms + arrival.queue.deadline_ms:
            self.on_time[name] += 1
            key = HoldOffKey(name, arrival.member)
            self.by_member[key] += 1
            self.slot_ms[key] += arrival.run_ms
        else:
            self.late[name] += 1

    def share_on_time(self, queue: str) -> float:
        """Return the share of the requests of a queue that were on time."""
        return self.on_time[queue] / max(self.sent[queue], 1)


@dataclass(slots=True)
class EventQueue:
    """Clock and queue of scheduled callbacks, in order of time."""

    now_ms: int = 0
    scheduled: list[tuple[int, int, Callable[[], None]]] = field(default_factory=list)
    sequence_numbers: Iterator[int] = field(default_factory=itertools.count)

    def call_later(self, delay_ms: int, callback: Callable[[], None]) -> None:
        """Schedule a callback after a delay."""
        entry = (self.now_ms + delay_ms, next(self.sequence_numbers), callback)
        heapq.heappush(self.scheduled, entry)

    def run(self, until_ms: int) -> None:
        """Run the callbacks that are due up to a time."""
        while self.scheduled and self.scheduled[0][0] <= until_ms:
            self.now_ms, _, callback = heapq.heappop(self.scheduled)
            callback()
        self.now_ms = until_ms


def make_instances(pool: str, count: int) -> list[Instance]:
    """Return the instances of a pool, with 8 slots each and 4 to a rack."""
    return [
        Instance(
            name=f"{pool}-{number}",
            pool=pool,
            data_centre=f"dc-{number % 3}",
            rack=f"rack-{number // 4}",
            address=None,
            slots=SLOTS_PER_TARGET,
            cores=64.0,
            memory_mb=262_144,
        )
        for number in range(count)
    ]


@dataclass(slots=True)
class DispatchedFleet:
    """Pools with real dispatchers and hold-offs, and simulated targets.

    Parameters
    ----------
    sizes : dict of str to int
        Number of targets by pool.
    queues : tuple of Queue
        Queues of all pools.
    """

    sizes: dict[str, int]
    queues: tuple[Queue, ...]
    seed: int = 1
    event_queue: EventQueue = field(default_factory=EventQueue)
    counts: OutcomeCounts = field(default_factory=OutcomeCounts)
    dispatchers: dict[str, PoolDispatcher] = field(default_factory=dict)
    hold_offs: list[HoldOffs] = field(default_factory=list)
    arrivals: dict[AttemptId, Arrival] = field(default_factory=dict)
    started: set[AttemptId] = field(default_factory=set)
    loans: int = 0

    def __post_init__(self) -> None:
        rng = random.Random(self.seed)
        self.hold_offs = [HoldOffs() for _ in range(ENTRY_COUNT)]
        for pool, count in self.sizes.items():
            dispatcher = PoolDispatcher(pool, rng)
            pool_queues = tuple(queue for queue in self.queues if queue.pool == pool)
            dispatcher.set_queues(pool_queues)
            dispatcher.set_instances(make_instances(pool, count), set(), 0)
            self.dispatchers[pool] = dispatcher

    def run(self, trace: list[Arrival], duration_ms: int) -> OutcomeCounts:
        """Simulate a trace and return the outcomes of its requests."""
        for arrival in trace:
            delay_ms = arrival.at_ms
            self.event_queue.call_later(
                delay_ms, lambda arrival=arrival: self._handle_arrival(arrival)
            )
        for at_ms in range(0, duration_ms, TICK_INTERVAL_MS):
            self.event_queue.call_later(at_ms, self._tick)
        self.event_queue.run(duration_ms)
        return self.counts

    def _handle_arrival(self, arrival: Arrival) -> None:
        now_ms = self.event_queue.now_ms
        self.counts.sent[arrival.queue.name] += 1
        entry = arrival.number % ENTRY_COUNT
        key = HoldOffKey(arrival.queue.name, arrival.member)
        if self.hold_offs[entry].remaining_ms(key, now_ms):
            self.counts.refused[arrival.queue.name] += 1
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
        self.event_queue.call_later(
            MESSAGE_DELAY_MS,
            lambda: self._apply_decisions(
                self.dispatchers[pool].add_ticket(
                    str(entry), ticket, self.event_queue.now_ms
                )
            ),
        )

    def _tick(self) -> None:
        for dispatcher in self.dispatchers.values():
            self._apply_decisions(dispatcher.tick(self.event_queue.now_ms))

    def _apply_decisions(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            match decision:
                case GrantDecision():
                    self.event_queue.call_later(
                        MESSAGE_DELAY_MS, lambda grant=decision: self._start_run(grant)
                    )
                case RefusalDecision():
                    self._handle_refusal(decision)
                case LoanRequest(lender=lender):
                    self.event_queue.call_later(
                        MESSAGE_DELAY_MS,
                        lambda pool=lender, request=decision: self._apply_decisions(
                            self.dispatchers[pool].handle_loan_request(
                                request, self.event_queue.now_ms
                            )
                        ),
                    )
                case LoanAnswer(home=home):
                    self.loans += decision.is_granted
                    self.event_queue.call_later(
                        MESSAGE_DELAY_MS,
                        lambda pool=home, answer=decision: self._apply_decisions(
                            self.dispatchers[pool].handle_loan_answer(
                                answer, self.event_queue.now_ms
                            )
                        ),
                    )

    def _handle_refusal(self, decision: RefusalDecision) -> None:
        refusal = decision.refusal
        arrival = self.arrivals[refusal.attempt]
        self.counts.refused[arrival.queue.name] += 1
        key = HoldOffKey(arrival.queue.name, arrival.member)
        hold_offs = self.hold_offs[int(decision.front)]
        hold_offs.start(key, refusal.hold_off_ms, self.event_queue.now_ms)

    def _start_run(self, decision: GrantDecision) -> None:
        grant = decision.grant
        arrival = self.arrivals[grant.attempt]
        if grant.attempt in self.started:
            self._send_report(decision, ReportKind.NOT_STARTED, 0)
            return
        self.started.add(grant.attempt)
        self.event_queue.call_later(
            MESSAGE_DELAY_MS + arrival.run_ms,
            lambda: self._handle_completion(decision, arrival),
        )

    def _handle_completion(self, decision: GrantDecision, arrival: Arrival) -> None:
        self.counts.complete(arrival, self.event_queue.now_ms + MESSAGE_DELAY_MS)
        self._send_report(decision, ReportKind.COMPLETED, arrival.run_ms)

    def _send_report(
        self, decision: GrantDecision, kind: ReportKind, run_ms: int
    ) -> None:
        grant = decision.grant
        report = Report(grant.attempt, grant.pool, grant.target, kind, run_ms)
        self.event_queue.call_later(
            MESSAGE_DELAY_MS,
            lambda: self._apply_decisions(
                self.dispatchers[grant.pool].handle_report(
                    report, self.event_queue.now_ms
                )
            ),
        )


@dataclass(slots=True)
class BaselineTarget:
    """A target of a baseline, with 8 slots and a FIFO queue."""

    running: int = 0
    waiting: deque[Arrival] = field(default_factory=deque)


@dataclass(slots=True)
class BaselineFleet:
    """Baseline: one pool whose entries choose targets without coordination.

    Parameters
    ----------
    target_count : int
        Number of targets of the pool.
    is_static : bool
        Whether each entry has a static share of the slots and uses round robin;
        otherwise it chooses the target to which it has the fewest connections.
    """

    target_count: int
    is_static: bool
    event_queue: EventQueue = field(default_factory=EventQueue)
    counts: OutcomeCounts = field(default_factory=OutcomeCounts)
    targets: list[BaselineTarget] = field(default_factory=list)
    connections: list[list[int]] = field(default_factory=list)
    queues: list[deque[Arrival]] = field(default_factory=list)
    next_target: list[int] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.targets = [BaselineTarget() for _ in range(self.target_count)]
        self.connections = [[0] * self.target_count for _ in range(ENTRY_COUNT)]
        self.queues = [deque() for _ in range(ENTRY_COUNT)]
        self.next_target = list(range(ENTRY_COUNT))

    def run(self, trace: list[Arrival], duration_ms: int) -> OutcomeCounts:
        """Simulate a trace and return the outcomes of its requests."""
        for arrival in trace:
            self.event_queue.call_later(
                arrival.at_ms, lambda arrival=arrival: self._handle_arrival(arrival)
            )
        self.event_queue.run(duration_ms)
        return self.counts

    def _slot_share(self, entry: int) -> int:
        slots = self.target_count * SLOTS_PER_TARGET
        return slots * (entry + 1) // ENTRY_COUNT - slots * entry // ENTRY_COUNT

    def _handle_arrival(self, arrival: Arrival) -> None:
        self.counts.sent[arrival.queue.name] += 1
        entry = arrival.number % ENTRY_COUNT
        if self.is_static:
            self.queues[entry].append(arrival)
            self._send_within_share(entry)
            return
        target = min(
            range(self.target_count), key=lambda index: self.connections[entry][index]
        )
        self._send(entry, target, arrival)

    def _send_within_share(self, entry: int) -> None:
        queue = self.queues[entry]
        while queue and sum(self.connections[entry]) < self._slot_share(entry):
            target = self.next_target[entry] % self.target_count
            self.next_target[entry] += 1
            self._send(entry, target, queue.popleft())

    def _send(self, entry: int, target: int, arrival: Arrival) -> None:
        state = self.targets[target]
        if state.running + len(state.waiting) >= MAX_CONNECTIONS:
            self.counts.refused[arrival.queue.name] += 1
            return
        self.connections[entry][target] += 1
        state.waiting.append(arrival)
        self.event_queue.call_later(
            MESSAGE_DELAY_MS, lambda: self._start_waiting(target)
        )

    def _start_waiting(self, target: int) -> None:
        state = self.targets[target]
        while state.waiting and state.running < SLOTS_PER_TARGET:
            arrival = state.waiting.popleft()
            state.running += 1
            self.event_queue.call_later(
                arrival.run_ms,
                lambda arrival=arrival: self._handle_completion(target, arrival),
            )

    def _handle_completion(self, target: int, arrival: Arrival) -> None:
        entry = arrival.number % ENTRY_COUNT
        self.targets[target].running -= 1
        self.connections[entry][target] -= 1
        self.counts.complete(arrival, self.event_queue.now_ms + MESSAGE_DELAY_MS)
        self._start_waiting(target)
        if self.is_static:
            self._send_within_share(entry)
