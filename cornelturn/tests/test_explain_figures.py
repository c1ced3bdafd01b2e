"""Figures of a fleet, from the logs of its entries."""

from __future__ import annotations

import pytest
from typer.testing import CliRunner

from cornelturn.cli.main import app
from cornelturn.explain.clocks import align_clocks
from cornelturn.explain.job_lives import read_job_durations
from cornelturn.explain.lines import LogLine, read_log
from cornelturn.explain.pool_seconds import read_pool_seconds
from cornelturn.explain.quantiles import QuantileSummary, summarize
from cornelturn.explain.roles import figures_by_role
from cornelturn.explain.takeovers import read_outages, read_takeovers
from cornelturn.explain.tenures import read_tenures

JOB = "00000000000000a1"
LINE_FORMAT = "{:10.4f} {} time=2026-06-25T22:08:{:06.3f}Z level=info event={}\n"
PROCESS_WORK = (
    "process_work entry={} duties={} lag_ms={} busy_ms={} hub_ms={} owner_ms={}"
)
OWNER_WORK = (
    "owner_work pool=mail waited_ms={} plan_ms=70 handle_ms=9 waiting={} "
    "blocked=5 open_targets=3 free_cpu=900"
)


def log_line(second: float, entry: str, event: str) -> str:
    return LINE_FORMAT.format(second, entry, second, event)


LOG = [
    log_line(0.0, "one", "duty_taken duty=mail generation=1 targets=0"),
    log_line(1.0, "one", PROCESS_WORK.format("one", 1, 4, 100, 10, 60)),
    log_line(1.0, "two", PROCESS_WORK.format("two", 0, 1, 20, 15, 0)),
    log_line(
        1.1, "two", f"submit job={JOB} queue=q pool=mail outcome=Accepted took_ms=20"
    ),
    log_line(
        1.2, "one", f"run_start run={JOB}.0.0.0#1 pool=mail target=t-1 left_out=4"
    ),
    log_line(1.9, "one", OWNER_WORK.format(7, 30)),
    log_line(2.0, "one", PROCESS_WORK.format("one", 1, 9, 300, 10, 200)),
    log_line(2.1, "one", "store_lost entry=one detail=timeout"),
    log_line(2.5, "one", f"run_end run={JOB}.0.0.0#1 pool=mail target=t-1 how=failed"),
    log_line(5.0, "two", "duty_taken duty=mail generation=2 targets=1"),
    log_line(5.3, "two", "pool_loaded pool=mail generation=2 jobs=1"),
    log_line(5.5, "two", f"run_start run={JOB}.0.0.0#1001 pool=mail target=t-1"),
    log_line(6.0, "two", PROCESS_WORK.format("two", 1, 2, 50, 15, 20)),
    log_line(6.3, "one", "store_regained entry=one"),
    log_line(
        6.5,
        "two",
        f"job_final job={JOB} queue=q state=completed after_ms=1200 order_ms=200 "
        "answer_ms=50 run_ms=900 write_ms=50 steps_wait_ms=200 longest_wait_ms=200",
    ),
]


@pytest.fixture
def lines() -> list[LogLine]:
    """Return the lines of two entries, the second of which takes over a pool."""
    return align_clocks(read_log("all", LOG))


def test_quantiles_are_values_that_occur():
    assert summarize(range(1, 101)) == QuantileSummary(100, 50, 95, 100)
    assert summarize([]) == QuantileSummary(0, 0, 0, 0)


def test_time_counts_towards_the_duties_owned_at_that_time(lines):
    roles = {
        figures.role: figures for figures in figures_by_role(lines, read_tenures(lines))
    }
    assert set(roles) == {"mail", "none"}
    assert roles["mail"].entries == {"one", "two"}
    assert roles["mail"].busy_ms == [100, 300, 50]
    assert roles["mail"].loop_lags_ms == [4, 9, 2]
    assert roles["mail"].mailbox_waits_ms == [7]
    assert roles["mail"].parts_ms["owner"] == [60, 200, 20]
    assert roles["mail"].parts_ms["rest"] == [30, 90, 15]
    assert roles["none"].parts_ms["hub"] == [15]


def test_durations_of_a_job_combine_front_and_owner_lines(lines):
    (durations,) = read_job_durations(lines)
    assert (durations.pool, durations.accepted) == ("mail", 1)
    assert durations.parts_ms["stored"] == [20]
    assert durations.parts_ms["known"] == [4_200]
    assert durations.parts_ms["order"] == [200]
    assert durations.parts_ms["owner"] == [1_200]


def test_takeover_gap_ends_with_the_first_start(lines):
    (takeover,) = read_takeovers(lines, read_tenures(lines))
    assert (takeover.previous_owner, takeover.new_owner) == ("one", "two")
    assert takeover.taken_ms - takeover.last_activity_ms == 2_500
    assert takeover.loaded_ms - takeover.taken_ms == 300
    assert takeover.gap_ms() == 3_000


def test_outage_lasts_until_the_store_answers_again(lines):
    (outage,) = read_outages(lines)
    assert outage.entry == "one"
    assert outage.regained_ms - outage.lost_ms == 4_200


def test_starts_left_out_of_the_log_are_counted(lines):
    first, *_, last = read_pool_seconds(lines)
    assert (first.accepted, first.starts) == (1, 5)
    assert (first.waiting, first.blocked, first.work_ms) == (30, 5, 79)
    assert (first.open_targets, first.free_cpu) == (3, 900)
    assert last.first_order_waits_ms == [200]


def test_restarted_entry_owns_no_duty():
    log = [
        log_line(0.0, "one", "duty_taken duty=mail generation=1 targets=0"),
        log_line(3.0, "one", "entry_started entry=one incarnation=2"),
    ]
    tenures = read_tenures(read_log("all", log))
    (first, second) = (line.time_ms for line in read_log("all", log))
    assert tenures.role_at("one", first) == "mail"
    assert tenures.role_at("one", second) == "none"


def test_command_prints_all_tables(tmp_path):
    log = tmp_path / "all.log"
    log.write_text("".join(LOG))
    result = CliRunner().invoke(app, ["explain", "--figures", str(log)])
    assert result.exit_code == 0
    for title in (
        "ms of a second by role",
        "lives of jobs",
        "changes of owners",
        "outages of the store",
        "pools by second",
    ):
        assert title in result.output
    gap_ms = "3000"
    assert gap_ms in result.output


def test_lines_of_two_owners_in_one_second_are_combined():
    log = [
        log_line(1.0, "one", "run_start run=a.0.0.0#1 pool=mail target=t-1"),
        log_line(1.2, "one", OWNER_WORK.format(7, 30)),
        log_line(1.8, "two", OWNER_WORK.format(7, 4)),
    ]
    (second,) = read_pool_seconds(read_log("all", log))
    assert (second.waiting, second.work_ms) == (30, 158)
