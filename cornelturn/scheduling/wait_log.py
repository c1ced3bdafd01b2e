"""Log of the reasons for which the steps of a pool wait."""

from __future__ import annotations

from dataclasses import dataclass, field

from cornelturn.events.log import log_event
from cornelturn.jobs.model import StepId
from cornelturn.scheduling.views import JobView
from cornelturn.scheduling.wait_reasons import WaitReason, WaitReasons


@dataclass(slots=True)
class WaitLog:
    """Logs why steps that were tried wait."""

    pool: str
    reasons: WaitReasons = field(default_factory=WaitReasons)

    def note(
        self, job: JobView, step_id: StepId, reason: WaitReason, now_ms: int
    ) -> None:
        """Log why a step waits, unless that is known or too much is logged."""
        waited_ms = now_ms - job.arrived_ms
        if self.reasons.admit_line(step_id, reason, waited_ms, now_ms):
            log_event(
                "wait_reason",
                step=str(step_id),
                pool=self.pool,
                reason=reason,
                waited_ms=waited_ms,
            )
