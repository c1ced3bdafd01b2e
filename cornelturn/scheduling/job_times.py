"""Times and durations of the parts of a job's life at its owner."""

from __future__ import annotations

from dataclasses import dataclass, field

from cornelturn.jobs.model import StepId


@dataclass(slots=True)
class JobTimes:
    """Times of a job's events on the owner's clock; None for events not seen here.

    Parameters
    ----------
    arrived_ms : int
        When the owner received the job.
    first_order_ms : int or None
        When its first start was ordered.
    first_answer_ms : int or None
        When the first order was answered.
    last_end_ms : int or None
        When the last end of one of its runs was processed.
    opened_ms : dict
        When each step was opened.
    step_waits_ms : dict
        Time from the opening of each step to the latest first start of its tasks.
    """

    arrived_ms: int
    first_order_ms: int | None = None
    first_answer_ms: int | None = None
    last_end_ms: int | None = None
    opened_ms: dict[StepId, int] = field(default_factory=dict)
    step_waits_ms: dict[StepId, int] = field(default_factory=dict)

    def note_step_opened(self, step: StepId, now_ms: int) -> None:
        """Record that a step was opened."""
        self.opened_ms[step] = now_ms

    def note_start_ordered(self, step: StepId, is_first_run: bool, now_ms: int) -> None:
        """Record that the start of a task was ordered."""
        if self.first_order_ms is None:
            self.first_order_ms = now_ms
        if is_first_run and step in self.opened_ms:
            self.step_waits_ms[step] = now_ms - self.opened_ms[step]

    def note_start_answered(self, now_ms: int) -> None:
        """Record that the order of a start was answered."""
        if self.first_answer_ms is None:
            self.first_answer_ms = now_ms

    def parts(self, written_ms: int) -> JobParts:
        """Return the duration of each part, once the last end is written.

        A part whose event was not seen here has the duration 0.
        """
        first_order_ms = _not_before(self.first_order_ms, self.arrived_ms)
        first_answer_ms = _not_before(self.first_answer_ms, first_order_ms)
        last_end_ms = _not_before(self.last_end_ms, first_answer_ms)
        return JobParts(
            order_ms=first_order_ms - self.arrived_ms,
            answer_ms=first_answer_ms - first_order_ms,
            run_ms=last_end_ms - first_answer_ms,
            write_ms=written_ms - last_end_ms,
            steps_wait_ms=sum(self.step_waits_ms.values()),
            longest_wait_ms=max(self.step_waits_ms.values(), default=0),
        )


@dataclass(frozen=True, slots=True)
class JobParts:
    """Durations of the parts of a job's life; the first four are consecutive.

    Parameters
    ----------
    order_ms : int
        From the arrival at the owner to the first order.
    answer_ms : int
        From the first order to its answer.
    run_ms : int
        From this answer to the last end, the waits of later steps included.
    write_ms : int
        From the last end to the answer to its commit.
    steps_wait_ms : int
        Sum of the waits of all steps for their starts.
    longest_wait_ms : int
        Longest wait of a step.
    """

    order_ms: int
    answer_ms: int
    run_ms: int
    write_ms: int
    steps_wait_ms: int
    longest_wait_ms: int

    def consecutive_ms(self) -> dict[str, int]:
        """Return the durations of the consecutive parts, by name."""
        return {
            "order": self.order_ms,
            "answer": self.answer_ms,
            "run": self.run_ms,
            "write": self.write_ms,
        }


def _not_before(moment_ms: int | None, earliest_ms: int) -> int:
    return earliest_ms if moment_ms is None else max(moment_ms, earliest_ms)
