"""Decoding of the platform's documents and settings file: valid and malformed ones."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest
from result import Err, Ok
from typer.testing import CliRunner

from cornelturn.cli.main import app
from cornelturn.jobs.model import Recurrence, Resources
from cornelturn.model.routes import CallerLimits
from cornelturn.platform.documents import (
    decode_configuration,
    decode_job_body,
    decode_target,
    decode_wave,
)
from cornelturn.platform.settings import load_node_file
from cornelturn.platform.standin.documents import WIRE_FIELDS, phases
from cornelturn.platform.targets import WorkerConnection
from cornelturn.store.rows import Row

NODE_FILE = """
node_name = "edge-1"
ip = "10.1.0.9"
zone = "west-1"
region = "west"
port_range = [7060, 7075]
commands = "invoke"
unknown_field = 1
[listen]
frontend = "10.1.0.9:8624"
ready = "10.1.0.9:8622"
[platform]
addr = "10.200.1.7:8621"
[cloud_api]
addr = "10.200.0.107:8621"
[bounds]
hold_max_ms = 6000
"""

WORKER = {
    "service": "pool",
    "addr": "10.0.0.1:80",
    "zone": "west-1",
    "state": "ready",
    "capacity": {"cpu": 16_000, "mem_mb": 32_768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "born": 17,
    "seq": 4,
}


def worker_row(**changes: object) -> Row:
    text = msgspec.json.encode(WORKER | changes).decode()
    return Row("servers//i-1", 1, "", text)


def test_job_body_is_decoded_with_all_its_fields():
    body = msgspec.json.encode(
        {
            "spec": "text",
            "phases": [
                {"count": 2, "cpu": 500, "mem_mb": 1, "gpu": 1, "checkpointing": True},
                {"count": 1, "after": [0], "gang": True, "affinity": "r1"}
                | {WIRE_FIELDS["is_filling"]: True, "unknown": 1},
            ],
            "repeat_count": 3,
            "start_at_ms": 1_000,
            "interval_ms": 50,
        }
    )
    job = decode_job_body(body, "1", "q", "p").unwrap()
    assert job.steps[0].need == Resources(500, 1, 1)
    assert job.steps[0].is_checkpointing
    assert job.steps[1].after == (0,)
    assert job.steps[1].is_gang
    assert job.steps[1].is_filling
    assert job.recurrence == Recurrence(3, 1_000, 50)


@pytest.mark.parametrize(("value", "expected"), [(0, False), (1, True), (5, True)])
def test_filling_flag_is_also_decoded_from_a_number(value, expected):
    """Fails if a job whose caller sends the flag as a number is rejected."""
    body = msgspec.json.encode({"spec": "text", "phases": phases(1, is_filling=value)})
    assert decode_job_body(body, "1", "q", "p").unwrap().steps[0].is_filling is expected


@pytest.mark.parametrize(
    "change",
    [
        {"capacity": None},
        {"state": "sleeping"},
        {"service": 7},
        {"addr": None},
        {"born": "yesterday"},
    ],
    ids=str,
)
def test_malformed_list_entry_is_rejected(change):
    assert decode_target(worker_row(**change)).is_err()


@pytest.mark.parametrize(
    "text",
    [
        "::1:8700",
        "fe80::1:80",
        "::ffff:127.0.0.1:80",
        "[127.0.0.1:80",
        "127.0.0.1]:80",
        "[127.0.0.1]:80",
        "[::1:80",
        "[fe80::1%eth0]:80",
        "127.0.0.1:",
        "127.0.0.1:0",
        "127.0.0.1:65536",
        "127.0.0.1:+80",
        "user@127.0.0.1:80",
        " 127.0.0.1:80",
        "127.0.0.1:80/",
    ],
)
def test_address_that_no_connection_can_be_made_to_is_rejected(text):
    """Fails if the list and the connections read an address by different rules."""
    assert decode_target(worker_row(addr=text)).is_err()


@pytest.mark.parametrize(
    ("text", "host", "port"),
    [("10.0.0.1:80", "10.0.0.1", 80), ("[::1]:8700", "::1", 8700)],
)
async def test_listed_address_is_the_one_that_is_called(text, host, port):
    """Fails if a connection is made to another address than the list states."""
    connection = WorkerConnection(decode_target(worker_row(addr=text)).unwrap())
    session = connection.order_channel.session
    assert (session.host, session.port) == (host, port)
    assert session.authority == text
    await connection.close()


def test_list_entry_that_is_not_text_is_rejected():
    assert decode_target(Row("servers//i-1", 1, "", "")).is_err()


def test_list_entry_is_decoded():
    target = decode_target(worker_row()).unwrap()
    assert (target.life.name, target.life.born_ms) == ("i-1", 17)
    assert target.rack == "r1-3"
    assert decode_target(worker_row(state="draining")).unwrap().is_draining


def test_longest_prefix_wins():
    routes = [
        {"name": name, "host": "h.example", "path_prefix": prefix, "service": "p"}
        for name, prefix in (("short", "/a/"), ("long", "/a/b/"))
    ]
    document = msgspec.json.encode({"version": 3, "routes": routes}).decode()
    table = decode_configuration(document).unwrap()
    assert table.find_queue("H.example:80", "/a/b/1").queue.name == "long"
    assert table.find_queue("h.example", "/a/1").path_rest == "1"
    assert table.find_queue("other.example", "/a/1") is None
    assert table.find_queue("h.example", "/b/1") is None


def test_unreadable_documents_are_errors():
    assert decode_configuration("{").is_err()
    assert decode_wave('{"rollout_batch":"x"}').is_err()


def test_settings_file_is_converted_to_entry_settings(tmp_path: Path):
    file = tmp_path / "node.toml"
    file.write_text(NODE_FILE)
    settings = load_node_file(file).unwrap()
    assert settings.data_centre == "west-1"
    assert settings.inner_address == "tcp://10.1.0.9:7060"
    assert settings.bounds.target_lease_ms == 6_000
    assert settings.store_limits.row_bytes == 65_536
    assert settings.bounds.status_ms == 120_000
    file.write_text(NODE_FILE + "status_s = 1.5\n")
    assert load_node_file(file).unwrap().bounds.status_ms == 1_500


def test_settings_file_may_limit_the_rows_of_the_store(tmp_path: Path):
    """Guards against rows that a store with smaller ones refuses."""
    file = tmp_path / "node.toml"
    file.write_text(NODE_FILE.replace("[platform]", "[platform]\nrow_bytes = 4096"))
    assert load_node_file(file).unwrap().store_limits.max_row_bytes() == 4_096


def test_check_reports_every_error(tmp_path: Path):
    file = tmp_path / "node.toml"
    text = NODE_FILE.replace('"10.1.0.9:8624"', '"nowhere"')
    file.write_text(text.replace('"invoke"', '"heartbeat"'))
    match load_node_file(file):
        case Err(problems):
            paths = {problem.path for problem in problems}
            assert paths == {"listen.frontend", "commands"}
        case Ok(_):
            pytest.fail("expected errors")
    result = CliRunner().invoke(app, ["platform", "check", str(file)])
    assert result.exit_code == 2


def test_check_accepts_a_valid_file(tmp_path: Path):
    file = tmp_path / "node.toml"
    file.write_text(NODE_FILE)
    result = CliRunner().invoke(app, ["platform", "check", str(file)])
    assert result.exit_code == 0


def test_limits_of_the_configuration_reach_the_routing_table():
    """Guards against limits that are read and not used, or in the wrong place."""
    limits = {"max_header_bytes": 1, "max_body_bytes": 2}
    limits |= {"header_timeout_ms": 3, "idle_timeout_ms": 4}
    text = msgspec.json.encode({"version": 1, "limits": limits}).decode()
    assert decode_configuration(text).unwrap().limits == CallerLimits(1, 2, 3, 4)


def test_resources_of_the_machine_reach_the_settings(tmp_path: Path):
    """Guards against a budget that ignores the machine."""
    path = tmp_path / "node.toml"
    path.write_text(NODE_FILE + "[limits]\nmemory_mb = 552\nmax_fds = 8192\n")
    loaded = load_node_file(path).unwrap()
    assert (loaded.memory_mb, loaded.max_descriptors) == (552, 8_192)


def test_settings_file_may_bound_the_copies_of_tasks(tmp_path: Path):
    """Guards against a setting that does not reach the owners of pools."""
    file = tmp_path / "node.toml"
    file.write_text(NODE_FILE)
    assert load_node_file(file).unwrap().copy_share == 0.1
    file.write_text(NODE_FILE + "\n[copies]\nshare = 0.02\n")
    assert load_node_file(file).unwrap().copy_share == 0.02
