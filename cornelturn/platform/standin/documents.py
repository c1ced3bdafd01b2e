"""Documents that operators and clients send in the platform's format."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import asdict
from typing import Any

import msgspec

from cornelturn.model.queue_identity import queue_id
from cornelturn.model.routes import ApprovalTimes

POOLS = ("phone", "mail")
SPARE_POOL = "spare"
HOST = "work.example"


def queue_path_prefix(pool: str) -> str:
    """Return the path prefix of a pool's queue."""
    return f"/{pool}/"


def id_of_queue(pool: str) -> str:
    """Return the id of a pool's queue."""
    return queue_id(HOST, queue_path_prefix(pool))


def configuration(
    version: int,
    pools: tuple[str, ...] = POOLS,
    approval_pools: Collection[str] = (),
    times: ApprovalTimes | None = None,
) -> bytes:
    """Return the operator's configuration with a queue for each pool.

    Those of some pools need approval.
    """
    routes = [
        {
            "name": f"q-{pool}",
            "host": HOST,
            "path_prefix": queue_path_prefix(pool),
            "service": pool,
            "priority": 0,
            "max_attempts": 2,
            "slack_factor": 1.6,
            "target_latency_ms": 600,
        }
        for pool in pools
    ]
    for route in routes:
        if route["service"] in approval_pools:
            route["hint"] = asdict(times)
    services: list[dict[str, Any]] = [
        {"name": pool, "enforce_capacity": False} for pool in pools
    ]
    services.append({"name": SPARE_POOL, "standby": True})
    document = {"version": version, "routes": routes, "services": services}
    return msgspec.json.encode(document)


def job_id(number: int) -> str:
    """Return the id of the n-th job."""
    return f"{number:016x}"


WIRE_FIELDS = {
    "is_filling": "fill_count",
    "is_lasting": "long_running",
    "max_per_target": "anti_affinity",
    "may_run_copies": "speculative",
    "tail_limit_ms": "target_ms",
}
"""Names in the platform's format of fields of `Step` that it calls otherwise."""


def phases(*counts: int, cpu: int = 1_000, **fields: object) -> list[dict[str, Any]]:
    """Return steps with the given numbers of tasks, each after the previous step.

    Parameters
    ----------
    fields : object
        Further fields of all steps, by their names in `Step`.
    """
    further = {WIRE_FIELDS.get(name, name): value for name, value in fields.items()}
    return [
        {"count": count, "cpu": cpu, "mem_mb": 1, "estimated_ms": 300}
        | ({"after": [number - 1]} if number else {})
        | further
        for number, count in enumerate(counts)
    ]
