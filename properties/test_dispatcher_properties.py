"""Properties of the dispatcher under any order of messages."""

from __future__ import annotations

import random
from collections import Counter

from hypothesis import HealthCheck, seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cornelturn.benchmarks.simulation import make_instances
from cornelturn.model.ticket import AttemptId, HeldGrant, Report, ReportKind, Ticket
from cornelturn.model.work import Queue, Size, WorkClass
from cornelturn.routing.decisions import Decision, GrantDecision, RefusalDecision
from cornelturn.routing.dispatcher import PoolDispatcher

QUEUES = (
    Queue("lookup", "phone", WorkClass.URGENT, True, 0.4, 2_000, 300),
    Queue("collection", "phone", WorkClass.LONG, False, 0.6, 60_000, 5_000),
)
FRONTS = ("entry-1", "entry-2")


class DispatcherMachine(RuleBasedStateMachine):
    """Offers, repeats, cancels, reports, loses and moves time at will."""

    def __init__(self) -> None:
        super().__init__()
        self.dispatcher = PoolDispatcher("phone", random.Random(1))
        self.dispatcher.set_queues(QUEUES)
        self.dispatcher.set_instances(make_instances("phone", 2), set(), 0)
        self.now_ms = 0
        self.offered: list[tuple[str, Ticket]] = []
        self.granted: dict[AttemptId, GrantDecision] = {}
        self.ended: list[Report] = []

    def take(self, decisions: list[Decision]) -> None:
        for one in decisions:
            match one:
                case GrantDecision():
                    known = self.granted.get(one.grant.attempt)
                    assert known is None or known.grant.target == one.grant.target
                    self.granted[one.grant.attempt] = one
                case RefusalDecision():
                    assert one.refusal.attempt not in self.granted

    @rule(
        queue=st.sampled_from(["lookup", "collection"]),
        member=st.sampled_from(["mill", "port"]),
        front=st.sampled_from(FRONTS),
        cores=st.sampled_from([0, 1, 20, 64]),
    )
    def offer(self, queue: str, member: str, front: str, cores: int) -> None:
        number = len(self.offered) + 1
        ticket = Ticket(
            AttemptId(front, 1, number),
            f"request-{number}",
            queue,
            member,
            2_000 if queue == "lookup" else 60_000,
            Size(cores=cores),
        )
        self.offered.append((front, ticket))
        self.take(self.dispatcher.offer(front, ticket, self.now_ms))

    @rule(at=st.integers(0, 50))
    def repeat_offer(self, at: int) -> None:
        live = [one for one in self.offered if one[1].attempt in self.granted]
        if live:
            front, ticket = live[at % len(live)]
            self.take(self.dispatcher.offer(front, ticket, self.now_ms))

    @rule(at=st.integers(0, 50), kind=st.sampled_from(list(ReportKind)))
    def report(self, at: int, kind: ReportKind) -> None:
        if not self.granted:
            return
        attempt = list(self.granted)[at % len(self.granted)]
        grant = self.granted.pop(attempt).grant
        report = Report(attempt, grant.pool, grant.target, kind, 300)
        self.ended.append(report)
        self.take(self.dispatcher.report(report, self.now_ms))

    @rule(at=st.integers(0, 50))
    def repeat_report(self, at: int) -> None:
        if self.ended:
            report = self.ended[at % len(self.ended)]
            self.take(self.dispatcher.report(report, self.now_ms))

    @rule(at=st.integers(0, 50))
    def cancel(self, at: int) -> None:
        if self.offered:
            _, ticket = self.offered[at % len(self.offered)]
            self.take(self.dispatcher.cancel(ticket.attempt, self.now_ms))

    @rule(front=st.sampled_from(FRONTS))
    def inventory(self, front: str) -> None:
        tickets = {ticket.attempt: ticket for _, ticket in self.offered}
        held = tuple(
            HeldGrant(tickets[attempt], one.grant.target, one.grant.width, 10)
            for attempt, one in self.granted.items()
            if one.front == front
        )
        self.take(self.dispatcher.inventory(front, 1, (), held, self.now_ms))

    @rule(step_ms=st.integers(1, 3_000))
    def tick(self, step_ms: int) -> None:
        self.now_ms += step_ms
        for front in FRONTS:
            self.inventory(front)
        self.take(self.dispatcher.tick(self.now_ms))

    @rule(name=st.sampled_from(["phone-0", "phone-1"]))
    def leave(self, name: str) -> None:
        self.dispatcher.judge.mark_leaving(name)

    @rule()
    def come_back(self) -> None:
        instances = make_instances("phone", 2)
        self.take(self.dispatcher.set_instances(instances, set(), self.now_ms))

    @invariant()
    def no_target_is_overfilled(self) -> None:
        for target in self.dispatcher.targets.targets.values():
            assert 0 <= target.used <= target.instance.slots

    @invariant()
    def every_slot_has_its_grant(self) -> None:
        held: Counter[str] = Counter()
        for grant in self.dispatcher.ledger.grants.values():
            held[grant.target] += grant.width
        for name, target in self.dispatcher.targets.targets.items():
            assert target.used == held[name]

    @invariant()
    def indices_agree(self) -> None:
        table = self.dispatcher.targets
        expected = {name: one.open_slots() for name, one in table.targets.items()}
        assert table.open_of == expected
        assert table.total_open == sum(expected.values())

    @invariant()
    def queues_count_what_they_use(self) -> None:
        for name, state in self.dispatcher.queues.items():
            grants = self.dispatcher.ledger.grants.values()
            used = sum(one.width for one in grants if one.queue == name)
            assert state.used == used
            waiting = sum(one.width for one in state.waiting.tickets.values())
            assert state.waiting_width == waiting


TestDispatcher = seed(20_261_204)(DispatcherMachine.TestCase)
TestDispatcher.settings = settings(
    max_examples=60,
    stateful_step_count=60,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)
