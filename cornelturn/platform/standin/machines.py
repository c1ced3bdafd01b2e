"""Stand-in for the platform's machine service: list, moves and upkeep."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
from blacksheep import Application, Request, Response

from cornelturn.clock import to_seconds
from cornelturn.http.routes import add_route, header_text, new_application
from cornelturn.platform.documents import WireMachine, WireMachines
from cornelturn.platform.machines import FENCE_HEADER, WireMove, WireUpkeep
from cornelturn.platform.standin.answers import json_response
from cornelturn.platform.targets import WireRefusal


@dataclass(slots=True)
class MachineRecord:
    """A machine; ``fence`` is the highest fence token of an order so far."""

    name: str
    pool: str
    worker: str
    state: str = "up"
    fence: int = 0
    upkeep_count: int = 0


@dataclass(slots=True)
class MachinesStandin:
    """Machines whose upkeep or move ends all runs on them.

    Parameters
    ----------
    remove_worker, replace_worker : callable
        Ends a worker; starts a new worker on a machine and returns its name.
    standby_pools : set of str
        Pools whose machines are switched off and run no worker.
    order_delay_ms : int
        Delay before an order is executed and answered.
    max_down : int
        Largest number of machines that were down at the same time.
    """

    remove_worker: Callable[[str], None]
    replace_worker: Callable[[str], str]
    upkeep_ms: int = 2_000
    move_ms: int = 1_500
    order_delay_ms: int = 0
    standby_pools: set[str] = field(default_factory=set)
    move_count: int = 0
    machines: dict[str, MachineRecord] = field(default_factory=dict)
    max_down: int = 0

    def application(self) -> Application:
        """Return the web application of the machine service."""
        app = new_application()
        add_route(app, "GET", "/machines", self.list_all)
        add_route(app, "POST", "/machine-upkeep", self.upkeep)
        add_route(app, "POST", "/machine-move", self.move)
        return app

    async def list_all(self, request: Request) -> Response:
        """Return all machines."""
        machines = tuple(
            WireMachine(machine.name, machine.pool, machine.state, machine.worker)
            for machine in self.machines.values()
        )
        return json_response(200, WireMachines(machines))

    async def upkeep(self, request: Request) -> Response:
        """Take a machine down for upkeep; a repeated order has no effect."""
        wire = msgspec.json.decode(await request.read() or b"", type=WireUpkeep)
        await asyncio.sleep(to_seconds(self.order_delay_ms))
        machine = self.machines.get(wire.host_id)
        refusal = self._refusal(request, machine)
        if refusal is not None:
            return refusal
        if machine.upkeep_count:
            return json_response(200, {})
        machine.upkeep_count += 1
        machine.state = "upkeep"
        self.remove_worker(machine.worker)
        down_count = sum(record.state == "upkeep" for record in self.machines.values())
        self.max_down = max(self.max_down, down_count)
        self._schedule_return(machine, self.upkeep_ms)
        return json_response(200, {})

    async def move(self, request: Request) -> Response:
        """Move a machine to another pool."""
        wire = msgspec.json.decode(await request.read() or b"", type=WireMove)
        await asyncio.sleep(to_seconds(self.order_delay_ms))
        machine = self.machines.get(wire.host_id)
        refusal = self._refusal(request, machine)
        if refusal is not None:
            return refusal
        if machine.pool == wire.pool:
            return json_response(200, {})
        if machine.state != "up":
            return json_response(409, WireRefusal("busy"))
        self.move_count += 1
        machine.state = "moving"
        machine.pool = wire.pool
        if machine.worker:
            self.remove_worker(machine.worker)
        self._schedule_return(machine, self.move_ms)
        return json_response(200, {})

    def _refusal(
        self, request: Request, machine: MachineRecord | None
    ) -> Response | None:
        if machine is None:
            return json_response(400, {})
        fence = int(header_text(request, FENCE_HEADER))
        if fence < machine.fence:
            return json_response(409, WireRefusal("fence"))
        machine.fence = fence
        return None

    def _schedule_return(self, machine: MachineRecord, duration_ms: int) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(to_seconds(duration_ms), self._bring_up, machine)

    def _bring_up(self, machine: MachineRecord) -> None:
        is_off = machine.pool in self.standby_pools
        machine.worker = "" if is_off else self.replace_worker(machine.name)
        machine.state = "up"
