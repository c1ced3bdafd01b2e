"""The task that runs the dispatchers of the pools that this entry owns."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from cornelturn.clock import Clock
from cornelturn.entry.demand import DemandMeter
from cornelturn.events.log import log_event
from cornelturn.events.mailbox import Mailbox
from cornelturn.events.metrics import Metrics
from cornelturn.fleet.moves import PoolDemand
from cornelturn.fleet.registry import FleetView
from cornelturn.model.configuration import Configuration
from cornelturn.peering.dispatch_messages import (
    Cancel,
    Granted,
    Inventory,
    InventoryWanted,
    LoanAnswered,
    LoanAsked,
    Offer,
    Refused,
    Reported,
)
from cornelturn.peering.hub import LiveEntries, ReceivedMessage
from cornelturn.peering.membership import HEARTBEAT_INTERVAL_MS, PEER_TIMEOUT_MS
from cornelturn.peering.messages import InnerMessage
from cornelturn.routing.decisions import (
    Decision,
    GrantDecision,
    HealthChange,
    LoanAnswer,
    LoanRequest,
    RefusalDecision,
    TargetChange,
)
from cornelturn.routing.dispatcher import PoolDispatcher
from cornelturn.routing.loans import loan_answer
from cornelturn.routing.rendezvous import rendezvous_owner

TICK_INTERVAL_S = 0.1
RECOVERY_LIMIT_MS = 1_000
STALL_THRESHOLD_MS = PEER_TIMEOUT_MS - HEARTBEAT_INTERVAL_MS
"""Time without a handled message after which other entries may have timed this one
out and taken over its pools."""


@dataclass(frozen=True, slots=True)
class TickDue:
    """The timer for expiring tickets, ejections and grants has fired."""


DispatchMessage = ReceivedMessage | LiveEntries | Configuration | FleetView | TickDue


@dataclass(slots=True)
class DispatchTask:
    """Runs one `PoolDispatcher` for each pool that this entry owns.

    Parameters
    ----------
    entry : str
        Name of this entry.
    send : callable
        Sends an inner message to the named entry.
    on_target_leaving : callable
        Called with the name of a target that has reported that it is leaving.
    on_demand : callable
        Called with the average demand of a pool, at most once an interval.
    last_message_ms : int
        When the last message was handled.
    """

    entry: str
    clock: Clock
    metrics: Metrics
    rng: random.Random
    send: Callable[[str, InnerMessage], None]
    on_target_leaving: Callable[[str], None]
    on_demand: Callable[[PoolDemand], None]
    mailbox: Mailbox[DispatchMessage] = field(default_factory=Mailbox)
    dispatchers: dict[str, PoolDispatcher] = field(default_factory=dict)
    demand_meters: dict[str, DemandMeter] = field(default_factory=dict)
    live: LiveEntries = field(
        default_factory=lambda: LiveEntries(frozenset(), frozenset())
    )
    configuration: Configuration = field(default_factory=Configuration)
    fleet: FleetView = field(default_factory=lambda: FleetView((), frozenset()))

    recovery_numbers: Iterator[int] = field(default_factory=lambda: itertools.count(1))
    last_message_ms: int = 0

    async def run(self) -> None:
        """Handle messages until cancelled."""
        async for message in self.mailbox.messages():
            self._recover_after_stall()
            self._handle(message)

    def _recover_after_stall(self) -> None:
        """Recover all pools if the process stalled since the last message."""
        now_ms = self.clock.now_ms()
        gap_ms, self.last_message_ms = now_ms - self.last_message_ms, now_ms
        if gap_ms > STALL_THRESHOLD_MS:
            for name, dispatcher in self.dispatchers.items():
                log_event("pool_held_up", pool=name, ms=gap_ms)
                self._start_recovery(dispatcher)

    def _handle(self, message: DispatchMessage) -> None:
        match message:
            case ReceivedMessage():
                self._receive(message)
            case LiveEntries():
                self._update_entries(message)
            case Configuration():
                self.configuration = message
                self._update_owned_pools()
                self._apply_configuration()
            case FleetView():
                self.fleet = message
                self._apply_fleet()
            case TickDue():
                self._tick()

    # Ownership

    def _update_entries(self, live: LiveEntries) -> None:
        lost_entries = (self.live.ready | self.live.peers) - (live.ready | live.peers)
        self.live = live
        for dispatcher in self.dispatchers.values():
            for front in lost_entries:
                dispatcher.remove_front(front)
        self._update_owned_pools()

    def _update_owned_pools(self) -> None:
        owned = {
            pool.name
            for pool in self.configuration.pools
            if rendezvous_owner(pool.name, self.live.ready) == self.entry
        }
        for name in set(self.dispatchers) - owned:
            del self.dispatchers[name]
            del self.demand_meters[name]
            log_event("pool_released", pool=name)
        for name in sorted(owned - set(self.dispatchers)):
            self._start_pool(name)

    def _start_pool(self, name: str) -> None:
        dispatcher = PoolDispatcher(name, self.rng)
        self.dispatchers[name] = dispatcher
        self.demand_meters[name] = DemandMeter(name, self.clock.now_ms())
        self._start_recovery(dispatcher)
        log_event("pool_owned", pool=name, fronts=len(dispatcher.expected_fronts))
        self._configure(dispatcher)

    def _start_recovery(self, dispatcher: PoolDispatcher) -> None:
        """Request the inventories of all live fronts, for which the pool then waits."""
        fronts = set(self.live.peers) | {self.entry}
        recovery = next(self.recovery_numbers)
        now_ms = self.clock.now_ms()
        dispatcher.start_recovery(fronts, now_ms, RECOVERY_LIMIT_MS, recovery)
        for front in sorted(fronts):
            self.send(front, InventoryWanted(dispatcher.pool, recovery))

    def _apply_configuration(self) -> None:
        for dispatcher in self.dispatchers.values():
            self._configure(dispatcher)

    def _configure(self, dispatcher: PoolDispatcher) -> None:
        pool = self.configuration.pool(dispatcher.pool)
        if pool is not None:
            dispatcher.health_monitor.max_ejected = pool.max_unavailable
        dispatcher.set_queues(self.configuration.queues_of(dispatcher.pool))
        self._set_instances(dispatcher)

    def _apply_fleet(self) -> None:
        for dispatcher in self.dispatchers.values():
            self._set_instances(dispatcher)

    def _set_instances(self, dispatcher: PoolDispatcher) -> None:
        pool_instances = [
            instance
            for instance in self.fleet.instances
            if instance.pool == dispatcher.pool
        ]
        leaving = set(self.fleet.leaving)
        now_ms = self.clock.now_ms()
        self._apply_decisions(dispatcher.set_instances(pool_instances, leaving, now_ms))

    # Messages

    def _receive(self, received: ReceivedMessage) -> None:
        now_ms = self.clock.now_ms()
        pool = _pool_of(received.message)
        dispatcher = self.dispatchers.get(pool)
        if dispatcher is None:
            self._decline_loan(received)
            return
        match received.message:
            case Offer(_, ticket):
                decisions = dispatcher.add_ticket(received.sender, ticket, now_ms)
            case Cancel(_, attempt):
                decisions = dispatcher.cancel_ticket(attempt, now_ms)
            case Reported(report):
                decisions = dispatcher.handle_report(report, now_ms)
            case Inventory(_, waiting, held, recovery):
                sender, incarnation = received.sender, received.incarnation
                decisions = dispatcher.apply_inventory(
                    sender, incarnation, waiting, held, now_ms, recovery
                )
            case LoanAsked(request):
                decisions = dispatcher.handle_loan_request(request, now_ms)
            case LoanAnswered(loan):
                decisions = dispatcher.handle_loan_answer(loan, now_ms)
            case _:
                decisions = []
        self._apply_decisions(decisions)

    def _decline_loan(self, received: ReceivedMessage) -> None:
        """Decline a loan at once; other senders find the new owner by themselves."""
        match received.message:
            case LoanAsked(request):
                declined = LoanAnswered(loan_answer(request, False))
                self._send_to_owner(request.home, declined)
            case _:
                pass

    def _tick(self) -> None:
        now_ms = self.clock.now_ms()
        for name, dispatcher in self.dispatchers.items():
            self._apply_decisions(dispatcher.tick(now_ms))
            states = list(dispatcher.queues.values())
            demand = self.demand_meters[name].observe(states, now_ms)
            if demand is not None:
                self.on_demand(demand)
            waiting = sum(len(queue.waiting) for queue in states)
            self.metrics.waiting_tickets.labels(name).set(waiting)
            self.metrics.open_slots.labels(name).set(
                dispatcher.targets.total_open_slots
            )

    # Decisions

    def _apply_decisions(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            match decision:
                case GrantDecision():
                    self._grant(decision)
                case RefusalDecision():
                    self._refuse(decision)
                case LoanRequest(home, lender):
                    log_event(
                        "loan_asked",
                        pool=home,
                        lender=lender,
                        attempt=str(decision.ticket.attempt),
                    )
                    self._send_to_owner(lender, LoanAsked(decision))
                case LoanAnswer(home):
                    self._send_to_owner(home, LoanAnswered(decision))
                case HealthChange():
                    self._handle_health_change(decision)

    def _grant(self, decision: GrantDecision) -> None:
        grant = decision.grant
        log_event(
            "grant",
            pool=grant.pool,
            queue=decision.queue,
            member=decision.member,
            attempt=str(grant.attempt),
            target=grant.target,
            width=grant.width,
            reason=decision.reason,
        )
        self.metrics.grants.labels(grant.pool, decision.reason.value).inc()
        self.send(decision.front, Granted(grant))

    def _refuse(self, decision: RefusalDecision) -> None:
        refusal = decision.refusal
        log_event(
            "refuse",
            queue=decision.queue,
            member=decision.member,
            attempt=str(refusal.attempt),
            reason=refusal.reason,
            hold_off_ms=refusal.hold_off_ms,
        )
        queue = self.configuration.queue(decision.queue)
        pool = queue.pool if queue is not None else "-"
        self.metrics.refusals.labels(pool, refusal.reason.value).inc()
        self.send(decision.front, Refused(refusal))

    def _handle_health_change(self, change: HealthChange) -> None:
        log_event(
            "target_health",
            pool=change.pool,
            target=change.target,
            change=change.change,
            reason=change.reason,
        )
        if change.change is TargetChange.LEAVING:
            self.on_target_leaving(change.target)

    def _send_to_owner(self, pool: str, message: InnerMessage) -> None:
        owner = rendezvous_owner(pool, self.live.ready)
        if owner is not None:
            self.send(owner, message)


def _pool_of(message: InnerMessage) -> str:
    match message:
        case Offer(pool) | Cancel(pool) | Inventory(pool):
            return pool
        case Reported(report):
            return report.pool
        case LoanAsked(request):
            return request.lender
        case LoanAnswered(loan):
            return loan.home
        case _:
            return ""
