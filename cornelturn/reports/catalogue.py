"""Contents of each report for operators."""

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
    """Return the state of all instances, grouped by pool and data centre."""
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
    budget_by_pool = {budget.pool.name: budget for budget in budgets}
    ordered = sorted(
        instances,
        key=lambda instance: (instance.pool, instance.data_centre, instance.name),
    )
    for pool, group in groupby(ordered, key=lambda instance: instance.pool):
        pool_instances = list(group)
        lines += [_instance_line(instance, leaving) for instance in pool_instances]
        lines.append(_pool_total_line(pool, pool_instances, budget_by_pool.get(pool)))
    lines.append(_fleet_total_line(ordered))
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


def _pool_total_line(
    pool: str, instances: list[Instance], budget: BudgetView | None
) -> Line:
    budget_text = ""
    if budget is not None:
        budget_text = (
            f"out {budget.unavailable()} of {budget.pool.max_unavailable} allowed"
        )
    in_service = _count_in_service(instances)
    cells = (
        f"* TOTAL {pool}",
        f"{len(instances)} instances",
        f"{in_service} in service",
        "",
        str(sum(instance.slots for instance in instances)),
        f"{sum(instance.cores for instance in instances):g}",
        str(sum(instance.memory_mb for instance in instances)),
        budget_text,
    )
    return Line(cells, (), True)


def _fleet_total_line(instances: list[Instance]) -> Line:
    cells = (
        "** GRAND TOTAL",
        f"{len(instances)} instances",
        f"{_count_in_service(instances)} in service",
        "",
        str(sum(instance.slots for instance in instances)),
        f"{sum(instance.cores for instance in instances):g}",
        str(sum(instance.memory_mb for instance in instances)),
        "",
    )
    return Line(cells, (), True)


def _count_in_service(instances: list[Instance]) -> int:
    return sum(instance.state is InstanceState.IN_SERVICE for instance in instances)


def queue_report(
    configuration: Configuration, usage: list[UsageCount], member: str = ""
) -> Report:
    """Return on-time and late requests by queue and member, with each queue's share.

    Parameters
    ----------
    member : str
        Member to restrict the report to, empty for all members.
    """
    columns = (
        Column("Queue", 24),
        Column("Class", 10),
        Column("Share", 7, True),
        Column("Member", 24),
        Column("On time", 12, True),
        Column("Late", 12, True),
        Column("Of on time", 12, True),
    )
    selected = [count for count in usage if not member or count.member == member]
    lines: list[Line] = []
    for queue in sorted(
        configuration.queues, key=lambda queue: (queue.pool, queue.name)
    ):
        queue_usage = [count for count in selected if count.queue == queue.name]
        on_time_total = sum(count.on_time for count in queue_usage)
        share = configuration.with_preset_share(queue).share
        for count in queue_usage:
            on_time_share = (
                f"{count.on_time / on_time_total:.1%}"
                if on_time_total and not member
                else ""
            )
            cells = (
                queue.name,
                queue.work_class.name.lower(),
                f"{share:.0%}",
                count.member,
                str(count.on_time),
                str(count.late),
                on_time_share,
            )
            lines.append(Line(cells, (queue.pool,)))
        late_total = sum(count.late for count in queue_usage)
        total_cells = (
            f"* TOTAL {queue.name}",
            "",
            "",
            "",
            str(on_time_total),
            str(late_total),
            "",
        )
        lines.append(Line(total_cells, (), True))
    return Report(
        "CT020", "Queue activity and entitlement", columns, tuple(lines), ("POOL",)
    )


def maintenance_report(waves: list[Wave], instances: list[Instance]) -> Report:
    """Return the progress of the maintenance waves."""
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
    for wave in sorted(waves, key=lambda wave: wave.pool):
        progress = wave_progress(wave, instances)
        totals.update(
            total=progress.total, done=progress.done, pending=progress.pending
        )
        totals.update(working=progress.working)
        cells = (
            str(wave.number),
            wave.state.value,
            wave.policy.value,
            str(progress.total),
            str(progress.done),
            str(progress.working),
            str(progress.pending),
            _format_minutes(wave.elapsed_ms),
            _format_minutes(progress.estimate_ms),
            wave.note,
        )
        lines.append(Line(cells, (wave.pool,)))
    counts = tuple(str(totals[key]) for key in ("total", "done", "working", "pending"))
    lines.append(Line(("", "** TOTAL", "", *counts, "", "", ""), (), True))
    return Report("CT030", "Maintenance progress", columns, tuple(lines), ("POOL",))


def _format_minutes(duration_ms: int | None) -> str:
    if duration_ms is None:
        return "-"
    return f"{duration_ms / MILLISECONDS_PER_MINUTE:.1f}"


def preset_report(history: list[HistoryEntry]) -> Report:
    """Return the history of presets and configurations, latest first."""
    columns = (
        Column("Generation", 11, True),
        Column("Preset", 24),
        Column("Change", 40),
    )
    ordered = sorted(history, key=lambda entry: -entry.generation)
    lines = tuple(
        Line((str(entry.generation), entry.preset, entry.change)) for entry in ordered
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
    ordered = sorted(
        records, key=lambda record: (record.queue, record.member, record.request)
    )
    lines = tuple(
        Line(
            (
                record.request,
                record.member,
                record.target,
                record.attempt,
                record.detail,
            ),
            (record.queue,),
        )
        for record in ordered
    )
    return Report("CT050", "Unknown outcomes", columns, lines, ("QUEUE",))
