"""Lines that are relevant to a question, and the reason for the outcome of a job."""

from __future__ import annotations

from dataclasses import dataclass

from cornelturn.explain.clocks import job_of
from cornelturn.explain.lines import LogLine
from cornelturn.explain.paces import pace_reason
from cornelturn.explain.refusals import refusal_reason
from cornelturn.explain.waits import (
    CAP_EVENTS,
    NoRoom,
    describe_wait,
    read_wait,
    wait_cause,
)

CONTEXT_MS = 3_000
"""Time before and after a job in which lost contact may explain its outcome: the
longest lease of an entry and a margin."""

LATE_START_MS = 500
"""Wait above which a late first start counts as a cause: the stated 95th percentile."""

OWNERSHIP_EVENTS = frozenset(
    {"duty_taken", "duty_lost", "duty_released", "pool_loaded"}
)
TARGET_EVENTS = frozenset(
    {
        "target_silent",
        "target_reachable",
        "target_gone",
        "target_draining",
        "target_avoided",
    }
)
STORE_EVENTS = frozenset({"store_lost", "store_regained"})


@dataclass(frozen=True, slots=True)
class Question:
    """Which lines to select; an empty field does not restrict the selection.

    Parameters
    ----------
    from_ms, to_ms : int or None
        Bounds of the time of the lines, None for no bound.
    """

    job: str = ""
    target: str = ""
    entry: str = ""
    from_ms: int | None = None
    to_ms: int | None = None

    def covers(self, line: LogLine) -> bool:
        """Return whether a line is within the bounds of time."""
        is_early = self.from_ms is not None and line.time_ms < self.from_ms
        is_late = self.to_ms is not None and line.time_ms > self.to_ms
        return not is_early and not is_late


@dataclass(frozen=True, slots=True)
class Explanation:
    """Lines in order and, for a job, the reason in one sentence."""

    lines: tuple[LogLine, ...]
    reason: str


@dataclass(frozen=True, slots=True)
class JobContext:
    """What the lines on a job name; lines on the same may explain its outcome."""

    pools: set[str]
    targets: set[str]
    entries: set[str]
    organisations: set[str]

    @classmethod
    def from_lines(cls, job_lines: list[LogLine]) -> JobContext:
        """Return what the lines on a job name."""
        return cls(
            {line.value("pool") for line in job_lines} - {""},
            {line.value("target") for line in job_lines} - {""},
            {line.entry for line in job_lines},
            {line.value("organisation") for line in job_lines} - {"", "-"},
        )

    def concerns(self, line: LogLine) -> bool:
        """Return whether a line on other events may explain the outcome."""
        if line.event in OWNERSHIP_EVENTS:
            return (line.value("duty") or line.value("pool")) in self.pools
        if line.event in TARGET_EVENTS:
            return line.value("target") in self.targets
        if line.event in STORE_EVENTS:
            return line.entry in self.entries
        if line.event in CAP_EVENTS:
            return line.value("organisation") in self.organisations
        return False


def explain(question: Question, lines: list[LogLine]) -> Explanation:
    """Return the explanation for a question; the lines must be in order of time."""
    covered = [line for line in lines if question.covers(line)]
    if question.job:
        return _explain_job(question.job, covered)
    return Explanation(tuple(line for line in covered if _selects(question, line)), "")


def _selects(question: Question, line: LogLine) -> bool:
    is_about_target = not question.target or line.value("target") == question.target
    is_from_entry = not question.entry or question.entry in (
        line.entry,
        line.value("entry"),
    )
    return is_about_target and is_from_entry


def _explain_job(job: str, lines: list[LogLine]) -> Explanation:
    job_lines = [line for line in lines if job_of(line) == job]
    if not job_lines:
        return Explanation(
            (), f"No line names job {job}: its entry's log may be missing."
        )
    first_ms = job_lines[0].time_ms - CONTEXT_MS
    last_ms = job_lines[-1].time_ms + CONTEXT_MS
    context = JobContext.from_lines(job_lines)
    relevant: list[LogLine] = []
    for line in lines:
        is_near = first_ms <= line.time_ms <= last_ms
        if job_of(line) == job or (is_near and context.concerns(line)):
            relevant.append(line)
    return Explanation(tuple(relevant), reason_of(job_lines, relevant, lines))


def reason_of(
    job_lines: list[LogLine], relevant: list[LogLine], lines: list[LogLine]
) -> str:
    """Return the reason for the outcome of a job in one sentence.

    Parameters
    ----------
    job_lines : list of LogLine
        Lines that name the job.
    relevant : list of LogLine
        These lines and their context.
    lines : list of LogLine
        All lines: a cap may have been reached, and others started, long before.
    """
    accepted = [
        line
        for line in job_lines
        if line.event == "submit" and line.value("outcome") == "Accepted"
    ]
    starts = [line for line in job_lines if line.event == "run_start"]
    if not accepted and not starts:
        return refusal_reason(job_lines)
    final = next((line for line in job_lines if line.event == "job_final"), None)
    state = final.value("state") if final is not None else "not over"
    parts = [_outcome_cause(state, job_lines, relevant, lines)]
    if final is not None and final.value("after_ms"):
        parts.append(f"{final.value('after_ms')} ms after its owner had it")
    return f"The job is {state}: " + ", ".join(parts) + "."


def _outcome_cause(
    state: str, job_lines: list[LogLine], relevant: list[LogLine], lines: list[LogLine]
) -> str:
    starts = [line for line in job_lines if line.event == "run_start"]
    failed = [line for line in job_lines if line.value("how") == "failed"]
    if state == "failed":
        return f"{len(failed)} of its runs failed, the last on {_last_target(failed)}"
    if any(line.event == "cancel" for line in job_lines):
        return "a caller cancelled it"
    if not starts:
        return _missing_start_cause(job_lines, relevant, lines)
    lost_runs = [
        line
        for line in job_lines
        if line.event in ("run_lapsed", "run_missing")
        and not _is_from_former_owner(line, relevant)
    ]
    if lost_runs:
        return _lost_run_cause(lost_runs[0], relevant)
    takeover = _last_takeover(relevant, starts[0].time_ms)
    if takeover is not None:
        return (
            f"its pool went to {takeover.entry} "
            f"(generation {takeover.value('generation')})"
        )
    wait = read_wait(job_lines, lines)
    if wait is not None and wait.duration_ms() > LATE_START_MS:
        return describe_wait(wait, wait_cause(wait, lines))
    stops = [line for line in job_lines if line.event == "run_stop"]
    if stops:
        return f"a run of it was stopped ({stops[0].value('reason')})"
    if failed:
        return f"{len(failed)} of its runs failed and ran again"
    pace = pace_reason(job_lines, lines)
    if pace:
        return pace
    return "it ran without delay"


def _missing_start_cause(
    job_lines: list[LogLine], relevant: list[LogLine], lines: list[LogLine]
) -> str:
    wait = read_wait(job_lines, lines)
    if wait is not None and wait.duration_ms() > LATE_START_MS:
        cause = wait_cause(wait, lines)
        if not isinstance(cause, NoRoom):
            return f"no run has started; {describe_wait(wait, cause)}"
    if any(line.event in OWNERSHIP_EVENTS for line in relevant):
        return "its pool changed hands and no run has started"
    return "no run has started in the logs that are here"


def _lost_run_cause(lost_run: LogLine, relevant: list[LogLine]) -> str:
    target = lost_run.value("target")
    silent_lines = [
        line
        for line in relevant
        if line.event == "target_silent" and line.value("target") == target
    ]
    if silent_lines:
        waited = lost_run.time_ms - silent_lines[-1].time_ms
        return f"target {target} was silent; its lease lapsed {waited} ms later"
    return f"target {target} no longer had its run {lost_run.value('run')}"


def _is_from_former_owner(line: LogLine, relevant: list[LogLine]) -> bool:
    """Return whether the pool had another owner when an entry logged a line."""
    takeovers = [
        other
        for other in relevant
        if other.event == "duty_taken" and other.time_ms <= line.time_ms
    ]
    return bool(takeovers) and takeovers[-1].entry != line.entry


def _last_takeover(relevant: list[LogLine], first_start_ms: int) -> LogLine | None:
    """Return the last takeover of the pool after the first start, if any."""
    takeovers = [
        line
        for line in relevant
        if line.event == "duty_taken" and line.time_ms > first_start_ms
    ]
    return takeovers[-1] if takeovers else None


def _last_target(lines: list[LogLine]) -> str:
    return lines[-1].value("target") if lines else "an unknown target"
