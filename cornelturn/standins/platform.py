"""Stand-in for the platform: table service, object store and instance list."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from enum import StrEnum

import msgspec
from blacksheep import Application, Content, Request, Response

from cornelturn.clock import to_seconds
from cornelturn.http.problems import json_response
from cornelturn.http.routes import add_route, new_application, path_value, query_value
from cornelturn.http.server import HttpServer
from cornelturn.standins.table import MemoryTable
from cornelturn.store.http_client import call, open_session
from cornelturn.store.wire import (
    WireCommitted,
    WireConflict,
    WireInstance,
    WirePage,
    WireTransaction,
)

TARGET_CALL_TIMEOUT_MS = 1_000


class Fault(StrEnum):
    """Fault of the platform.

    With LOSE_ANSWERS, transactions are committed but answered with status 503; with
    SILENT, calls of the table are never answered.
    """

    NONE = "none"
    DOWN = "down"
    SLOW = "slow"
    LOSE_ANSWERS = "lose_answers"
    SILENT = "silent"


class FaultSettings(msgspec.Struct, frozen=True):
    """Body of PUT /faults.

    Parameters
    ----------
    fault : Fault
        Fault of the calls that follow.
    delay_ms : int
        Delay of every answer of the table with `Fault.SLOW`.
    count : int
        Number of calls affected, 0 for all.
    then : Fault
        Fault after `count` calls.
    """

    fault: Fault = Fault.NONE
    delay_ms: int = 0
    count: int = 0
    then: Fault = Fault.NONE


@dataclass(slots=True)
class PlatformStandin:
    """The platform, served over HTTP from memory.

    Parameters
    ----------
    host : str
        IP address to bind.
    port : int
        Port, 0 lets the system choose.
    reboot_ms : int
        Duration of a reboot.
    """

    host: str = "127.0.0.1"
    port: int = 0
    reboot_ms: int = 0
    table: MemoryTable = field(default_factory=MemoryTable)
    objects: dict[str, bytes] = field(default_factory=dict)
    instances: dict[str, WireInstance] = field(default_factory=dict)
    faults: FaultSettings = field(default_factory=FaultSettings)
    reads: int = 0
    writes: int = 0
    server: HttpServer | None = None

    async def start(self) -> str:
        """Serve and return the base URL."""
        self.server = HttpServer(self._application(), self.host, self.port)
        port = await self.server.start()
        return f"http://{self.host}:{port}"

    async def stop(self) -> None:
        """Stop serving."""
        if self.server is not None:
            self.server.abort()
            await self.server.stop()

    def set_fault(
        self,
        fault: Fault,
        delay_ms: int = 0,
        count: int = 0,
        then: Fault = Fault.NONE,
    ) -> None:
        """Set the fault of the calls that follow."""
        self.faults = FaultSettings(fault, delay_ms, count, then)

    def _application(self) -> Application:
        app = new_application()
        add_route(app, "POST", "/v1/transactions", self._transact)
        add_route(app, "GET", "/v1/rows/{key}", self._get_row)
        add_route(app, "GET", "/v1/rows", self._scan_rows)
        add_route(app, "PUT", "/v1/objects/{key}", self._put_object)
        add_route(app, "GET", "/v1/objects/{key}", self._get_object)
        add_route(app, "GET", "/v1/instances", self._list_instances)
        add_route(app, "PUT", "/v1/instances", self._register_instance)
        add_route(app, "POST", "/v1/instances/{name}/reboot", self._reboot_instance)
        add_route(app, "PUT", "/faults", self._put_faults)
        add_route(app, "GET", "/counts", self._get_counts)
        return app

    # Table service

    async def _transact(self, request: Request) -> Response:
        self.writes += 1
        fault = self._next_fault()
        if fault is Fault.DOWN:
            return Response(503)
        await self._apply_delay(fault)
        body = msgspec.json.decode(await request.read(), type=WireTransaction)
        failed = self.table.transact(body.operations)
        if fault is Fault.LOSE_ANSWERS:
            return Response(503)
        if failed:
            return json_response(409, WireConflict(failed))
        return json_response(200, WireCommitted(self.table.revision))

    async def _get_row(self, request: Request) -> Response:
        fault_response = await self._apply_read_fault()
        if fault_response is not None:
            return fault_response
        row = self.table.rows.get(path_value(request, "key"))
        return json_response(200, row) if row is not None else Response(404)

    async def _scan_rows(self, request: Request) -> Response:
        fault_response = await self._apply_read_fault()
        if fault_response is not None:
            return fault_response
        prefix = query_value(request, "prefix", "")
        after_revision = int(query_value(request, "after", "0"))
        page = WirePage(
            self.table.revision,
            tuple(self.table.rows_written_after(prefix, after_revision)),
            tuple(self.table.keys_deleted_after(prefix, after_revision)),
        )
        return json_response(200, page)

    async def _apply_read_fault(self) -> Response | None:
        self.reads += 1
        if self.faults.fault is Fault.LOSE_ANSWERS:
            return None
        fault = self._next_fault()
        if fault is Fault.DOWN:
            return Response(503)
        await self._apply_delay(fault)
        return None

    def _next_fault(self) -> Fault:
        current = self.faults
        if current.count == 1:
            self.faults = FaultSettings(current.then)
        elif current.count > 1:
            self.faults = msgspec.structs.replace(current, count=current.count - 1)
        return current.fault

    async def _apply_delay(self, fault: Fault) -> None:
        if fault is Fault.SLOW:
            await asyncio.sleep(to_seconds(self.faults.delay_ms))
        if fault is Fault.SILENT:
            await asyncio.Event().wait()

    # Object store

    async def _put_object(self, request: Request) -> Response:
        if self._next_fault() is Fault.DOWN:
            return Response(503)
        self.objects[path_value(request, "key")] = await request.read() or b""
        return Response(200)

    async def _get_object(self, request: Request) -> Response:
        if self._next_fault() is Fault.DOWN:
            return Response(503)
        body = self.objects.get(path_value(request, "key"))
        if body is None:
            return Response(404)
        return Response(200, content=Content(b"application/octet-stream", body))

    # Instances

    async def _list_instances(self, request: Request) -> Response:
        if self.faults.fault is Fault.DOWN:
            return Response(503)
        return json_response(200, tuple(self.instances.values()))

    async def _register_instance(self, request: Request) -> Response:
        instance = msgspec.json.decode(await request.read(), type=WireInstance)
        self.instances[instance.name] = instance
        return Response(200)

    async def _reboot_instance(self, request: Request) -> Response:
        name = path_value(request, "name")
        instance = self.instances.get(name)
        if instance is None:
            return Response(404)
        if instance.boot != int(query_value(request, "boot", "0")):
            return Response(200)
        self.instances[name] = msgspec.structs.replace(
            instance, boot=instance.boot + 1, is_up=False
        )
        asyncio.ensure_future(self._reboot_target(name, instance.address))
        return Response(200)

    async def _reboot_target(self, name: str, address: str) -> None:
        await asyncio.sleep(to_seconds(self.reboot_ms))
        session = open_session(address, TARGET_CALL_TIMEOUT_MS)
        await call(session, "POST", "/reboot", TARGET_CALL_TIMEOUT_MS, b"{}")
        await session.close()
        self.instances[name] = msgspec.structs.replace(self.instances[name], is_up=True)

    # Control of the stand-in

    async def _put_faults(self, request: Request) -> Response:
        self.faults = msgspec.json.decode(await request.read(), type=FaultSettings)
        return Response(200)

    async def _get_counts(self, request: Request) -> Response:
        body = {"reads": self.reads, "writes": self.writes}
        return json_response(200, body)
