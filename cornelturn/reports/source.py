"""Builds reports from the table and from the current state of this entry."""

from __future__ import annotations

from dataclasses import dataclass

from result import Err, Ok

from cornelturn.fleet.configuration import HISTORY_PREFIX, decode_history
from cornelturn.fleet.operations import FleetOperations
from cornelturn.fleet.waves import WAVE_PREFIX, decode_wave
from cornelturn.reports.catalogue import (
    ReportName,
    fleet_report,
    maintenance_report,
    preset_report,
    queue_report,
    unknown_report,
)
from cornelturn.reports.page import Report
from cornelturn.requests.records import (
    REQUEST_PREFIX,
    RequestRecord,
    RequestState,
    decode_record,
)
from cornelturn.requests.usage import read_usage
from cornelturn.store.table import Table


@dataclass(slots=True)
class ReportBuilder:
    """Builds reports; None in place of a report if the table is unavailable."""

    table: Table
    operations: FleetOperations

    async def build(self, name: ReportName, member: str) -> Report | None:
        """Return a report; `member`, if given, restricts a report that has members."""
        match name:
            case ReportName.FLEET:
                return self._fleet_report()
            case ReportName.QUEUES:
                return await self._queue_report(member)
            case ReportName.MAINTENANCE:
                return await self._maintenance_report()
            case ReportName.PRESETS:
                rows = await self._scan_values(HISTORY_PREFIX)
                if rows is None:
                    return None
                return preset_report([decode_history(row) for row in rows])
            case ReportName.UNKNOWN:
                records = await self.read_records(RequestState.UNKNOWN.value)
                if records is None:
                    return None
                selected = [
                    record for record in records if member in ("", record.member)
                ]
                return unknown_report(selected)

    async def read_records(self, state: str) -> list[RequestRecord] | None:
        """Return the recorded requests, only those in a state unless it is empty."""
        rows = await self._scan_values(REQUEST_PREFIX)
        if rows is None:
            return None
        records = [decode_record(row) for row in rows]
        return [record for record in records if state in ("", record.state.value)]

    def _fleet_report(self) -> Report:
        view = self.operations.registry.view()
        pools = self.operations.configuration_manager.current.pools
        budgets = [self.operations.pool_budget(pool.name) for pool in pools]
        return fleet_report(list(view.instances), view.leaving, budgets)

    async def _queue_report(self, member: str) -> Report | None:
        usage = await read_usage(self.table)
        if usage is None:
            return None
        return queue_report(
            self.operations.configuration_manager.current, usage, member
        )

    async def _maintenance_report(self) -> Report | None:
        rows = await self._scan_values(WAVE_PREFIX)
        if rows is None:
            return None
        waves = [decode_wave(row) for row in rows]
        instances = list(self.operations.registry.instances.values())
        return maintenance_report(waves, instances)

    async def _scan_values(self, prefix: str) -> list[str] | None:
        match await self.table.scan(prefix):
            case Err(_):
                return None
            case Ok(page):
                return [row.value for row in page.rows]
