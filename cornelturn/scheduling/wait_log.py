"""Log of the reasons for which the steps of a pool wait."""

from __future__ import annotations

from dataclasses import dataclass, field

from cornelturn.events.log import log_event
from cornelturn.jobs.model import StepId
from cornelturn.scheduling.views import JobView
from cornelturn.scheduling.wait_reasons import WaitReason, WaitReasons


@dataclass(slots=True)
class WaitLog:
    """Logs why steps that were tried wait.

    Parameters
    ----------
    waits_for_faster : bool
        Whether the step that is tried leaves out free targets that are slow.
    """

    pool: str
    reasons: WaitReasons = field(default_factory=WaitReasons)
    waits_for_faster: bool = False

    def note_refused(self, job: JobView, step_id: StepId, now_ms: int) -> None:
        """Log that the quota does not admit a step."""
        self._note(job, step_id, WaitReason.QUOTA, now_ms)

    def note_no_room(self, job: JobView, step_id: StepId, now_ms: int) -> None:
        """Log that no target is free for a step, or only slow ones are."""
        is_slow = self.waits_for_faster
        reason = WaitReason.FASTER_TARGET if is_slow else WaitReason.ROOM
        self._note(job, step_id, reason, now_ms)

    def _note(
        self, job: JobView, step_id: StepId, reason: WaitReason, now_ms: int
    ) -> None:
        waited_ms = now_ms - job.arrived_ms
        if self.reasons.admit_line(step_id, reason, waited_ms, now_ms):
            log_event(
                "wait_reason",
                step=str(step_id),
                pool=self.pool,
                reason=reason,
                waited_ms=waited_ms,
            )
