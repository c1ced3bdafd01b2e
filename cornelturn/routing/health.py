"""Health of a target, derived from the outcomes of distinct requests."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum

WINDOW_OUTCOMES = 16
MIN_FAILURES = 4
FAILURE_FRACTION = 0.5
FIRST_EJECTION_MS = 2_000
MAX_EJECTION_MS = 120_000


class HealthState(StrEnum):
    """Whether a target may receive work, or only one trial request at a time."""

    SERVING = "serving"
    EJECTED = "ejected"
    TRIAL = "trial"


@dataclass(frozen=True, slots=True)
class RequestOutcome:
    """Outcome of one request at one target."""

    request: str
    is_success: bool


@dataclass(slots=True)
class TargetHealth:
    """Sliding window of request outcomes, with ejection and trial requests.

    Ejection requires failures of several distinct requests, so that one request
    that fails on every target ejects none.
    """

    state: HealthState = HealthState.SERVING
    outcomes: deque[RequestOutcome] = field(
        default_factory=lambda: deque(maxlen=WINDOW_OUTCOMES)
    )
    ejected_until_ms: int = 0
    ejection_ms: int = FIRST_EJECTION_MS

    def record_success(self, request: str) -> None:
        """Record a success; a successful trial readmits the target."""
        if self.state is HealthState.TRIAL:
            self.state = HealthState.SERVING
            self.outcomes.clear()
        self.outcomes.append(RequestOutcome(request, True))
        failures = sum(not outcome.is_success for outcome in self.outcomes)
        if failures == 0:
            self.ejection_ms = FIRST_EJECTION_MS

    def record_failure(self, request: str) -> None:
        """Record a failure of a request."""
        self.outcomes.append(RequestOutcome(request, False))

    def discard_outcomes(self, request: str) -> None:
        """Discard the outcomes of a request that also failed on another target."""
        remaining = [outcome for outcome in self.outcomes if outcome.request != request]
        self.outcomes.clear()
        self.outcomes.extend(remaining)

    def is_failing(self) -> bool:
        """Return whether the outcomes in the window justify an ejection."""
        failed = {
            outcome.request for outcome in self.outcomes if not outcome.is_success
        }
        total = len({outcome.request for outcome in self.outcomes})
        has_failed_trial = self.state is HealthState.TRIAL and bool(failed)
        is_failure_rate_high = (
            len(failed) >= MIN_FAILURES and len(failed) > FAILURE_FRACTION * total
        )
        return has_failed_trial or is_failure_rate_high or self._has_failure_streak()

    def _has_failure_streak(self) -> bool:
        """Return whether the last outcomes are failures of distinct requests."""
        last = list(self.outcomes)[-MIN_FAILURES:]
        failed = {outcome.request for outcome in last if not outcome.is_success}
        return len(failed) >= MIN_FAILURES

    def eject(self, now_ms: int) -> None:
        """Eject the target; the ejection time doubles while trials keep failing."""
        self.state = HealthState.EJECTED
        self.ejected_until_ms = now_ms + self.ejection_ms
        self.ejection_ms = min(self.ejection_ms * 2, MAX_EJECTION_MS)
        self.outcomes.clear()

    def start_trial(self) -> None:
        """Allow one request at a time until one succeeds."""
        self.state = HealthState.TRIAL
