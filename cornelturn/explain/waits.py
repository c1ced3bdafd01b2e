"""Why a job waited for its first start, from the lines of all entries.

Caps are logged for an organisation, approvals for a step, and starts with the share of
their organisation. The cause of a wait is the one that covers most of it.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from cornelturn.explain.clocks import job_of
from cornelturn.explain.lines import LogLine
from cornelturn.ownership.duties import QUOTA_DUTY
from cornelturn.scheduling.wait_reasons import MIN_WAIT_MS, WaitReason

CAP_EVENTS = frozenset({"organisation_at_cap", "organisation_below_cap"})


@dataclass(frozen=True, slots=True)
class Wait:
    """Wait of a job for its first start.

    Parameters
    ----------
    from_ms, until_ms : int
        When it began, and the time of the start, or of the last line if there was none.
    start : LogLine or None
        The first start of the job.
    """

    job: str
    pool: str
    organisation: str
    from_ms: int
    until_ms: int
    start: LogLine | None = None

    def duration_ms(self) -> int:
        """Return how long the job waited."""
        return self.until_ms - self.from_ms

    def overlap_ms(self, from_ms: int, until_ms: int) -> int:
        """Return how much of the wait a period covers."""
        return max(0, min(until_ms, self.until_ms) - max(from_ms, self.from_ms))

    def covers(self, line: LogLine) -> bool:
        """Return whether a line was written during the wait."""
        return self.from_ms <= line.time_ms <= self.until_ms


@dataclass(frozen=True, slots=True)
class CapReached:
    """The quota of its organisation was allotted in full.

    Parameters
    ----------
    covered_ms : int
        How much of the wait this covers, as in the other causes.
    line : LogLine
        The last line that states it.
    """

    covered_ms: int
    line: LogLine


@dataclass(frozen=True, slots=True)
class ApprovalPending:
    """No target was approved for its step.

    Parameters
    ----------
    last : LogLine
        Last answer or failure of the service that approves targets.
    """

    covered_ms: int
    last: LogLine


@dataclass(frozen=True, slots=True)
class QuotaRefused:
    """The quota of its organisation did not admit it at the owner of its pool."""

    covered_ms: int


@dataclass(frozen=True, slots=True)
class FasterTarget:
    """The free targets were so slow that it was to be done sooner on a later one."""

    covered_ms: int


@dataclass(frozen=True, slots=True)
class RackAwaited:
    """Its rack had no room, and a run there should have ended sooner than elsewhere."""

    covered_ms: int


@dataclass(frozen=True, slots=True)
class RoomLacking:
    """It was tried and no target had room for it."""

    covered_ms: int


@dataclass(frozen=True, slots=True)
class BeyondRate:
    """It started after the work within the rates."""

    organisation: str


@dataclass(frozen=True, slots=True)
class OthersFirst:
    """Runs of other organisations started before it.

    Parameters
    ----------
    starts, own_starts : int
        Logged starts of other organisations, and of its own.
    share : str
        Dominant share of its organisation with its last start, in thousandths.
    """

    starts: int
    own_starts: int
    share: str


@dataclass(frozen=True, slots=True)
class NoRoom:
    """No line tells of another cause."""


CoveringCause = (
    CapReached
    | ApprovalPending
    | QuotaRefused
    | FasterTarget
    | RackAwaited
    | RoomLacking
)
WaitCause = CoveringCause | BeyondRate | OthersFirst | NoRoom


def read_wait(job_lines: list[LogLine], lines: list[LogLine]) -> Wait | None:
    """Return the wait of a job, None if no line tells when it began.

    An owner counts a wait from when it came to know the job, so the wait begins with
    the line `submit` if the pool got another owner before the start.
    """
    submit = next((line for line in job_lines if line.event == "submit"), None)
    start = next((line for line in job_lines if line.event == "run_start"), None)
    source = submit or start
    if source is None:
        return None
    until_ms = start.time_ms if start is not None else lines[-1].time_ms
    from_ms = source.time_ms
    pool = source.value("pool")
    if start is not None:
        known_ms = until_ms - start.number("waited_ms")
        has_new_owner = submit is not None and any(
            line.event == "duty_taken"
            and line.value("duty") == pool
            and submit.time_ms <= line.time_ms <= until_ms
            for line in lines
        )
        from_ms = min(from_ms, known_ms) if has_new_owner else known_ms
    organisation = _organisation(source)
    return Wait(job_of(source), pool, organisation, from_ms, until_ms, start)


def _organisation(line: LogLine) -> str:
    """Return the organisation that a line names, empty for a job without one."""
    return line.value("organisation").removeprefix("-")


def wait_cause(wait: Wait, lines: Iterable[LogLine]) -> WaitCause:
    """Return why a job waited; the lines must be in order of time."""
    ordered = list(lines)
    causes: list[CoveringCause | None] = [
        _cap_reached(wait, ordered),
        _approval_pending(wait, ordered),
        *_logged_causes(wait, ordered),
    ]
    covering = [
        cause
        for cause in causes
        if cause is not None and 2 * cause.covered_ms >= wait.duration_ms()
    ]
    if covering:
        return max(covering, key=lambda cause: cause.covered_ms)
    if wait.start is not None and wait.start.value("is_beyond_rate") == "true":
        return BeyondRate(wait.organisation)
    return _others_first(wait, ordered) or NoRoom()


def describe_wait(wait: Wait, cause: WaitCause) -> str:
    """Return the cause of a wait as a part of a sentence."""
    waited = f"it waited {wait.duration_ms()} ms"
    match cause:
        case CapReached(covered_ms, line):
            return (
                f"{waited}, {covered_ms} ms of them while organisation "
                f"{wait.organisation} was at its cap (CPU {line.value('running_cpu')} "
                f"of {line.value('cap_cpu')}, memory {line.value('running_mem_mb')} of "
                f"{line.value('cap_mem_mb')} MB, accelerators "
                f"{line.value('running_gpu')} of {line.value('cap_gpu')})"
            )
        case ApprovalPending(covered_ms, last):
            answer = last.value("detail") or f"{last.value('approved')} approved"
            return (
                f"{waited}, {covered_ms} ms of them for the approval of a target "
                f"(last answer: {answer})"
            )
        case QuotaRefused(covered_ms):
            return (
                f"{waited}, {covered_ms} ms of them for the quota of organisation "
                f"{wait.organisation}"
            )
        case FasterTarget(covered_ms):
            return f"{waited}, {covered_ms} ms of them for a faster target"
        case RackAwaited(covered_ms):
            return f"{waited}, {covered_ms} ms of them for its rack"
        case BeyondRate(organisation):
            return f"{waited}, as it was beyond the rate of organisation {organisation}"
        case OthersFirst(starts, own_starts, share):
            return (
                f"{waited} for a share of {wait.pool}: at least {starts} runs of other "
                f"organisations and {own_starts} of its own started before it, which "
                f"held {share} thousandths"
            )
        case RoomLacking() | NoRoom():
            return f"{waited} for room in {wait.pool}"


def _cap_reached(wait: Wait, lines: list[LogLine]) -> CapReached | None:
    """Return how long the organisation was at its cap during the wait.

    A new holder of the quota logs the state anew, so that its takeover ends what the
    former one has logged.
    """
    if not wait.organisation:
        return None
    covered_ms = 0
    opened: LogLine | None = None
    last: LogLine | None = None
    for line in lines:
        is_takeover = line.event == "duty_taken" and line.value("duty") == QUOTA_DUTY
        is_about = line.event in CAP_EVENTS and (
            line.value("organisation") == wait.organisation
        )
        if not is_takeover and not is_about:
            continue
        if opened is not None:
            covered_ms += wait.overlap_ms(opened.time_ms, line.time_ms)
            opened = None
        if line.event == "organisation_at_cap" and line.time_ms <= wait.until_ms:
            opened = last = line
    if opened is not None:
        covered_ms += wait.overlap_ms(opened.time_ms, wait.until_ms)
    return None if last is None or not covered_ms else CapReached(covered_ms, last)


def _approval_pending(wait: Wait, lines: list[LogLine]) -> ApprovalPending | None:
    """Return how long the job waited until a target was approved for a step."""
    answers = [
        line
        for line in lines
        if line.event in ("advice_answered", "advice_failed")
        and job_of(line) == wait.job
        and wait.covers(line)
    ]
    if not answers:
        return None
    for line in answers:
        if line.number("approved"):
            return ApprovalPending(line.time_ms - wait.from_ms, line)
    return ApprovalPending(wait.duration_ms(), answers[-1])


def _logged_causes(wait: Wait, lines: list[LogLine]) -> list[CoveringCause]:
    """Return the causes that the owners of the pool have logged for the job."""
    causes: list[CoveringCause] = []
    for reason, covered_ms in _covered_by_reason(wait, lines).items():
        match reason:
            case WaitReason.QUOTA.value:
                causes.append(QuotaRefused(covered_ms))
            case WaitReason.FASTER_TARGET.value:
                causes.append(FasterTarget(covered_ms))
            case WaitReason.RACK.value:
                causes.append(RackAwaited(covered_ms))
            case WaitReason.ROOM.value:
                causes.append(RoomLacking(covered_ms))
    return causes


def _covered_by_reason(wait: Wait, lines: list[LogLine]) -> Counter[str]:
    """Return how much of the wait each logged reason covers, the empty one if none.

    A reason holds until the next one, and ends with its owner.
    """
    covered_ms: Counter[str] = Counter()
    reason, since_ms = "", wait.from_ms
    for line in lines:
        if line.event == "wait_reason" and job_of(line) == wait.job:
            following = line.value("reason")
        elif line.event == "duty_taken" and line.value("duty") == wait.pool:
            following = ""
        else:
            continue
        covered_ms[reason] += wait.overlap_ms(since_ms, line.time_ms)
        since_ms = line.time_ms
        if not reason and following != WaitReason.QUOTA.value:
            # An owner logs the first of these reasons only after a wait of that length.
            since_ms -= min(MIN_WAIT_MS, line.number("waited_ms"))
        reason = following
    covered_ms[reason] += wait.overlap_ms(since_ms, wait.until_ms)
    return covered_ms


def _others_first(wait: Wait, lines: list[LogLine]) -> OthersFirst | None:
    """Return the starts of other organisations, None without regard to shares."""
    starts = [
        line
        for line in lines
        if line.event == "run_start"
        and line.value("pool") == wait.pool
        and line.value("share") not in ("", "-")
        and wait.covers(line)
        and job_of(line) != wait.job
    ]
    own = [line for line in starts if _organisation(line) == wait.organisation]
    if len(starts) == len(own):
        return None
    held = wait.start or (own[-1] if own else None)
    share = (held.value("share") if held is not None else "") or "0"
    return OthersFirst(len(starts) - len(own), len(own), share)
