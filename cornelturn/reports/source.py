"""Reports made from what the table and this entry know now."""

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
class ReportSource:
    """Makes reports; each is None while the table is away."""

    table: Table
    operations: FleetOperations

    async def make(self, name: ReportName, member: str) -> Report | None:
        """Return a report, of one member if one is named and it knows members."""
        match name:
            case ReportName.FLEET:
                return self._fleet()
            case ReportName.QUEUES:
                return await self._queues(member)
            case ReportName.MAINTENANCE:
                return await self._maintenance()
            case ReportName.PRESETS:
                rows = await self._values(HISTORY_PREFIX)
                if rows is None:
                    return None
                return preset_report([decode_history(row) for row in rows])
            case ReportName.UNKNOWN:
                records = await self.records(RequestState.UNKNOWN.value)
                if records is None:
                    return None
                shown = [one for one in records if member in ("", one.member)]
                return unknown_report(shown)

    async def records(self, state: str) -> list[RequestRecord] | None:
        """Return the recorded requests, those in one state if it is named."""
        rows = await self._values(REQUEST_PREFIX)
        if rows is None:
            return None
        records = [decode_record(row) for row in rows]
        return [one for one in records if state in ("", one.state.value)]

    def _fleet(self) -> Report:
        view = self.operations.registry.view()
        pools = self.operations.configuration_manager.current.pools
        budgets = [self.operations.pool_budget(pool.name) for pool in pools]
        return fleet_report(list(view.instances), view.leaving, budgets)

    async def _queues(self, member: str) -> Report | None:
        usage = await read_usage(self.table)
        if usage is None:
            return None
        return queue_report(
            self.operations.configuration_manager.current, usage, member
        )

    async def _maintenance(self) -> Report | None:
        rows = await self._values(WAVE_PREFIX)
        if rows is None:
            return None
        waves = [decode_wave(row) for row in rows]
        instances = list(self.operations.registry.instances.values())
        return maintenance_report(waves, instances)

    async def _values(self, prefix: str) -> list[str] | None:
        match await self.table.scan(prefix):
            case Err(_):
                return None
            case Ok(page):
                return [row.value for row in page.rows]
