"""Figures of a fleet, from the logs of its entries."""

from __future__ import annotations

import pytest
from typer.testing import CliRunner

from cornelturn.cli.main import app
from cornelturn.explain.clocks import align
from cornelturn.explain.job_lives import read_job_lives
from cornelturn.explain.lines import LogLine, read_log
from cornelturn.explain.pool_seconds import read_pool_seconds
from cornelturn.explain.quantiles import Spread, spread_of
from cornelturn.explain.roles import figures_by_role
from cornelturn.explain.takeovers import read_outages, read_takeovers
from cornelturn.explain.tenures import read_tenures

JOB = "00000000000000a1"
STAMP = "{:10.4f} {} time=2026-06-25T22:08:{:06.3f}Z level=info event={}\n"
WORK = "process_work entry={} duties={} lag_ms={} busy_ms={} hub_ms={} owner_ms={}"
OWNER_WORK = (
    "owner_work pool=mail waited_ms={} plan_ms=70 handle_ms=9 waiting={} "
    "blocked=5 open_targets=3 free_cpu=900"
)


def line(second: float, entry: str, event: str) -> str:
    return STAMP.format(second, entry, second, event)


TEXT = [
    line(0.0, "one", "duty_taken duty=mail generation=1 targets=0"),
    line(1.0, "one", WORK.format("one", 1, 4, 100, 10, 60)),
    line(1.0, "two", WORK.format("two", 0, 1, 20, 15, 0)),
    line(1.1, "two", f"submit job={JOB} queue=q pool=mail outcome=Accepted took_ms=20"),
    line(1.2, "one", f"run_start run={JOB}.0.0.0#1 pool=mail target=t-1 left_out=4"),
    line(1.9, "one", OWNER_WORK.format(7, 30)),
    line(2.0, "one", WORK.format("one", 1, 9, 300, 10, 200)),
    line(2.1, "one", "store_lost entry=one detail=timeout"),
    line(2.5, "one", f"run_end run={JOB}.0.0.0#1 pool=mail target=t-1 how=failed"),
    line(5.0, "two", "duty_taken duty=mail generation=2 targets=1"),
    line(5.3, "two", "pool_loaded pool=mail generation=2 jobs=1"),
    line(5.5, "two", f"run_start run={JOB}.0.0.0#1001 pool=mail target=t-1"),
    line(6.0, "two", WORK.format("two", 1, 2, 50, 15, 20)),
    line(6.3, "one", "store_regained entry=one"),
    line(
        6.5,
        "two",
        f"job_final job={JOB} queue=q state=completed after_ms=1200 order_ms=200 "
        "answer_ms=50 run_ms=900 write_ms=50 steps_wait_ms=200 longest_wait_ms=200",
    ),
]


@pytest.fixture
def lines() -> list[LogLine]:
    """Return the lines of two entries of which the second takes a pool over."""
    return align(read_log("all", TEXT))


def test_spread_takes_values_that_occur():
    assert spread_of(range(1, 101)) == Spread(100, 50, 95, 100)
    assert spread_of([]) == Spread(0, 0, 0, 0)


def test_time_counts_for_what_an_entry_owned_then(lines):
    roles = {one.role: one for one in figures_by_role(lines, read_tenures(lines))}
    assert set(roles) == {"mail", "none"}
    assert roles["mail"].entries == {"one", "two"}
    assert roles["mail"].busy_ms == [100, 300, 50]
    assert roles["mail"].lags_ms == [4, 9, 2]
    assert roles["mail"].waits_ms == [7]
    assert roles["mail"].parts_ms["owner"] == [60, 200, 20]
    assert roles["mail"].parts_ms["rest"] == [30, 90, 15]
    assert roles["none"].parts_ms["hub"] == [15]


def test_life_of_a_job_joins_the_front_and_the_owner(lines):
    (life,) = read_job_lives(lines)
    assert (life.pool, life.accepted) == ("mail", 1)
    assert life.parts_ms["stored"] == [20]
    assert life.parts_ms["known"] == [4_200]
    assert life.parts_ms["order"] == [200]
    assert life.parts_ms["owner"] == [1_200]


def test_gap_of_a_takeover_lasts_until_the_first_start(lines):
    (taken,) = read_takeovers(lines, read_tenures(lines))
    assert (taken.before, taken.after) == ("one", "two")
    assert taken.taken_ms - taken.last_ms == 2_500
    assert taken.loaded_ms - taken.taken_ms == 300
    assert taken.gap_ms() == 3_000


def test_outage_lasts_until_the_store_answers_again(lines):
    (outage,) = read_outages(lines)
    assert outage.entry == "one"
    assert outage.regained_ms - outage.lost_ms == 4_200


def test_second_of_a_pool_counts_starts_that_the_log_left_out(lines):
    first, *_, last = read_pool_seconds(lines)
    assert (first.accepted, first.starts) == (1, 5)
    assert (first.waiting, first.blocked, first.work_ms) == (30, 5, 79)
    assert (first.open_targets, first.free_cpu) == (3, 900)
    assert last.known_waits_ms == [200]


def test_entry_that_starts_again_owns_nothing():
    log = [
        line(0.0, "one", "duty_taken duty=mail generation=1 targets=0"),
        line(3.0, "one", "entry_started entry=one incarnation=2"),
    ]
    tenures = read_tenures(read_log("all", log))
    (first, second) = (one.time_ms for one in read_log("all", log))
    assert tenures.role("one", first) == "mail"
    assert tenures.role("one", second) == "none"


def test_command_prints_all_tables(tmp_path):
    log = tmp_path / "all.log"
    log.write_text("".join(TEXT))
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
