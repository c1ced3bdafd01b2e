"""Builds an entry whose ports are connected to the users' platform."""

from __future__ import annotations

import time
from functools import partial

from cornelturn.clock import Clock
from cornelturn.entry.job_ports import Ports
from cornelturn.entry.job_process import JobEntry
from cornelturn.entry.job_settings import JobEntrySettings
from cornelturn.platform.approvals import PlatformApprovals
from cornelturn.platform.documents import (
    PlatformDocuments,
    encode_wave_status,
    wave_status_key,
)
from cornelturn.platform.ingress import Ingress
from cornelturn.platform.machines import PlatformMachines
from cornelturn.platform.store import PlatformStore
from cornelturn.platform.targets import WorkerConnection
from cornelturn.store.rows import Put


def read_boot_time_ns() -> int:
    """Read a monotonic clock that keeps running while the machine is suspended."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


def build_entry(settings: JobEntrySettings) -> JobEntry:
    """Build an entry that uses the platform's store, machines and clients."""
    return JobEntry(settings, platform_ports(settings), Clock(read_boot_time_ns))


def platform_ports(settings: JobEntrySettings) -> Ports:
    """Build the platform's implementations of the ports of an entry."""
    store = PlatformStore(settings.store_address)
    return Ports(
        store=store,
        machines=PlatformMachines(settings.machines_address, settings.name),
        connect_target=WorkerConnection,
        wave_status=lambda wave, is_completed: Put(
            wave_status_key(wave), encode_wave_status(is_completed)
        ),
        documents=PlatformDocuments(),
        callers_application=lambda service, routing: Ingress(
            service, routing, has_approvals=bool(settings.approval_address)
        ).application(),
        connect_approvals=(
            partial(PlatformApprovals, settings.approval_address)
            if settings.approval_address
            else None
        ),
    )
