"""Stories told from the logs of several entries."""

from __future__ import annotations

import pytest
from typer.testing import CliRunner

from cornelturn.cli.main import app
from cornelturn.explain.clocks import align
from cornelturn.explain.lines import parse_line, read_log
from cornelturn.explain.story import Question, tell

JOB = "00000000000000a1"
STAMP = "time=2026-06-25T22:08:{:06.3f}Z level=info event={}\n"


def line(second: float, event: str) -> str:
    return STAMP.format(second, event)


FRONT = [
    line(0.0, "entry_started entry=front incarnation=1"),
    line(10.0, f"submit job={JOB} queue=q pool=mail outcome=Accepted took_ms=20"),
    line(10.1, "submit job=ffffffffffffffff queue=q pool=mail outcome=Accepted"),
]
OWNER = [
    line(0.1, "entry_started entry=owner incarnation=2"),
    line(1.0, "duty_taken duty=mail generation=1 targets=0"),
    line(10.05, f"run_start run={JOB}.0.0.0#1 pool=mail target=t-1 waited_ms=30"),
    line(11.5, "target_silent pool=mail target=t-1"),
    line(16.6, f"run_lapsed run={JOB}.0.0.0#1 target=t-1"),
    line(16.7, f"run_start run={JOB}.0.0.0#2 pool=mail target=t-2 waited_ms=6680"),
    line(17.7, f"run_end run={JOB}.0.0.0#2 pool=mail target=t-2 how=done sequence=1"),
    line(17.8, f"job_final job={JOB} queue=q state=completed after_ms=7780"),
]


def story(*logs: list[str], question: Question | None = None):
    lines = [
        one for number, log in enumerate(logs) for one in read_log(f"{number}", log)
    ]
    return tell(question or Question(job=JOB), align(lines))


def test_run_on_a_silent_target_is_named_as_the_cause():
    told = story(OWNER, FRONT)
    events = [one.event for one in told.lines]
    assert events[0] == "submit"
    assert "target_silent" in events
    assert "ffffffffffffffff" not in {one.value("job") for one in told.lines}
    assert told.reason == (
        "The job is completed: target t-1 was silent; its lease lapsed 5100 ms later, "
        "7780 ms after its owner had it."
    )


def test_entry_whose_clock_is_behind_is_put_in_order():
    late = [one.replace("22:08:", "22:07:") for one in OWNER]
    told = story(late, FRONT)
    events = [one.event for one in told.lines if one.value("pool") == "mail"]
    assert events[0] == "submit"
    assert events[-1] == "run_end"


def test_story_without_the_owners_log_says_what_is_missing():
    told = story(FRONT)
    assert told.reason == (
        "The job is not over: no run has started in the logs that are here."
    )


def test_refused_job_names_the_entry_and_the_store():
    text = f"submit job={JOB} queue=q pool=mail outcome=Refused store=TableUnavailable"
    told = story([line(0.0, "entry_started entry=front"), line(3.0, text)])
    assert told.reason == (
        "Refused at front: the store did not take it (TableUnavailable)."
    )


def test_what_an_owner_believed_after_it_was_replaced_is_no_cause():
    successor = [
        line(0.2, "entry_started entry=second"),
        line(12.0, "duty_taken duty=mail generation=2 targets=1"),
        line(12.1, f"run_adopted run={JOB}.0.0.0#1 target=t-1"),
        line(17.0, f"job_final job={JOB} queue=q state=completed after_ms=4900"),
    ]
    told = story(FRONT, OWNER[:5], successor)
    assert "its pool went to second (generation 2)" in told.reason


def test_takeover_of_the_pool_is_named_as_the_cause():
    successor = [
        line(0.2, "entry_started entry=second"),
        line(12.0, "duty_taken duty=mail generation=2 targets=1"),
        line(12.1, f"run_adopted run={JOB}.0.0.0#1 target=t-1"),
        line(13.0, f"job_final job={JOB} queue=q state=completed after_ms=900"),
    ]
    told = story(FRONT, OWNER[:3], successor)
    assert "its pool went to second (generation 2)" in told.reason


@pytest.mark.parametrize("length", range(0, 150, 7))
def test_line_cut_anywhere_is_read_without_its_last_pair_or_not_at_all(length):
    whole = OWNER[2].rstrip("\n")
    found = parse_line(whole[:length])
    if found is not None:
        known = parse_line(OWNER[2]).fields
        assert all(known[name] == value for name, value in found.fields.items())


def test_word_before_the_time_names_the_entry():
    found = parse_line("   2.7150 edge-1 " + OWNER[2])
    assert found.entry == "edge-1"


def test_command_prints_the_story_of_a_target(tmp_path):
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
