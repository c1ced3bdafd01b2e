"""Builds the tasks of an entry and connects them to each other."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from cornelturn.entry.dispatching import DispatchTask
from cornelturn.entry.parts import EntryParts
from cornelturn.entry.wiring import Wiring
from cornelturn.fleet.configuration import ConfigurationManager
from cornelturn.fleet.controller import Controller
from cornelturn.fleet.disruption import Disruptions
from cornelturn.fleet.drain_runner import DrainRunner, TargetCalls
from cornelturn.fleet.fencing import Fences
from cornelturn.fleet.lease import LeaseManager
from cornelturn.fleet.mover import Mover
from cornelturn.fleet.operations import FleetOperations
from cornelturn.fleet.registry import InstanceRegistry
from cornelturn.fleet.wave_rows import WaveRows
from cornelturn.fleet.wave_runner import WaveRunner
from cornelturn.peering.codec import Codec
from cornelturn.peering.hub import (
    Hub,
    PeersDiscovered,
)
from cornelturn.peering.membership import Membership
from cornelturn.requests.attempts import AttemptRunner
from cornelturn.requests.claims import Claims
from cornelturn.requests.driving import RequestDriver
from cornelturn.requests.front import Front
from cornelturn.requests.once import AtMostOnceRunner
from cornelturn.requests.outcomes import OutcomeRecorder
from cornelturn.requests.recovery import Recovery
from cornelturn.requests.repeatable import IdempotentRunner
from cornelturn.requests.retention import RETENTION_KEY, RetentionSweeper
from cornelturn.requests.service import RequestService
from cornelturn.requests.target_client import (
    TargetClient,
    checkpoint_tasks,
    count_running_tasks,
    is_healthy,
)
from cornelturn.requests.usage import UsageCounter
from cornelturn.settings.models import EntrySettings
from cornelturn.store.instances import Instances
from cornelturn.store.objects import Objects
from cornelturn.store.table import Table


@dataclass(slots=True)
class PartsBuilder:
    """Builds the parts of one entry: its tasks, clients and services.

    Parameters
    ----------
    settings : EntrySettings
        Validated settings.
    parts : EntryParts
        Record whose remaining fields are set.
    wiring : Wiring
        Passes messages between the parts.
    rng : Random
        Source of random numbers.
    on_superseded : callable
        Called when a newer incarnation has replaced this entry.
    """

    settings: EntrySettings
    parts: EntryParts
    wiring: Wiring
    rng: random.Random
    on_superseded: Callable[[], None]

    def build(self, codec: Codec) -> EntryParts:
        """Return the parts, connected to each other."""
        parts = self.parts
        self._build_platform()
        parts.hub = Hub(
            membership=Membership(parts.own),
            codec=codec,
            clock=parts.clock,
            message_counter=parts.metrics.inner_messages,
            deliver=self.wiring.deliver,
            publish=self.wiring.publish_entries,
            on_superseded=self.on_superseded,
        )
        parts.dispatch_task = DispatchTask(
            entry=parts.own.name,
            clock=parts.clock,
            metrics=parts.metrics,
            rng=self.rng,
            send=self.wiring.send,
            on_target_leaving=self.wiring.handle_target_leaving,
            on_demand=self.wiring.write_demand,
        )
        self._build_requests()
        self._build_fleet()
        return self.parts

    def _build_platform(self) -> None:
        parts = self.parts
        urls = self.settings.platform
        writer = f"{parts.own.name}.{parts.own.incarnation}"
        parts.table = Table(urls.table, writer, parts.clock, parts.metrics)
        parts.objects = Objects(urls.objects)
        parts.platform = Instances(urls.instances)

    def _build_requests(self) -> None:
        parts = self.parts
        name, incarnation = parts.own.name, parts.own.incarnation
        parts.front = Front(name, parts.clock, self.wiring.send)
        parts.target_client = TargetClient(parts.clock)
        claims = Claims(parts.table, parts.objects)
        attempts = AttemptRunner(
            name, incarnation, parts.clock, parts.front, parts.target_client
        )
        parts.usage = UsageCounter(name, incarnation, parts.table)
        self._build_request_service(claims, attempts)
        parts.retention = RetentionSweeper(
            parts.table,
            parts.clock,
            self.settings.limits.retention_ms,
            lambda: self.wiring.owns(RETENTION_KEY),
        )
        parts.recovery = Recovery(
            parts.own,
            parts.table,
            parts.clock,
            claims,
            parts.request_driver,
            lambda: parts.configuration_manager.current,
        )

    def _build_request_service(self, claims: Claims, attempts: AttemptRunner) -> None:
        parts = self.parts
        name, incarnation = parts.own.name, parts.own.incarnation
        idempotent = IdempotentRunner(parts.clock, attempts, self.rng)
        at_most_once = AtMostOnceRunner(
            parts.clock, attempts, claims, parts.target_client
        )
        outcomes = OutcomeRecorder(parts.clock, claims, parts.usage, parts.metrics)
        parts.request_driver = RequestDriver(
            entry=name,
            incarnation=incarnation,
            clock=parts.clock,
            claims=claims,
            idempotent=idempotent,
            at_most_once=at_most_once,
            outcomes=outcomes,
        )
        parts.request_service = RequestService(
            entry=name,
            incarnation=incarnation,
            clock=parts.clock,
            front=parts.front,
            claims=claims,
            idempotent=idempotent,
            at_most_once=at_most_once,
            driver=parts.request_driver,
            outcomes=outcomes,
            metrics=parts.metrics,
        )

    def _build_fleet(self) -> None:
        parts = self.parts
        parts.configuration_manager = ConfigurationManager(
            parts.table,
            parts.metrics,
            self.wiring.send,
            self.wiring.send_all,
            self.wiring.publish_configuration,
        )
        parts.registry = InstanceRegistry(
            parts.table,
            parts.platform,
            self.wiring.send_all,
            self.wiring.publish_fleet,
            self.wiring.publish_local_status,
        )
        parts.disruptions = Disruptions(parts.table, parts.registry.is_up)
        parts.operations = FleetOperations(
            parts.table,
            parts.configuration_manager,
            parts.registry,
            parts.disruptions,
            self.wiring.refresh_fleet,
        )
        self._build_controller()
        parts.lease = LeaseManager(
            own=parts.own,
            table=parts.table,
            clock=parts.clock,
            on_addresses=lambda peers: parts.hub.mailbox.post(PeersDiscovered(peers)),
            on_lapsed=self.wiring.handle_lapsed_lease,
            on_superseded=self.on_superseded,
        )

    def _build_controller(self) -> None:
        parts = self.parts
        fences = Fences(parts.own.name, parts.own.incarnation, parts.table)
        waves = WaveRows(parts.table)
        drains = DrainRunner(
            clock=parts.clock,
            fences=fences,
            disruptions=parts.disruptions,
            waves=waves,
            calls=TargetCalls(
                count_running_tasks, checkpoint_tasks, is_healthy, parts.platform.reboot
            ),
            is_drained=self.wiring.is_drained,
            find_listed=parts.registry.listed_instance,
            on_instances_changed=self.wiring.refresh_fleet,
        )
        wave_runner = WaveRunner(
            parts.clock,
            fences,
            parts.disruptions,
            waves,
            drains,
            self.wiring.refresh_fleet,
        )
        mover = Mover(
            parts.clock,
            parts.table,
            fences,
            parts.disruptions,
            parts.registry.listed_instance,
            self.wiring.refresh_fleet,
        )
        parts.controller = Controller(
            parts.own.name, fences, waves, wave_runner, drains, mover
        )
