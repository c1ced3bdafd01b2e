"""Which targets to name in a request for approval, and how long a call may take."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from cornelturn.advice.knowledge import StepAdvice
from cornelturn.model.routes import ApprovalTimes
from cornelturn.targets.model import TargetLife

MAX_NAMES = 30
"""Most targets in one call: a caller's objective leaves time for one such call."""

MIN_NAMES = 6
"""Fewest unknown targets in a call, if there are as many. A second call costs
`decision_ms` again; with half of the targets approved, 1 in 64 first calls
gets none."""

CALL_TIMEOUT_FACTOR = 3
CALL_MARGIN_MS = 1_000
"""A call may wait for those of other pools of the entry, which are served in turn."""

MAX_TIMEOUT_DOUBLINGS = 3
"""A call that is repeated because its answer was late is given more time."""


@dataclass(frozen=True, slots=True)
class Option:
    """A target that the planner may choose; ``slots`` tasks of the step fit there."""

    life: TargetLife
    slots: int


def call_ms(times: ApprovalTimes, names: int) -> int:
    """Return how long the service takes to answer."""
    return times.decision_ms + times.period_ms * names


def timeout_ms(times: ApprovalTimes, names: int, failures: int) -> int:
    """Return the time limit of a call."""
    limit_ms = CALL_TIMEOUT_FACTOR * call_ms(times, names) + CALL_MARGIN_MS
    return limit_ms << min(failures, MAX_TIMEOUT_DOUBLINGS)


def max_names(times: ApprovalTimes) -> int:
    """Return how many targets a call may name.

    Its answer must arrive within half the validity of the tickets.
    """
    if times.period_ms <= 0:
        return MAX_NAMES
    available_ms = times.validity_ms // 2 - times.decision_ms
    return max(1, min(MAX_NAMES, available_ms // times.period_ms))


def renewal_ms(times: ApprovalTimes) -> int:
    """Return how long before its end a ticket is requested again."""
    return min(call_ms(times, max_names(times)), times.validity_ms // 3)


def choose_targets(
    advice: StepAdvice,
    options: Sequence[Option],
    width: int,
    approved_share: float,
    limit: int,
    until_ms: int,
) -> tuple[TargetLife, ...]:
    """Return the targets to ask about, none if the tickets suffice.

    Targets that were approved before come first, as their approval is certain.

    Parameters
    ----------
    options : sequence of Option
        Targets in the order in which the planner would choose them.
    width : int
        Number of tasks to place.
    approved_share : float
        Expected share of approved targets.
    until_ms : int
        Time up to which a ticket must be valid to count.
    """
    missing = float(width)
    known: list[Option] = []
    unknown: list[Option] = []
    for option in options:
        if advice.ticket(option.life, until_ms):
            missing -= option.slots
        elif option.life.name in advice.approved:
            known.append(option)
        elif option.life.name not in advice.refused:
            unknown.append(option)
    chosen: list[TargetLife] = []
    for option in known:
        if missing <= 0 or len(chosen) >= limit:
            break
        chosen.append(option.life)
        missing -= option.slots
    first_unknown = len(chosen)
    if missing > 0:
        for option in unknown[: limit - first_unknown]:
            if missing <= 0 and len(chosen) - first_unknown >= MIN_NAMES:
                break
            chosen.append(option.life)
            missing -= option.slots * approved_share
    return tuple(chosen)
