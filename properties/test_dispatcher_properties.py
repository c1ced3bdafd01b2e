"""Invariants of the dispatcher under any order of messages."""

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
    """Sends, repeats, cancels and reports tickets, and advances time, in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.dispatcher = PoolDispatcher("phone", random.Random(1))
        self.dispatcher.set_queues(QUEUES)
        self.dispatcher.set_instances(make_instances("phone", 2), set(), 0)
        self.now_ms = 0
        self.offered: list[tuple[str, Ticket]] = []
        self.granted: dict[AttemptId, GrantDecision] = {}
        self.past_reports: list[Report] = []

    def record(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            match decision:
                case GrantDecision():
                    previous = self.granted.get(decision.grant.attempt)
                    assert (
                        previous is None
                        or previous.grant.target == decision.grant.target
                    )
                    self.granted[decision.grant.attempt] = decision
                case RefusalDecision():
                    assert decision.refusal.attempt not in self.granted

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
        self.record(self.dispatcher.add_ticket(front, ticket, self.now_ms))

    @rule(index=st.integers(0, 50))
    def repeat_offer(self, index: int) -> None:
        granted_offers = [
            offer for offer in self.offered if offer[1].attempt in self.granted
        ]
        if granted_offers:
            front, ticket = granted_offers[index % len(granted_offers)]
            self.record(self.dispatcher.add_ticket(front, ticket, self.now_ms))

    @rule(index=st.integers(0, 50), kind=st.sampled_from(list(ReportKind)))
    def report(self, index: int, kind: ReportKind) -> None:
        if not self.granted:
            return
        attempt = list(self.granted)[index % len(self.granted)]
        grant = self.granted.pop(attempt).grant
        report = Report(attempt, grant.pool, grant.target, kind, 300)
        self.past_reports.append(report)
        self.record(self.dispatcher.handle_report(report, self.now_ms))

    @rule(index=st.integers(0, 50))
    def repeat_report(self, index: int) -> None:
        if self.past_reports:
            report = self.past_reports[index % len(self.past_reports)]
            self.record(self.dispatcher.handle_report(report, self.now_ms))

    @rule(index=st.integers(0, 50))
    def cancel(self, index: int) -> None:
        if self.offered:
            _, ticket = self.offered[index % len(self.offered)]
            self.record(self.dispatcher.cancel_ticket(ticket.attempt, self.now_ms))

    @rule(front=st.sampled_from(FRONTS))
    def inventory(self, front: str) -> None:
        tickets = {ticket.attempt: ticket for _, ticket in self.offered}
        held = tuple(
            HeldGrant(tickets[attempt], granted.grant.target, granted.grant.width, 10)
            for attempt, granted in self.granted.items()
            if granted.front == front
        )
        self.record(self.dispatcher.apply_inventory(front, 1, (), held, self.now_ms))

    @rule(step_ms=st.integers(1, 3_000))
    def tick(self, step_ms: int) -> None:
        self.now_ms += step_ms
        for front in FRONTS:
            self.inventory(front)
        self.record(self.dispatcher.tick(self.now_ms))

    @rule(name=st.sampled_from(["phone-0", "phone-1"]))
    def mark_leaving(self, name: str) -> None:
        self.dispatcher.health_monitor.mark_leaving(name)

    @rule()
    def clear_leaving(self) -> None:
        instances = make_instances("phone", 2)
        self.record(self.dispatcher.set_instances(instances, set(), self.now_ms))

    @invariant()
    def no_target_is_overcommitted(self) -> None:
        for target in self.dispatcher.targets.by_name.values():
            assert 0 <= target.used_slots <= target.instance.slots

    @invariant()
    def used_slots_match_grants(self) -> None:
        held: Counter[str] = Counter()
        for grant in self.dispatcher.ledger.grants.values():
            held[grant.target] += grant.width
        for name, target in self.dispatcher.targets.by_name.items():
            assert target.used_slots == held[name]

    @invariant()
    def open_slot_counts_match_targets(self) -> None:
        table = self.dispatcher.targets
        expected = {name: target.open_slots() for name, target in table.by_name.items()}
        assert table.open_slots_by_target == expected
        assert table.total_open_slots == sum(expected.values())

    @invariant()
    def queue_slot_counts_match_grants(self) -> None:
        for name, state in self.dispatcher.queues.items():
            grants = self.dispatcher.ledger.grants.values()
            used = sum(grant.width for grant in grants if grant.queue == name)
            assert state.used_slots == used
            waiting = sum(ticket.width for ticket in state.waiting.tickets.values())
            assert state.waiting_slots == waiting


TestDispatcher = seed(20_261_204)(DispatcherMachine.TestCase)
TestDispatcher.settings = settings(
    max_examples=60,
    stateful_step_count=60,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)
