"""Why a job was not accepted, from the lines of the entry that it was handed to."""

from __future__ import annotations

from cornelturn.explain.lines import LogLine
from cornelturn.model.organisations import RefusalReason

REFUSAL_EVENTS = frozenset({"job_refused", "job_too_large"})
"""Lines that an entry writes in place of `submit`."""


def refusal_reason(job_lines: list[LogLine]) -> str:
    """Return why a job was not accepted at its last try, in one sentence."""
    tries = [
        line
        for line in job_lines
        if line.event == "submit" or line.event in REFUSAL_EVENTS
    ]
    if not tries:
        return "The job was accepted in no log that is here."
    last = tries[-1]
    match last.event, last.value("outcome") or last.value("reason"):
        case "job_refused", RefusalReason.OVER_RATE.value:
            return (
                f"Refused at {last.entry}: organisation {last.value('organisation')} "
                f"was over its rate, and {_expected_wait(last)}."
            )
        case "job_refused", _:
            return (
                f"Refused at {last.entry}: {last.value('pool')} had too much work, and "
                f"{_expected_wait(last)}."
            )
        case "job_too_large", _:
            return (
                f"Refused at {last.entry}: it is {last.value('missing_bytes')} bytes "
                f"over the limit of {last.value('limit')} for a row."
            )
        case _, "Refused":
            store = last.value("store")
            return f"Refused at {last.entry}: the store did not take it ({store})."
        case _:
            store = last.value("store")
            return f"In doubt at {last.entry}: the store did not answer ({store})."


def _expected_wait(line: LogLine) -> str:
    return (
        f"it would have waited {line.value('wait_ms')} ms by a report "
        f"{line.value('age_ms')} ms old"
    )
