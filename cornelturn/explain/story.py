"""The lines that bear on a question, and the reason for the outcome of a job."""

from __future__ import annotations

from dataclasses import dataclass

from cornelturn.explain.clocks import job_of
from cornelturn.explain.lines import LogLine

CONTEXT_MS = 3_000
"""Time around a job in which losses of contact may explain it: the longest lease of
an entry and a margin."""

LATE_START_MS = 500
"""Wait for a first start that is worth a reason: the stated 95th percentile."""

OWNERSHIP = frozenset({"duty_taken", "duty_lost", "duty_released", "pool_loaded"})
TARGET = frozenset(
    {
        "target_silent",
        "target_reachable",
        "target_gone",
        "target_draining",
        "target_avoided",
    }
)
STORE = frozenset({"store_lost", "store_regained"})


@dataclass(frozen=True, slots=True)
class Question:
    """What is asked about; empty fields select nothing.

    Parameters
    ----------
    from_ms, to_ms : int or None
        Bounds of the time, None for no bound.
    """

    job: str = ""
    target: str = ""
    entry: str = ""
    from_ms: int | None = None
    to_ms: int | None = None

    def covers(self, line: LogLine) -> bool:
        """Return whether a line is within the time."""
        is_early = self.from_ms is not None and line.time_ms < self.from_ms
        is_late = self.to_ms is not None and line.time_ms > self.to_ms
        return not is_early and not is_late


@dataclass(frozen=True, slots=True)
class Story:
    """Lines in order and, for a job, the reason in one sentence."""

    lines: tuple[LogLine, ...]
    reason: str


def tell(question: Question, lines: list[LogLine]) -> Story:
    """Return the story that answers a question, from lines in order."""
    covered = [one for one in lines if question.covers(one)]
    if question.job:
        return _job_story(question.job, covered)
    return Story(tuple(one for one in covered if _selects(question, one)), "")


def _selects(question: Question, line: LogLine) -> bool:
    is_about = not question.target or line.value("target") == question.target
    is_by = not question.entry or question.entry in (line.entry, line.value("entry"))
    return is_about and is_by


def _job_story(job: str, lines: list[LogLine]) -> Story:
    own = [one for one in lines if job_of(one) == job]
    if not own:
        return Story((), f"No line names job {job}: its entry's log may be missing.")
    first_ms = own[0].time_ms - CONTEXT_MS
    last_ms = own[-1].time_ms + CONTEXT_MS
    pools = {one.value("pool") for one in own} - {""}
    targets = {one.value("target") for one in own} - {""}
    entries = {one.entry for one in own}
    told: list[LogLine] = []
    for line in lines:
        is_near = first_ms <= line.time_ms <= last_ms
        if job_of(line) == job or (
            is_near and _is_context(line, pools, targets, entries)
        ):
            told.append(line)
    return Story(tuple(told), reason_of(own, told))


def _is_context(
    line: LogLine, pools: set[str], targets: set[str], entries: set[str]
) -> bool:
    match line.event:
        case event if event in OWNERSHIP:
            return (line.value("duty") or line.value("pool")) in pools
        case event if event in TARGET:
            return line.value("target") in targets
        case event if event in STORE:
            return line.entry in entries
        case _:
            return False


def reason_of(own: list[LogLine], told: list[LogLine]) -> str:
    """Return the reason for the outcome of a job in one sentence.

    Parameters
    ----------
    own : list of LogLine
        Lines that name the job.
    told : list of LogLine
        These and their context.
    """
    accepted = [
        one
        for one in own
        if one.event == "submit" and one.value("outcome") == "Accepted"
    ]
    starts = [one for one in own if one.event == "run_start"]
    if not accepted and not starts:
        return _refusal(own)
    final = next((one for one in own if one.event == "job_final"), None)
    state = final.value("state") if final is not None else "not over"
    parts = [_cause(state, own, told, starts)]
    if final is not None and final.value("after_ms"):
        parts.append(f"{final.value('after_ms')} ms after its owner had it")
    return f"The job is {state}: " + ", ".join(parts) + "."


def _refusal(own: list[LogLine]) -> str:
    last = own[-1]
    if last.event != "submit":
        return "The job was accepted in no log that is here."
    store = last.value("store")
    match last.value("outcome"):
        case "Refused":
            return f"Refused at {last.entry}: the store did not take it ({store})."
        case _:
            return f"In doubt at {last.entry}: the store did not answer ({store})."


def _cause(
    state: str, own: list[LogLine], told: list[LogLine], starts: list[LogLine]
) -> str:
    failed = [one for one in own if one.value("how") == "failed"]
    if state == "failed":
        return f"{len(failed)} of its runs failed, the last on {_target(failed)}"
    if any(one.event == "cancel" for one in own):
        return "a caller cancelled it"
    if not starts:
        return _no_start(told)
    lost = [
        one
        for one in own
        if one.event in ("run_lapsed", "run_missing") and not _is_outdated(one, told)
    ]
    if lost:
        return _lost_run(lost[0], told)
    taken = _takeover(told, starts[0].time_ms)
    if taken is not None:
        return (
            f"its pool went to {taken.entry} (generation {taken.value('generation')})"
        )
    waited = starts[0].number("waited_ms")
    if waited > LATE_START_MS:
        return f"it waited {waited} ms for room in {starts[0].value('pool')}"
    stopped = [one for one in own if one.event == "run_stop"]
    if stopped:
        return f"a run of it was stopped ({stopped[0].value('reason')})"
    if failed:
        return f"{len(failed)} of its runs failed and ran again"
    return "it ran without delay"


def _no_start(told: list[LogLine]) -> str:
    if any(one.event in OWNERSHIP for one in told):
        return "its pool changed hands and no run has started"
    return "no run has started in the logs that are here"


def _lost_run(lost: LogLine, told: list[LogLine]) -> str:
    target = lost.value("target")
    silent = [
        one
        for one in told
        if one.event == "target_silent" and one.value("target") == target
    ]
    if silent:
        waited = lost.time_ms - silent[-1].time_ms
        return f"target {target} was silent; its lease lapsed {waited} ms later"
    return f"target {target} no longer had its run {lost.value('run')}"


def _is_outdated(line: LogLine, told: list[LogLine]) -> bool:
    """Return whether another entry owned the pool when an entry wrote a line."""
    taken = [
        one for one in told if one.event == "duty_taken" and one.time_ms <= line.time_ms
    ]
    return bool(taken) and taken[-1].entry != line.entry


def _takeover(told: list[LogLine], first_start_ms: int) -> LogLine | None:
    """Return the last change of the owner after the first start, if any."""
    taken = [
        one
        for one in told
        if one.event == "duty_taken" and one.time_ms > first_start_ms
    ]
    return taken[-1] if taken else None


def _target(lines: list[LogLine]) -> str:
    return lines[-1].value("target") if lines else "an unknown target"
