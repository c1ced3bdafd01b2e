"""Each reason for a refusal or a wait must be told from the others."""

from __future__ import annotations

import pytest

from cornelturn.tests.test_explain import JOB, explain_logs, log_line

AT_CAP = (
    "organisation_at_cap organisation=acme running_cpu=4000 running_mem_mb=512 "
    "running_gpu=0 cap_cpu=4000 cap_mem_mb=1024 cap_gpu=0"
)
SUBMIT = f"submit job={JOB} pool=mail organisation=acme outcome=Accepted took_ms=5"
REFUSED = f"job_refused job={JOB} pool=mail organisation=acme wait_ms=900 age_ms=40"


def start(second: float, waited_ms: int, rest: str = "is_beyond_rate=false") -> str:
    fields = f"pool=mail target=t-1 waited_ms={waited_ms} organisation=acme {rest}"
    return log_line(second, f"run_start run={JOB}.0.0.0#1 {fields}")


def other_start(second: float, organisation: str, share: str) -> str:
    run = f"{int(second * 1000):016x}.0.0.0#1"
    fields = f"pool=mail organisation={organisation} share={share}"
    return log_line(second, f"run_start run={run} {fields}")


def reason(*lines: str) -> str:
    entry = log_line(0.0, "entry_started entry=one")
    return explain_logs([entry, *lines]).reason


@pytest.mark.parametrize(
    ("event", "expected"),
    [
        (f"{REFUSED} reason=over_rate", "organisation acme was over its rate"),
        (f"{REFUSED} reason=overload", "mail had too much work"),
        (f"job_too_large job={JOB} missing_bytes=9 limit=100", "it is 9 bytes over"),
    ],
)
def test_refusal_before_the_store_is_not_reported_as_a_missing_log(event, expected):
    assert reason(log_line(3.0, event)).startswith(f"Refused at one: {expected}")


def test_job_accepted_after_a_refusal_is_explained_by_its_run():
    lines = log_line(1.0, f"{REFUSED} reason=overload"), log_line(2.0, SUBMIT)
    assert "it ran without delay" in reason(*lines, start(2.1, 90))


def test_wait_at_the_cap_is_not_reported_as_a_lack_of_room():
    lines = log_line(1.0, AT_CAP), log_line(6.0, SUBMIT), start(9.0, 3000)
    below = log_line(8.5, "organisation_below_cap organisation=acme")
    expected = "3000 ms, 2500 ms of them while organisation acme was at its cap (CPU 4"
    assert expected in reason(*lines, below)


def test_cap_of_another_organisation_explains_nothing():
    other = AT_CAP.replace("acme", "other")
    lines = log_line(5.0, other), log_line(6.0, SUBMIT), start(9.0, 3000)
    assert "it waited 3000 ms for room in mail" in reason(*lines)


def test_state_of_a_lost_holder_of_the_quota_ends_with_the_takeover():
    lines = log_line(1.0, AT_CAP), log_line(6.0, SUBMIT), start(9.0, 3000)
    taken = log_line(7.0, "duty_taken duty=organisation-quota generation=2")
    assert "for room in mail" in reason(*lines, taken)
    again = log_line(7.5, AT_CAP)
    assert "2500 ms of them while organisation acme" in reason(*lines, taken, again)


def test_wait_includes_the_time_at_a_lost_owner():
    taken = log_line(7.0, "duty_taken duty=mail generation=2")
    lines = log_line(6.0, AT_CAP), log_line(6.0, SUBMIT), taken, start(9.0, 1500)
    assert "it waited 3000 ms, 3000 ms of them while" in reason(*lines)


def test_job_without_a_start_waits_for_an_approval():
    failed = f"advice_failed step={JOB}.0.0 pool=mail failures=3 detail=busy"
    lines = log_line(6.0, SUBMIT), log_line(6.1, failed), log_line(9.0, "owner_work")
    expected = "no run has started; it waited 3000 ms, 3000 ms of them for the approval"
    assert f"{expected} of a target (last answer: busy)" in reason(*lines)


def test_wait_after_an_approval_is_not_counted_as_one_for_it():
    answer = f"advice_answered step={JOB}.0.0 pool=mail named=2 approved=1"
    lines = log_line(6.0, SUBMIT), log_line(6.1, answer), start(9.0, 3000)
    assert "for room in mail" in reason(*lines)


def test_starts_of_other_organisations_are_the_share():
    lines = log_line(6.0, SUBMIT), other_start(7.0, "other", "100")
    own = other_start(7.5, "acme", "400")
    expected = "at least 1 runs of other organisations and 1 of its own started before"
    assert expected in reason(*lines, own, start(9.0, 3000, "share=400"))


def test_starts_without_regard_to_organisations_are_not_the_share():
    lines = log_line(6.0, SUBMIT), other_start(7.0, "other", "-"), start(9.0, 3000)
    assert "for room in mail" in reason(*lines)


def test_job_beyond_its_rate_is_reported_as_such():
    late = start(9.0, 3000, "is_beyond_rate=true share=20")
    lines = log_line(6.0, SUBMIT), other_start(7.0, "other", "100"), late
    assert "it was beyond the rate of organisation acme" in reason(*lines)


@pytest.mark.parametrize(
    ("reason_name", "expected"),
    [
        ("quota", "2800 ms of them for the quota of organisation acme"),
        ("room", "for room in mail"),
        ("faster_target", "3000 ms of them for a faster target"),
    ],
)
def test_reason_that_the_owner_logged_precedes_the_starts_of_others(
    reason_name, expected
):
    logged = f"wait_reason step={JOB}.0.0 pool=mail reason={reason_name} waited_ms=500"
    lines = log_line(6.0, SUBMIT), other_start(6.5, "other", "100")
    assert expected in reason(*lines, log_line(6.2, logged), start(9.0, 3000))


def test_short_wait_is_covered_by_a_reason_that_is_logged_late():
    logged = f"wait_reason step={JOB}.0.0 reason=faster_target waited_ms=500"
    lines = log_line(6.0, SUBMIT), log_line(6.5, logged), start(6.9, 900)
    assert "900 ms, 900 ms of them for a faster target" in reason(*lines)


def test_reason_of_a_lost_owner_ends_with_the_takeover():
    logged = f"wait_reason step={JOB}.0.0 pool=mail reason=faster_target"
    taken = log_line(7.0, "duty_taken duty=mail generation=2")
    lines = log_line(6.0, SUBMIT), log_line(6.1, logged), taken, start(9.0, 2000)
    assert "it waited 3000 ms for room in mail" in reason(*lines)
    again = log_line(7.5, logged)
    assert "2400 ms of them for a faster target" in reason(*lines, again)


@pytest.mark.parametrize(("is_filling", "has_pace"), [("true", True), ("false", False)])
def test_pace_of_a_target_explains_its_filling_runs_only(is_filling, has_pace):
    pace = "pace_lowered pool=mail target=t-1 cause=pressure before=80 percent=20"
    lines = log_line(6.0, SUBMIT), log_line(7.0, pace)
    told = reason(*lines, start(6.1, 90, f"is_filling={is_filling}"))
    assert ("its pace on t-1 was lowered to 20% beside" in told) is has_pace
