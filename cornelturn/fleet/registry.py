"""Task that tracks all instances, from table rows and the platform's list."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
from result import Err, Ok

from cornelturn.events.background import start_background
from cornelturn.events.log import log_event, log_warning
from cornelturn.events.mailbox import Mailbox
from cornelturn.fleet.leaving import LeavingMarks
from cornelturn.model.fleet import Instance
from cornelturn.peering.messages import InnerMessage, InstanceLeaving
from cornelturn.store.instances import Instances, ListedInstance
from cornelturn.store.rows import Page
from cornelturn.store.table import Table

INSTANCE_PREFIX = "instance/"
SCAN_INTERVAL_S = 1.0
LIST_INTERVAL_S = 2.0


@dataclass(frozen=True, slots=True)
class ScanDue:
    """Timer: read the rows that have changed."""


@dataclass(frozen=True, slots=True)
class ListDue:
    """Timer: read the platform's list."""


@dataclass(frozen=True, slots=True)
class RowsRead:
    """Changed rows of instances that were read from the table."""

    page: Page


@dataclass(frozen=True, slots=True)
class ListRead:
    """Platform's list of instances that was read."""

    instances: tuple[ListedInstance, ...]


@dataclass(frozen=True, slots=True)
class LeavingReported:
    """Report of a target or a peer that instances are leaving.

    Parameters
    ----------
    is_from_target : bool
        Whether the target itself reported it, so that this entry must forward it to
        the other entries.
    """

    instances: tuple[str, ...]
    is_from_target: bool


RegistryMessage = ScanDue | ListDue | RowsRead | ListRead | LeavingReported


@dataclass(frozen=True, slots=True)
class FleetView:
    """Snapshot of the instances as known to this entry.

    Parameters
    ----------
    instances : tuple of Instance
        All instances that belong to a pool.
    leaving : frozenset of str
        Instances that get no new work.
    revision : int
        Revision of the table up to which the instances are known.
    """

    instances: tuple[Instance, ...]
    leaving: frozenset[str]
    revision: int = 0


@dataclass(slots=True)
class InstanceRegistry:
    """Tracks the instances of the fleet and publishes their changes.

    Parameters
    ----------
    publish : callable
        Called with each new view.
    on_scanned : callable
        Called after every successful scan.
    """

    table: Table
    platform: Instances
    send_all: Callable[[InnerMessage], None]
    publish: Callable[[FleetView], None]
    on_scanned: Callable[[], None]
    mailbox: Mailbox[RegistryMessage] = field(default_factory=Mailbox)
    instances: dict[str, Instance] = field(default_factory=dict)
    listed: dict[str, ListedInstance] = field(default_factory=dict)
    leaving_marks: LeavingMarks = field(default_factory=LeavingMarks)
    revision: int = 0
    has_scanned: bool = False
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def run(self) -> None:
        """Handle messages until cancelled."""
        async for message in self.mailbox.messages():
            self._handle(message)

    def view(self) -> FleetView:
        """Return a snapshot of the instances as known now."""
        return FleetView(
            tuple(self.instances.values()),
            self.leaving_marks.marked_instances() | self._instances_down(),
            self.revision,
        )

    def listed_instance(self, name: str) -> ListedInstance | None:
        """Return an instance from the platform's list, None if it is not listed."""
        return self.listed.get(name)

    def is_up(self, name: str) -> bool:
        """Return whether the platform lists an instance as running."""
        listed = self.listed.get(name)
        return listed is not None and listed.is_up

    def _handle(self, message: RegistryMessage) -> None:
        match message:
            case ScanDue():
                start_background(self.tasks, self._scan())
            case ListDue():
                start_background(self.tasks, self._list())
            case RowsRead(page):
                self._apply_rows(page)
            case ListRead(instances):
                self._apply_list(instances)
            case LeavingReported(names, is_from_target):
                self._apply_leaving(names, is_from_target)

    def _instances_down(self) -> frozenset[str]:
        return frozenset(
            listed_instance.name
            for listed_instance in self.listed.values()
            if not listed_instance.is_up
        )

    async def _scan(self) -> None:
        match await self.table.scan(INSTANCE_PREFIX, self.revision):
            case Ok(page):
                self.mailbox.post(RowsRead(page))
            case Err(_):
                pass

    async def _list(self) -> None:
        match await self.platform.list_all():
            case Ok(listed):
                self.mailbox.post(ListRead(tuple(listed)))
            case Err(error):
                log_warning("instance_list_unavailable", detail=error.detail)

    def _apply_rows(self, page: Page) -> None:
        is_first = not self.has_scanned
        self.has_scanned = True
        if page.revision < self.revision:
            return
        self.revision = page.revision
        for key in page.deleted:
            self.instances.pop(key.removeprefix(INSTANCE_PREFIX), None)
        for row in page.rows:
            instance = decode_instance(row.value)
            self.instances[instance.name] = instance
        self.on_scanned()
        if page.rows or page.deleted or is_first:
            self.publish(self.view())

    def _apply_list(self, instances: tuple[ListedInstance, ...]) -> None:
        down_before = self._instances_down()
        self.listed = {
            listed_instance.name: listed_instance for listed_instance in instances
        }
        is_changed = self._instances_down() != down_before
        for listed_instance in instances:
            if self.leaving_marks.observe_listing(
                listed_instance.name, listed_instance.boot, listed_instance.is_leaving
            ):
                is_changed = True
                log_event(
                    "leaving",
                    instance=listed_instance.name,
                    leaving=listed_instance.is_leaving,
                    source="list",
                )
        if is_changed:
            self.publish(self.view())

    def _apply_leaving(self, names: tuple[str, ...], is_from_target: bool) -> None:
        new = [name for name in names if self.leaving_marks.mark(name)]
        for name in new:
            source = "target" if is_from_target else "peer"
            log_event("leaving", instance=name, leaving=True, source=source)
            if is_from_target:
                self.send_all(InstanceLeaving(name))
        if new:
            self.publish(self.view())


def instance_key(name: str) -> str:
    """Return the key of the row of an instance."""
    return f"{INSTANCE_PREFIX}{name}"


def encode_instance(instance: Instance) -> str:
    """Return the JSON text of an instance."""
    return msgspec.json.encode(instance).decode()


def decode_instance(text: str) -> Instance:
    """Return the instance of a JSON text."""
    return msgspec.json.decode(text, type=Instance)
