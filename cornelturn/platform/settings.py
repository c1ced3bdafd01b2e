"""Validated models of the platform's settings file, and their conversion."""

from __future__ import annotations

import os
import tomllib
from pathlib import Path
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, StringConstraints
from result import Err, Result

from cornelturn.entry.job_settings import JobEntrySettings, TimeBounds
from cornelturn.preemption.decision import NO_PREEMPTION, PreemptionSettings
from cornelturn.settings.loader import SettingsProblem, validate_document
from cornelturn.speed.copies import DEFAULT_COPY_SHARE
from cornelturn.store.limits import ROW_BYTES, StoreLimits

SETTINGS_VARIABLE = "CORNELTURN_NODE_FILE"
DEFAULT_SETTINGS_PATH = "/etc/cornelturn/node.toml"

SocketAddress = Annotated[
    str, StringConstraints(pattern=r"^[0-9.]+:[0-9]{1,5}$", strict=True)
]

METRICS_PORT = 9464
"""Port of the metrics, customary for exporters; the deploy file repeats it."""


class WireModel(BaseModel):
    """Base of all models; ignores fields that the platform has added."""

    model_config = ConfigDict(extra="ignore", frozen=True)


class ListenTable(WireModel):
    """Addresses that the entry listens on."""

    frontend: SocketAddress
    ready: SocketAddress


class BoundsTable(WireModel):
    """Time limits and factors of the scheduling rules."""

    contact_ms: int = 3_000
    drain_ms: int = 2_000
    grace_s: float = 6.0
    hold_max_ms: int = 10_000
    stop_grace_ms: int = 200
    gang_timeout_ms: int = 3_000
    remote_factor: float = 2.0
    notice_ms: int = 4_500
    migration_s: float = 1.5
    maintenance_s: float = 2.0
    lease_ms: int = 3_000
    rate_window_ms: int = 100
    impact_ms: int = 4_000
    status_s: Annotated[float, Field(ge=0)] = 120.0


class LimitsTable(WireModel):
    """Resources of the machine; its core is ``cores`` times as fast as others.

    The smallest machines of the deployment are the default of memory and descriptors.
    """

    cpu_share: Annotated[float, Field(gt=0)] = 1.0
    cores: Annotated[float, Field(gt=0)] = 1.0
    memory_mb: Annotated[int, Field(gt=0)] = 160
    max_fds: Annotated[int, Field(gt=0)] = 4_100


class StoreTable(WireModel):
    """Address and limits of the store."""

    addr: SocketAddress
    row_bytes: Annotated[int, Field(gt=0)] = ROW_BYTES


class CopiesTable(WireModel):
    """Bound of the copies of tasks; a share of 0 turns them off."""

    share: Annotated[float, Field(ge=0, le=1)] = DEFAULT_COPY_SHARE


class PreemptionTable(WireModel):
    """Whether runs are stopped for urgent work, and the bounds of that."""

    enabled: bool = False
    share_per_s: Annotated[float, Field(ge=0, le=1)] = NO_PREEMPTION.share_per_s
    max_unsaved_ms: Annotated[float, Field(gt=0)] = NO_PREEMPTION.max_unsaved_ms


class AddressTable(WireModel):
    """Address of a service of the platform."""

    addr: SocketAddress


class NodeFile(WireModel):
    """The settings file."""

    node_name: Annotated[str, Field(min_length=1)]
    ip: str
    zone: str
    region: str = ""
    port_range: tuple[int, int]
    heartbeat_ms: int = 1_500
    hint: str = ""
    commands: Literal["invoke"] = "invoke"
    listen: ListenTable
    platform: StoreTable
    cloud_api: AddressTable
    limits: LimitsTable = LimitsTable()
    bounds: BoundsTable = BoundsTable()
    copies: CopiesTable = CopiesTable()
    preemption: PreemptionTable = PreemptionTable()


def settings_path() -> Path:
    """Return the path of the settings file, which an environment variable may set."""
    return Path(os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS_PATH))


def load_node_file(path: Path) -> Result[JobEntrySettings, tuple[SettingsProblem, ...]]:
    """Load the settings file; return the entry's settings or all errors in the file."""
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        message = f"expected a readable TOML file, found {error}"
        return Err((SettingsProblem(str(path), message),))
    return validate_document(document, NodeFile).map(_to_entry_settings)


def _to_entry_settings(file: NodeFile) -> JobEntrySettings:
    bounds = file.bounds
    return JobEntrySettings(
        name=file.node_name,
        data_centre=file.zone,
        inner_address=f"tcp://{file.ip}:{file.port_range[0]}",
        metrics_address=f"{file.ip}:{METRICS_PORT}",
        callers_address=file.listen.frontend,
        ready_address=file.listen.ready,
        store_address=file.platform.addr,
        machines_address=file.cloud_api.addr,
        approval_address=file.hint,
        copy_share=file.copies.share,
        preemption=PreemptionSettings(
            file.preemption.enabled,
            file.preemption.share_per_s,
            file.preemption.max_unsaved_ms,
        ),
        store_limits=StoreLimits(row_bytes=file.platform.row_bytes),
        processor=file.limits.cpu_share * file.limits.cores,
        memory_mb=file.limits.memory_mb,
        max_descriptors=file.limits.max_fds,
        bounds=TimeBounds(
            target_lease_ms=bounds.hold_max_ms,
            drain_ms=bounds.drain_ms,
            run_stop_ms=bounds.stop_grace_ms,
            grace_ms=round(bounds.grace_s * 1_000),
            away_notice_ms=bounds.notice_ms,
            duty_lease_ms=bounds.lease_ms,
            max_overload_ms=bounds.impact_ms,
            pace_delay_ms=bounds.rate_window_ms,
            gang_wait_ms=bounds.gang_timeout_ms,
            remote_factor=bounds.remote_factor,
            status_ms=round(bounds.status_s * 1_000),
        ),
    )
