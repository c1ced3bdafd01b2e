"""The owner of the machines while this entry holds the duty."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from cornelturn.clock import Clock
from cornelturn.entry.fleet_wide_duty import FleetWideDuty
from cornelturn.entry.job_ports import Ports
from cornelturn.events.job_metrics import JobMetrics
from cornelturn.events.process_work import ProcessPart
from cornelturn.fleet.cordons import CordonRequests, initial_request_number
from cornelturn.fleet.machine_owner import MachineMessage, MachineOwner, WaveRequested
from cornelturn.fleet.machines import MachineOrders
from cornelturn.fleet.resizing import Resizing
from cornelturn.fleet.upkeep import Upkeep
from cornelturn.model.routes import RoutingTable
from cornelturn.ownership.keeper import DutyKeeper
from cornelturn.ownership.messages import DutyTaken, PoolSizesReported
from cornelturn.peering.messages import CordonWanted, TargetsChanged


@dataclass(slots=True)
class MachineDuty(FleetWideDuty[MachineOwner]):
    """Creates the owner when the duty is taken, and passes waves and loads to it.

    Parameters
    ----------
    send_to_holder : callable
        Sends a message to the entry that holds a duty.
    waves : dict
        First message about each wave, by its number, for later owners.
    """

    part = ProcessPart.MACHINES
    ports: Ports
    clock: Clock
    metrics: JobMetrics
    routing: Callable[[], RoutingTable]
    send_to_holder: Callable[[str, CordonWanted | TargetsChanged], None]
    waves: dict[int, WaveRequested] = field(default_factory=dict)

    def new_owner(self, taken: DutyTaken, keeper: DutyKeeper) -> MachineOwner:
        """Return an owner that knows all waves."""
        store, clock = self.ports.store, self.clock
        owner = MachineOwner(
            orders=MachineOrders(
                self.ports.machines,
                taken.generation,
                keeper.authority.may_act,
                self.metrics,
            ),
            upkeep=Upkeep(store, clock, self.ports.wave_status),
            resizing=Resizing(store, clock, metrics=self.metrics),
            cordons=CordonRequests(initial_request_number(taken.generation)),
            clock=clock,
            send=lambda message: self.send_to_holder(message.pool, message),
            routing_table=self.routing,
            on_base_sizes=lambda machines: keeper.mailbox.post(
                PoolSizesReported(machines)
            ),
        )
        for message in self.waves.values():
            owner.mailbox.post(message)
        return owner

    def add_wave(self, message: WaveRequested) -> None:
        """Send a wave of upkeep to the current and later owners."""
        self.waves.setdefault(message.wave.number, message)
        self.post(message)

    def post(self, message: MachineMessage) -> None:
        """Send a message to the owner, if it runs in this entry."""
        if self.owner is not None:
            self.owner.mailbox.post(message)
