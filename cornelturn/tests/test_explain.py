"""Explanations of the outcome of a job from the logs of several entries."""

from __future__ import annotations

import pytest
from typer.testing import CliRunner

from cornelturn.cli.main import app
from cornelturn.explain.clocks import align_clocks
from cornelturn.explain.explanation import Question, explain
from cornelturn.explain.lines import parse_line, read_log

JOB = "00000000000000a1"
LINE_FORMAT = "time=2026-06-25T22:08:{:06.3f}Z level=info event={}\n"


def log_line(second: float, event: str) -> str:
    return LINE_FORMAT.format(second, event)


FRONT = [
    log_line(0.0, "entry_started entry=front incarnation=1"),
    log_line(10.0, f"submit job={JOB} queue=q pool=mail outcome=Accepted took_ms=20"),
    log_line(10.1, "submit job=ffffffffffffffff queue=q pool=mail outcome=Accepted"),
]
OWNER = [
    log_line(0.1, "entry_started entry=owner incarnation=2"),
    log_line(1.0, "duty_taken duty=mail generation=1 targets=0"),
    log_line(10.05, f"run_start run={JOB}.0.0.0#1 pool=mail target=t-1 waited_ms=30"),
    log_line(11.5, "target_silent pool=mail target=t-1"),
    log_line(16.6, f"run_lapsed run={JOB}.0.0.0#1 target=t-1"),
    log_line(16.7, f"run_start run={JOB}.0.0.0#2 pool=mail target=t-2 waited_ms=6680"),
    log_line(
        17.7, f"run_end run={JOB}.0.0.0#2 pool=mail target=t-2 how=done sequence=1"
    ),
    log_line(17.8, f"job_final job={JOB} queue=q state=completed after_ms=7780"),
]


def explain_logs(*logs: list[str], question: Question | None = None):
    lines = [
        line for number, log in enumerate(logs) for line in read_log(f"{number}", log)
    ]
    return explain(question or Question(job=JOB), align_clocks(lines))


def test_cause_is_the_silent_target_of_a_lapsed_run():
    explanation = explain_logs(OWNER, FRONT)
    events = [line.event for line in explanation.lines]
    assert events[0] == "submit"
    assert "target_silent" in events
    assert "ffffffffffffffff" not in {line.value("job") for line in explanation.lines}
    assert explanation.reason == (
        "The job is completed: target t-1 was silent; its lease lapsed 5100 ms later, "
        "7780 ms after its owner had it."
    )


def test_lines_of_an_entry_with_a_slow_clock_are_reordered():
    delayed = [text.replace("22:08:", "22:07:") for text in OWNER]
    explanation = explain_logs(delayed, FRONT)
    events = [line.event for line in explanation.lines if line.value("pool") == "mail"]
    assert events[0] == "submit"
    assert events[-1] == "run_end"


def test_reason_without_the_owners_log_says_that_no_run_is_logged():
    explanation = explain_logs(FRONT)
    assert explanation.reason == (
        "The job is not over: no run has started in the logs that are here."
    )


def test_reason_of_a_refusal_names_the_entry_and_the_store_error():
    text = f"submit job={JOB} queue=q pool=mail outcome=Refused store=TableUnavailable"
    explanation = explain_logs(
        [log_line(0.0, "entry_started entry=front"), log_line(3.0, text)]
    )
    assert explanation.reason == (
        "Refused at front: the store did not take it (TableUnavailable)."
    )


def test_lapse_logged_by_a_former_owner_is_no_cause():
    successor = [
        log_line(0.2, "entry_started entry=second"),
        log_line(12.0, "duty_taken duty=mail generation=2 targets=1"),
        log_line(12.1, f"run_adopted run={JOB}.0.0.0#1 target=t-1"),
        log_line(17.0, f"job_final job={JOB} queue=q state=completed after_ms=4900"),
    ]
    explanation = explain_logs(FRONT, OWNER[:5], successor)
    assert "its pool went to second (generation 2)" in explanation.reason


def test_cause_is_the_takeover_of_the_pool():
    successor = [
        log_line(0.2, "entry_started entry=second"),
        log_line(12.0, "duty_taken duty=mail generation=2 targets=1"),
        log_line(12.1, f"run_adopted run={JOB}.0.0.0#1 target=t-1"),
        log_line(13.0, f"job_final job={JOB} queue=q state=completed after_ms=900"),
    ]
    explanation = explain_logs(FRONT, OWNER[:3], successor)
    assert "its pool went to second (generation 2)" in explanation.reason


@pytest.mark.parametrize("length", range(0, 150, 7))
def test_truncated_line_loses_its_last_pair_or_is_skipped(length):
    text = OWNER[2].rstrip("\n")
    parsed = parse_line(text[:length])
    if parsed is not None:
        known = parse_line(OWNER[2]).fields
        assert all(known[name] == value for name, value in parsed.fields.items())


def test_word_before_the_time_names_the_entry():
    parsed = parse_line("   2.7150 edge-1 " + OWNER[2])
    assert parsed.entry == "edge-1"


def test_command_prints_the_lines_about_a_target(tmp_path):
    log = tmp_path / "owner.log"
    log.write_text("".join(OWNER))
    result = CliRunner().invoke(app, ["explain", "--target", "t-2", str(log)])
    assert result.exit_code == 0
    assert len(result.output.splitlines()) == 2
    assert " owner run_start " in result.output


def test_command_prints_the_reason_for_the_outcome_of_a_job(tmp_path):
    log = tmp_path / "owner.log"
    log.write_text("".join(OWNER))
    result = CliRunner().invoke(app, ["explain", "--request", JOB, str(log)])
    assert result.output.splitlines()[-1].startswith("The job is completed")
