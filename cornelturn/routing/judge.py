"""Judging targets by the outcomes of the attempts that they served."""

from __future__ import annotations

from dataclasses import dataclass, field

from cornelturn.model.ticket import Report, ReportKind
from cornelturn.routing.decisions import Decision, HealthChange, TargetChange
from cornelturn.routing.health import HealthState
from cornelturn.routing.targets import Target, TargetTable

POISON_MEMORY = 1_024


@dataclass(slots=True)
class TargetJudge:
    """Ejects failing targets within a bound and re-admits them by trials.

    Parameters
    ----------
    pool : str
        Pool of the targets.
    targets : TargetTable
        The targets.
    max_ejected : int
        Targets that may be out of service at once for any reason.
    """

    pool: str
    targets: TargetTable
    max_ejected: int = 1
    failed_at: dict[str, str] = field(default_factory=dict)

    def judge(self, request: str, report: Report, now_ms: int) -> list[Decision]:
        """Learn from how an attempt of a request ended."""
        target = self.targets.targets.get(report.target)
        if target is None:
            return []
        match report.kind:
            case ReportKind.COMPLETED:
                return self._succeeded(target, request)
            case ReportKind.LEAVING:
                self.mark_leaving(report.target)
                return [
                    self._change(report.target, TargetChange.LEAVING, "target_said")
                ]
            case ReportKind.FAILED | ReportKind.UNKNOWN | ReportKind.UNREACHABLE:
                return self._failed(target, request, report.kind, now_ms)
            case ReportKind.CANCELLED | ReportKind.NOT_STARTED:
                return []

    def mark_leaving(self, name: str) -> None:
        """Give a target no new work from now on."""
        target = self.targets.targets.get(name)
        if target is not None:
            target.is_leaving = True
            self.targets.refresh(name)

    def start_trials(self, now_ms: int) -> list[Decision]:
        """Let ejected targets whose time has passed try one request."""
        changes: list[Decision] = []
        for name, target in self.targets.targets.items():
            health = target.health
            is_ejected = health.state is HealthState.EJECTED
            if is_ejected and health.ejected_until_ms <= now_ms:
                health.start_trial()
                self.targets.refresh(name)
                changes.append(self._change(name, TargetChange.TRIAL, "time"))
        return changes

    def _succeeded(self, target: Target, request: str) -> list[Decision]:
        was_trial = target.health.state is HealthState.TRIAL
        target.health.record_success(request)
        if not was_trial:
            return []
        name = target.instance.name
        self.targets.refresh(name)
        return [self._change(name, TargetChange.SERVING, "trial_ok")]

    def _failed(
        self, target: Target, request: str, kind: ReportKind, now_ms: int
    ) -> list[Decision]:
        name = target.instance.name
        if self._is_poisonous(request, name):
            return []
        target.health.record_failure(request)
        if not target.health.is_failing() or not self._may_eject(name):
            return []
        target.health.eject(now_ms)
        self.targets.refresh(name)
        return [self._change(name, TargetChange.EJECTED, kind.value)]

    def _is_poisonous(self, request: str, name: str) -> bool:
        """Return whether a request fails at every target, whose fault it is not."""
        earlier = self.failed_at.get(request)
        if earlier is not None and earlier != name:
            blamed = self.targets.targets.get(earlier)
            if blamed is not None:
                blamed.health.forgive(request)
            return True
        self.failed_at[request] = name
        if len(self.failed_at) > POISON_MEMORY:
            self.failed_at.pop(next(iter(self.failed_at)))
        return False

    def _may_eject(self, name: str) -> bool:
        out = sum(
            not target.takes_work()
            for other, target in self.targets.targets.items()
            if other != name
        )
        return out < self.max_ejected

    def _change(self, target: str, change: TargetChange, reason: str) -> HealthChange:
        return HealthChange(self.pool, target, change, reason)
