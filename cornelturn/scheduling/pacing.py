"""Paces of the filling runs of a pool: orders for targets that also serve users."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from cornelturn.events.log import log_event, log_warning
from cornelturn.interference.controller import (
    PaceChange,
    PaceController,
    PacingBounds,
    ServingFigure,
)
from cornelturn.interference.factors import PairFactors, Sample
from cornelturn.interference.run_pace import RunPace
from cornelturn.jobs.model import CPU_UNITS_PER_CORE, Run, Step
from cornelturn.scheduling.run_numbers import is_of_earlier_owner
from cornelturn.scheduling.state import PoolState, TargetOrder, run_name
from cornelturn.scheduling.target_view import Contact, RunState, TargetView
from cornelturn.targets.model import (
    FULL_PACE,
    Declined,
    Executed,
    OrderResult,
    OtherLife,
    PaceOrder,
    TargetLife,
    Unanswered,
)

CHECK_INTERVAL_MS = 100
"""Interval of the checks that no event triggers: late reports, and orders to repeat."""

LOG_INTERVAL_MS = 2_000
"""Least time between two log lines about decreases on the same target."""

UNKNOWN_RATIO = 0.5
"""Tail latency, as a share of the limit, that is assumed before the first figure."""

IGNORED_CPU_SHARE = 0.1
"""Share of its processor time above its pace at which a run seems not to have it."""

IGNORED_AFTER_MS = 1_500
"""Time after an order until the figures must show its effect: their age, the longest
interval of reports and a margin."""


@dataclass(slots=True)
class TargetPacing:
    """What the owner knows of the paces on one target.

    Parameters
    ----------
    controller : PaceController or None
        Controls the level while the target is shared, else None.
    paces : dict
        Paces of the runs for which an order was or will be sent.
    ordered_ms : dict
        When the last order for each run was sent.
    reported_ms : int
        When the last report that was processed was requested.
    logged_ms : int or None
        When a decrease was last logged, None if none was.
    """

    controller: PaceController | None = None
    paces: dict[Run, RunPace] = field(default_factory=dict)
    ordered_ms: dict[Run, int] = field(default_factory=dict)
    reported_ms: int = -1
    logged_ms: int | None = None

    def is_due(self, now_ms: int) -> bool:
        """Return whether time alone requires a decrease or an order."""
        if self.controller is not None and self.controller.is_check_due(now_ms):
            return True
        return any(pace.is_order_due(now_ms) for pace in self.paces.values())


@dataclass(slots=True)
class PoolPacing:
    """Sets the pace of filling runs beside serving runs, and of no others.

    Reports do not state paces. A new owner therefore orders the pace of each filling
    run that it adopts anew: at the level of an unknown target beside serving runs, else
    the full one.
    """

    state: PoolState
    bounds: PacingBounds = field(default_factory=PacingBounds)
    targets: dict[TargetLife, TargetPacing] = field(default_factory=dict)
    factors: PairFactors = field(default_factory=PairFactors)
    checked_ms: int = 0

    def plan(self, now_ms: int) -> None:
        """Order the paces that are due."""
        neighbours = self.state.neighbours
        due = neighbours.take_due()
        if not neighbours.has_serving_steps:
            return
        if now_ms - self.checked_ms >= CHECK_INTERVAL_MS:
            self.checked_ms = now_ms
            by_time = (
                life for life, target in self.targets.items() if target.is_due(now_ms)
            )
            due = list(dict.fromkeys((*due, *by_time)))
        for life in due:
            self._update_target(life, now_ms)
            self._order_due(life, now_ms)

    def handle_order_result(
        self, life: TargetLife, order: PaceOrder, result: OrderResult, now_ms: int
    ) -> None:
        """Take up the outcome of an order."""
        metrics = self.state.metrics.interference
        metrics.orders.labels(self.state.pool, _outcome(result)).inc()
        target = self.targets.get(life)
        pace = target.paces.get(order.run) if target is not None else None
        if pace is None:
            return
        pace.settle(order.percent, result, now_ms)
        if pace.failures == 1:
            log_warning(
                "pace_not_confirmed",
                run=run_name(order.run),
                target=life.name,
                percent=order.percent,
                detail=_detail(result),
            )

    def report_wait_ms(self, life: TargetLife, usual_ms: int) -> int:
        """Return how long a report of a target may wait for an end."""
        if not self.state.neighbours.is_shared(life):
            return usual_ms
        return min(usual_ms, self.bounds.report_wait_ms())

    def placement_cost(self, life: TargetLife, step: Step) -> float:
        """Return how unsuitable a target is for a task of a filling step.

        0 where nothing serves and its cores are idle. Cores that the target lacks count
        one each. Beside serving runs, these are added: the expected tail latency of the
        worst one as a share of its limit, the share of the pace that the target has
        lost, and the share of its cores that filling runs use already.
        """
        neighbours = self.state.neighbours
        view = self.state.targets[life]
        filling_cpu = neighbours.filling_cpu.get(life, 0)
        lacking = filling_cpu + step.need.cpu - max(0, view.free().cpu)
        cost = max(0, lacking) / CPU_UNITS_PER_CORE
        if life in neighbours.serving:
            cost += self._disturbance(life, step)
            cost += filling_cpu / max(1, view.listed.capacity.cpu)
        return cost

    def _disturbance(self, life: TargetLife, step: Step) -> float:
        """Return the expected tail latency of the worst serving run, and the lost pace.

        Both are shares: of the limit of the run, and of the full pace.
        """
        target = self.targets.get(life)
        controller = target.controller if target is not None else None
        ratio, lost = UNKNOWN_RATIO, 0.0
        if controller is not None:
            ratio = controller.ratio() or UNKNOWN_RATIO
            lost = 1 - controller.level / FULL_PACE
        cores = step.need.cpu / CPU_UNITS_PER_CORE
        growth = max(
            self.factors.growth(run.image, step.image, cores)
            for run in self.state.neighbours.serving[life].values()
        )
        return ratio * growth + lost

    def _update_target(self, life: TargetLife, now_ms: int) -> None:
        """Take up the runs and the last report of a target."""
        view = self.state.targets.get(life)
        filling = self.state.neighbours.filling.get(life)
        if view is None or not filling:
            self.targets.pop(life, None)
            self.factors.forget(life)
            return
        target = self.targets.setdefault(life, TargetPacing())
        for run in target.paces.keys() - filling.keys():
            del target.paces[run]
            target.ordered_ms.pop(run, None)
        for run in filling.keys() - target.paces.keys():
            if self._is_of_earlier_owner(run):
                target.paces[run] = RunPace(confirmed=None)
        has_report = view.reported_ms != target.reported_ms
        target.reported_ms = view.reported_ms
        if self.state.neighbours.is_shared(life):
            self._control(view, target, has_report, now_ms)
        else:
            self._release(life, target)
        for run, pace in target.paces.items():
            lowest = pace.lowest()
            run_view = view.runs[run]
            run_view.pace = lowest if has_report else min(run_view.pace, lowest)

    def _control(
        self, view: TargetView, target: TargetPacing, has_report: bool, now_ms: int
    ) -> None:
        """Set the paces on a shared target."""
        neighbours = self.state.neighbours
        serving, filling = neighbours.serving[view.life], neighbours.filling[view.life]
        controller = target.controller
        if controller is None:
            controller = target.controller = PaceController(
                self.bounds,
                now_ms,
                is_inherited=any(map(self._is_of_earlier_owner, filling)),
            )
        filling_cpu: Counter[str] = Counter()
        for filling_run in filling.values():
            filling_cpu[filling_run.image] += max(1, filling_run.cpu)
        changes = [controller.update_runs(frozenset(serving), filling_cpu, now_ms)]
        if has_report:
            figures = {
                run: ServingFigure(view.runs[run].load, serving_run.limit_ms)
                for run, serving_run in serving.items()
                if view.runs[run].is_reported
            }
            changes.append(controller.observe(figures, now_ms))
            self._learn(view, target)
            self._doubt_ignored(view, target, now_ms)
        changes.append(controller.check(now_ms))
        for change in changes:
            if change is not None:
                self._note_decrease(view, target, change, now_ms)
        wanted = round(controller.level)
        for run in filling:
            pace = target.paces.get(run)
            if pace is None:
                pace = target.paces[run] = RunPace()
            pace.wanted = wanted

    def _release(self, life: TargetLife, target: TargetPacing) -> None:
        """Restore the full pace where nothing serves any more.

        The pace of a run of an earlier owner is remembered, as it is not known to be
        the full one by default; that of another run until the time of its lower pace
        has been subtracted from that without progress.
        """
        runs = self.state.targets[life].runs
        target.controller = None
        self.factors.forget(life)
        for run, pace in list(target.paces.items()):
            pace.wanted = FULL_PACE
            is_over = pace.is_at_rest() and runs[run].pace == FULL_PACE
            if is_over and not self._is_of_earlier_owner(run):
                del target.paces[run]
        if not target.paces:
            del self.targets[life]

    def _order_due(self, life: TargetLife, now_ms: int) -> None:
        target = self.targets.get(life)
        if target is None:
            return
        view = self.state.targets[life]
        if view.contact is Contact.UNKNOWN:
            return
        for run, pace in target.paces.items():
            if view.runs[run].state is not RunState.ACTIVE:
                continue
            percent = pace.next_order(now_ms)
            if percent is not None:
                target.ordered_ms[run] = now_ms
                order = PaceOrder(run, percent)
                self.state.orders.append(TargetOrder(life, order))

    def _learn(self, view: TargetView, target: TargetPacing) -> None:
        """Learn from a report how the images on a target interfere."""
        neighbours = self.state.neighbours
        self.factors.keep(view.life, neighbours.serving[view.life])
        cores: Counter[str] = Counter()
        for run, filling_run in neighbours.filling[view.life].items():
            cores[filling_run.image] += view.runs[run].load / CPU_UNITS_PER_CORE
        for run, serving_run in neighbours.serving[view.life].items():
            sample = Sample(view.runs[run].load, cores)
            self.factors.learn(view.life, run, serving_run.image, sample)

    def _doubt_ignored(
        self, view: TargetView, target: TargetPacing, now_ms: int
    ) -> None:
        """Order a pace again if a run uses more processor time than it allows."""
        filling = self.state.neighbours.filling[view.life]
        for run, pace in target.paces.items():
            if pace.confirmed is None or pace.in_flight:
                continue
            is_recent = now_ms - target.ordered_ms.get(run, now_ms) < IGNORED_AFTER_MS
            if is_recent or not filling[run].cpu:
                continue
            allowed = filling[run].cpu * (
                pace.confirmed / FULL_PACE + IGNORED_CPU_SHARE
            )
            if pace.confirmed < FULL_PACE and view.runs[run].load > allowed:
                pace.doubt()

    def _is_of_earlier_owner(self, run: Run) -> bool:
        return is_of_earlier_owner(run.number, self.state.generation)

    def _note_decrease(
        self, view: TargetView, target: TargetPacing, change: PaceChange, now_ms: int
    ) -> None:
        """Count a decrease, and log it unless another one was logged just before."""
        metrics, pool = self.state.metrics.interference, self.state.pool
        metrics.decreases.labels(pool, change.cause).inc()
        is_recent = (
            target.logged_ms is not None and now_ms - target.logged_ms < LOG_INTERVAL_MS
        )
        if is_recent:
            return
        target.logged_ms = now_ms
        log_event(
            "pace_lowered",
            pool=pool,
            target=view.life.name,
            cause=change.cause,
            before=round(change.before),
            percent=round(target.controller.level),
            tail_percent=round(100 * change.ratio),
            runs=len(target.paces),
            report_age_ms=now_ms - view.reported_ms,
        )

    def levels(self) -> list[float]:
        """Return the level of each shared target."""
        controllers = (target.controller for target in self.targets.values())
        return [item.level for item in controllers if item is not None]


def _detail(result: OrderResult) -> str:
    match result:
        case Declined(reason):
            return reason
        case Unanswered(detail=detail):
            return detail
        case _:
            return _outcome(result)


def _outcome(result: OrderResult) -> str:
    """Return the fixed name of a result, for the metrics."""
    match result:
        case Executed():
            return "executed"
        case Declined():
            return "declined"
        case Unanswered():
            return "unanswered"
        case OtherLife():
            return "other_life"
