"""The reports that operators know."""

from __future__ import annotations

from collections import Counter
from enum import StrEnum
from itertools import groupby

from cornelturn.fleet.budget import BudgetView
from cornelturn.fleet.configuration import HistoryEntry
from cornelturn.fleet.waves import Wave, wave_progress
from cornelturn.model.configuration import Configuration
from cornelturn.model.fleet import Instance, InstanceState
from cornelturn.reports.page import Column, Line, Report
from cornelturn.requests.records import RequestRecord
from cornelturn.requests.usage import UsageCount

MILLISECONDS_PER_MINUTE = 60_000


class ReportName(StrEnum):
    """Names of the reports."""

    FLEET = "fleet"
    QUEUES = "queues"
    MAINTENANCE = "maintenance"
    PRESETS = "presets"
    UNKNOWN = "unknown"


def fleet_report(
    instances: list[Instance], leaving: frozenset[str], budgets: list[BudgetView]
) -> Report:
    """Return the fleet status, with breaks by pool and data centre."""
    columns = (
        Column("Instance", 24),
        Column("Rack", 16),
        Column("State", 14),
        Column("Leaving", 8),
        Column("Slots", 6, True),
        Column("Cores", 7, True),
        Column("Memory MB", 10, True),
        Column("Reason", 30),
    )
    lines: list[Line] = []
    by_pool = {one.pool.name: one for one in budgets}
    ordered = sorted(instances, key=lambda one: (one.pool, one.data_centre, one.name))
    for pool, group in groupby(ordered, key=lambda one: one.pool):
        members = list(group)
        lines += [_instance_line(one, leaving) for one in members]
        lines.append(_pool_total(pool, members, by_pool.get(pool)))
    lines.append(_fleet_total(ordered))
    return Report(
        "CT010", "Fleet status", columns, tuple(lines), ("POOL", "DATA CENTRE")
    )


def _instance_line(instance: Instance, leaving: frozenset[str]) -> Line:
    reason = instance.reason
    if instance.move_to:
        reason = f"move to {instance.move_to}"
    cells = (
        instance.name,
        instance.rack,
        instance.state.value,
        "yes" if instance.name in leaving else "",
        str(instance.slots),
        f"{instance.cores:g}",
        str(instance.memory_mb),
        reason,
    )
    return Line(cells, (instance.pool, instance.data_centre))


def _pool_total(pool: str, members: list[Instance], budget: BudgetView | None) -> Line:
    out = ""
    if budget is not None:
        out = f"out {budget.unavailable()} of {budget.pool.max_unavailable} allowed"
    in_service = _in_service(members)
    cells = (
        f"* TOTAL {pool}",
        f"{len(members)} instances",
        f"{in_service} in service",
        "",
        str(sum(one.slots for one in members)),
        f"{sum(one.cores for one in members):g}",
        str(sum(one.memory_mb for one in members)),
        out,
    )
    return Line(cells, (), True)


def _fleet_total(instances: list[Instance]) -> Line:
    cells = (
        "** GRAND TOTAL",
        f"{len(instances)} instances",
        f"{_in_service(instances)} in service",
        "",
        str(sum(one.slots for one in instances)),
        f"{sum(one.cores for one in instances):g}",
        str(sum(one.memory_mb for one in instances)),
        "",
    )
    return Line(cells, (), True)


def _in_service(instances: list[Instance]) -> int:
    return sum(one.state is InstanceState.IN_SERVICE for one in instances)


def queue_report(
    configuration: Configuration, usage: list[UsageCount], member: str = ""
) -> Report:
    """Return queue activity and entitlement, for one member if one is named."""
    columns = (
        Column("Queue", 24),
        Column("Class", 10),
        Column("Share", 7, True),
        Column("Member", 24),
        Column("On time", 12, True),
        Column("Late", 12, True),
        Column("Of on time", 12, True),
    )
    shown = [one for one in usage if not member or one.member == member]
    lines: list[Line] = []
    for queue in sorted(configuration.queues, key=lambda one: (one.pool, one.name)):
        own = [one for one in shown if one.queue == queue.name]
        total = sum(one.on_time for one in own)
        share = configuration.with_preset_share(queue).share
        for one in own:
            part = f"{one.on_time / total:.1%}" if total and not member else ""
            cells = (
                queue.name,
                queue.work_class.name.lower(),
                f"{share:.0%}",
                one.member,
                str(one.on_time),
                str(one.late),
                part,
            )
            lines.append(Line(cells, (queue.pool,)))
        late = sum(one.late for one in own)
        total_cells = (f"* TOTAL {queue.name}", "", "", "", str(total), str(late), "")
        lines.append(Line(total_cells, (), True))
    return Report(
        "CT020", "Queue activity and entitlement", columns, tuple(lines), ("POOL",)
    )


def maintenance_report(waves: list[Wave], instances: list[Instance]) -> Report:
    """Return the progress of maintenance."""
    columns = (
        Column("Wave", 5, True),
        Column("State", 10),
        Column("Policy", 10),
        Column("Total", 6, True),
        Column("Done", 6, True),
        Column("Working", 8, True),
        Column("Pending", 8, True),
        Column("Elapsed min", 12, True),
        Column("Left min", 9, True),
        Column("Note", 44),
    )
    lines: list[Line] = []
    totals: Counter[str] = Counter()
    for wave in sorted(waves, key=lambda one: one.pool):
        state = wave_progress(wave, instances)
        totals.update(total=state.total, done=state.done, pending=state.pending)
        totals.update(working=state.working)
        cells = (
            str(wave.number),
            wave.state.value,
            wave.policy.value,
            str(state.total),
            str(state.done),
            str(state.working),
            str(state.pending),
            _minutes(wave.elapsed_ms),
            _minutes(state.estimate_ms),
            wave.note,
        )
        lines.append(Line(cells, (wave.pool,)))
    counts = tuple(str(totals[one]) for one in ("total", "done", "working", "pending"))
    lines.append(Line(("", "** TOTAL", "", *counts, "", "", ""), (), True))
    return Report("CT030", "Maintenance progress", columns, tuple(lines), ("POOL",))


def _minutes(duration_ms: int | None) -> str:
    if duration_ms is None:
        return "-"
    return f"{duration_ms / MILLISECONDS_PER_MINUTE:.1f}"


def preset_report(history: list[HistoryEntry]) -> Report:
    """Return the history of presets and configurations, the latest first."""
    columns = (
        Column("Generation", 11, True),
        Column("Preset", 24),
        Column("Change", 40),
    )
    ordered = sorted(history, key=lambda one: -one.generation)
    lines = tuple(
        Line((str(one.generation), one.preset, one.change)) for one in ordered
    )
    return Report("CT040", "Preset history", columns, lines)


def unknown_report(records: list[RequestRecord]) -> Report:
    """Return the requests whose outcome is unknown."""
    columns = (
        Column("Request", 33),
        Column("Member", 20),
        Column("Target", 20),
        Column("Attempt", 32),
        Column("Detail", 20),
    )
    ordered = sorted(records, key=lambda one: (one.queue, one.member, one.request))
    lines = tuple(
        Line(
            (one.request, one.member, one.target, one.attempt, one.detail),
            (one.queue,),
        )
        for one in ordered
    )
    return Report("CT050", "Unknown outcomes", columns, lines, ("QUEUE",))
