"""Ejection and readmission of targets, based on the outcomes of attempts."""

from __future__ import annotations

from dataclasses import dataclass, field

from cornelturn.model.ticket import Report, ReportKind
from cornelturn.routing.decisions import Decision, HealthChange, TargetChange
from cornelturn.routing.health import HealthState
from cornelturn.routing.targets import Target, TargetTable

MAX_TRACKED_REQUESTS = 1_024


@dataclass(slots=True)
class HealthMonitor:
    """Ejects failing targets up to a limit and readmits them after a trial request.

    Parameters
    ----------
    pool : str
        Pool of the targets.
    targets : TargetTable
        The targets.
    max_ejected : int
        Ejection stops when this many targets are out of service for any reason.
    """

    pool: str
    targets: TargetTable
    max_ejected: int = 1
    failed_target_by_request: dict[str, str] = field(default_factory=dict)

    def record_report(
        self, request: str, report: Report, now_ms: int
    ) -> list[Decision]:
        """Update the health of a target with the outcome of an attempt."""
        target = self.targets.by_name.get(report.target)
        if target is None:
            return []
        match report.kind:
            case ReportKind.COMPLETED:
                return self._record_success(target, request)
            case ReportKind.LEAVING:
                self.mark_leaving(report.target)
                return [
                    self._make_change(
                        report.target, TargetChange.LEAVING, "target_said"
                    )
                ]
            case ReportKind.FAILED | ReportKind.UNKNOWN | ReportKind.UNREACHABLE:
                return self._record_failure(target, request, report.kind, now_ms)
            case ReportKind.CANCELLED | ReportKind.NOT_STARTED:
                return []

    def mark_leaving(self, name: str) -> None:
        """Stop new work on a target that is about to leave."""
        target = self.targets.by_name.get(name)
        if target is not None:
            target.is_leaving = True
            self.targets.refresh(name)

    def start_trials(self, now_ms: int) -> list[Decision]:
        """Start the trial of each ejected target whose ejection time has passed."""
        changes: list[Decision] = []
        for name, target in self.targets.by_name.items():
            health = target.health
            is_ejected = health.state is HealthState.EJECTED
            if is_ejected and health.ejected_until_ms <= now_ms:
                health.start_trial()
                self.targets.refresh(name)
                changes.append(self._make_change(name, TargetChange.TRIAL, "time"))
        return changes

    def _record_success(self, target: Target, request: str) -> list[Decision]:
        was_trial = target.health.state is HealthState.TRIAL
        target.health.record_success(request)
        if not was_trial:
            return []
        name = target.instance.name
        self.targets.refresh(name)
        return [self._make_change(name, TargetChange.SERVING, "trial_ok")]

    def _record_failure(
        self, target: Target, request: str, kind: ReportKind, now_ms: int
    ) -> list[Decision]:
        name = target.instance.name
        if self._is_poison_request(request, name):
            return []
        target.health.record_failure(request)
        if not target.health.is_failing() or not self._may_eject(name):
            return []
        target.health.eject(now_ms)
        self.targets.refresh(name)
        return [self._make_change(name, TargetChange.EJECTED, kind.value)]

    def _is_poison_request(self, request: str, name: str) -> bool:
        """Return whether a request has failed on another target before.

        Such a request is taken to be the cause itself, so its earlier failure no
        longer counts against the other target.
        """
        earlier_name = self.failed_target_by_request.get(request)
        if earlier_name is not None and earlier_name != name:
            earlier_target = self.targets.by_name.get(earlier_name)
            if earlier_target is not None:
                earlier_target.health.discard_outcomes(request)
            return True
        self.failed_target_by_request[request] = name
        if len(self.failed_target_by_request) > MAX_TRACKED_REQUESTS:
            self.failed_target_by_request.pop(next(iter(self.failed_target_by_request)))
        return False

    def _may_eject(self, name: str) -> bool:
        unavailable = sum(
            not target.is_accepting_work()
            for other, target in self.targets.by_name.items()
            if other != name
        )
        return unavailable < self.max_ejected

    def _make_change(
        self, target: str, change: TargetChange, reason: str
    ) -> HealthChange:
        return HealthChange(self.pool, target, change, reason)
