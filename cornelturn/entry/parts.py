"""The record of the tasks, clients and services of an entry."""

from __future__ import annotations

from dataclasses import dataclass, field

from cornelturn.clock import Clock
from cornelturn.entry.dispatching import DispatchTask
from cornelturn.events.metrics import Metrics
from cornelturn.fleet.configuration import ConfigurationManager
from cornelturn.fleet.controller import Controller
from cornelturn.fleet.disruption import Disruptions
from cornelturn.fleet.lease import LeaseManager
from cornelturn.fleet.operations import FleetOperations
from cornelturn.fleet.registry import InstanceRegistry
from cornelturn.peering.hub import Hub
from cornelturn.peering.messages import PeerAddress
from cornelturn.requests.driving import RequestDriver
from cornelturn.requests.front import Front
from cornelturn.requests.recovery import Recovery
from cornelturn.requests.retention import RetentionSweeper
from cornelturn.requests.service import RequestService
from cornelturn.requests.target_client import TargetClient
from cornelturn.requests.usage import UsageCounter
from cornelturn.store.instances import Instances
from cornelturn.store.objects import Objects
from cornelturn.store.table import Table


@dataclass(slots=True)
class EntryParts:
    """The tasks, clients and services of one entry.

    Parameters
    ----------
    own : PeerAddress
        Address of this entry.
    clock : Clock
        Clock of the process.
    metrics : Metrics
        Metrics of the process.
    """

    own: PeerAddress
    clock: Clock
    metrics: Metrics
    hub: Hub = field(init=False)
    table: Table = field(init=False)
    objects: Objects = field(init=False)
    platform: Instances = field(init=False)
    target_client: TargetClient = field(init=False)
    front: Front = field(init=False)
    request_driver: RequestDriver = field(init=False)
    request_service: RequestService = field(init=False)
    dispatch_task: DispatchTask = field(init=False)
    configuration_manager: ConfigurationManager = field(init=False)
    registry: InstanceRegistry = field(init=False)
    lease: LeaseManager = field(init=False)
    recovery: Recovery = field(init=False)
    disruptions: Disruptions = field(init=False)
    operations: FleetOperations = field(init=False)
    controller: Controller = field(init=False)
    usage: UsageCounter = field(init=False)
    retention: RetentionSweeper = field(init=False)
