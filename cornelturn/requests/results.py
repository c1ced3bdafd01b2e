"""Maps the result of an exchange with a target to the outcome of its request."""

from __future__ import annotations

from cornelturn.model.outcome import (
    Completed,
    Failed,
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
)
from cornelturn.requests.target_client import (
    TargetCheckpointed,
    TargetCompleted,
    TargetFailed,
    TargetLeaving,
    TargetNotReached,
    TargetResult,
    TargetSilent,
)


def outcome_of_result(target: str, result: TargetResult) -> Outcome:
    """Return the outcome that follows from the result of one attempt alone."""
    match result:
        case TargetCompleted(body, content_type, run_ms):
            return Completed(body, content_type, target, run_ms)
        case TargetFailed(detail):
            return Failed(detail, target)
        case TargetSilent(detail):
            return Unknown(detail, target)
        case TargetCheckpointed():
            return Unknown("checkpointed", target)
        case TargetNotReached(detail):
            return NotRun(NotRunReason.TARGET_UNREACHABLE, detail)
        case TargetLeaving():
            return NotRun(NotRunReason.TARGET_UNREACHABLE, "leaving")
