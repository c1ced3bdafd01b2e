"""Ports of an entry that schedules jobs: its interfaces to the outside."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from blacksheep import Application

from cornelturn.advice.messages import ConnectApprovals
from cornelturn.fleet.machines import Machines
from cornelturn.jobs.service import JobService
from cornelturn.model.documents import RowDecoder
from cornelturn.model.routes import RoutingState
from cornelturn.store.port import RowStore
from cornelturn.store.rows import Put
from cornelturn.targets.model import ListedTarget
from cornelturn.targets.session import TargetConnection


@dataclass(frozen=True, slots=True)
class Ports:
    """Interfaces of an entry to the store, machines, targets and callers.

    Parameters
    ----------
    connect_target : callable
        Opens the connection to a target.
    wave_status : callable
        Returns the write that reports to the operator whether a wave is completed.
    documents : RowDecoder
        Decodes the rows of the operator and of the targets.
    callers_application : callable
        Builds the HTTP application for callers.
    connect_approvals : callable or None
        Opens a connection to the service that approves targets, None if there is none.
    """

    store: RowStore
    machines: Machines
    connect_target: Callable[[ListedTarget], TargetConnection]
    wave_status: Callable[[int, bool], Put]
    documents: RowDecoder
    callers_application: Callable[[JobService, Callable[[], RoutingState]], Application]
    connect_approvals: ConnectApprovals | None = None
