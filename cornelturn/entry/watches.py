"""Tasks that read the rows of the operator and of the targets from the store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from result import Err, Ok

from cornelturn.clock import Clock
from cornelturn.events.log import log_event, log_warning
from cornelturn.model.documents import ConfigurationRow, OtherRow, RowDecoder, WaveRow
from cornelturn.model.routes import RoutingTable
from cornelturn.model.upkeep import UpkeepWave
from cornelturn.store.port import RowStore
from cornelturn.store.rows import Page, Row
from cornelturn.targets.model import ListedTarget

CHANGES_WAIT_MS = 2_000
"""How long a read waits for changes; bounds the time for which an unresponsive
connection can hide a new configuration."""

MAX_CHANGES_DELAY_MS = 500
"""Delay of a response, beyond that wait, after which more changes may have
accumulated behind it."""

STORE_RETRY_S = 0.2
"""Pause after a failed call to the store."""

TARGET_LIST_INTERVAL_S = 1.0
"""Interval at which the list of targets is read: half the time in which a draining
target must be noticed."""


class RoutingSource(StrEnum):
    """Source of the document of a configuration."""

    STORE = "store"
    PEER = "peer"


@dataclass(slots=True)
class OperatorWatch:
    """Follows the operator's rows: the configuration and the waves.

    The history of changes returns each version in full and in order. When it may hold
    several versions, the current rows are read instead, which returns only the newest.

    Parameters
    ----------
    on_configuration : callable
        Called with the version of each newer configuration.
    on_wave : callable
        Called with each wave.
    document : str
        Document of the configuration in force.
    confirmed_ms : int
        When the store last confirmed that it has nothing newer.
    """

    store: RowStore
    documents: RowDecoder
    clock: Clock
    on_configuration: Callable[[int], None]
    on_wave: Callable[[UpkeepWave], None]
    current: RoutingTable | None = None
    document: str = ""
    confirmed_ms: int = 0

    async def run(self) -> None:
        """Follow the rows until cancelled."""
        table = self.documents.operator_table
        revision = await self._read_all()
        while True:
            deadline_ms = self.clock.now_ms() + CHANGES_WAIT_MS + MAX_CHANGES_DELAY_MS
            match await self.store.changes(table, revision, CHANGES_WAIT_MS):
                case Ok(page):
                    revision = max(revision, page.revision)
                    self._apply_page(page)
                    if page.superseded or self.clock.now_ms() > deadline_ms:
                        revision = await self._read_all()
                case Err(_):
                    await asyncio.sleep(STORE_RETRY_S)
                    revision = await self._read_all()

    def adopt_if_newer(self, document: str, source: RoutingSource) -> None:
        """Adopt the document of a configuration if it is newer than the current one."""
        match self.documents.decode_configuration(document):
            case Ok(table):
                if self.current is not None and table.version <= self.current.version:
                    return
                self.current, self.document = table, document
                log_event(
                    "configuration_in_force",
                    version=table.version,
                    queues=len(table.queues),
                    source=source,
                )
                self.on_configuration(table.version)
            case Err(error):
                log_warning("configuration_unreadable", detail=error.detail)

    async def _read_all(self) -> int:
        while True:
            match await self.store.scan(self.documents.operator_table, ""):
                case Ok(page):
                    self._apply_page(page)
                    return page.revision
                case Err(_):
                    await asyncio.sleep(STORE_RETRY_S)

    def _apply_page(self, page: Page) -> None:
        self.confirmed_ms = self.clock.now_ms()
        for row in page.rows:
            match self.documents.decode_operator_row(row):
                case Ok(ConfigurationRow(document)):
                    self.adopt_if_newer(document, RoutingSource.STORE)
                case Ok(WaveRow(wave)):
                    self.on_wave(wave)
                case Ok(OtherRow()):
                    continue
                case Err(error):
                    log_warning(
                        "operator_row_unreadable", key=row.key, detail=error.detail
                    )


@dataclass(slots=True)
class TargetWatch:
    """Reads the list of targets while this entry needs it.

    Parameters
    ----------
    is_needed : callable
        Returns whether this entry owns a pool.
    on_targets : callable
        Called with all targets after each read.
    logged_unreadable : set of str
        Keys of listed rows that could not be decoded and have been logged.
    """

    store: RowStore
    documents: RowDecoder
    is_needed: Callable[[], bool]
    on_targets: Callable[[tuple[ListedTarget, ...]], None]
    refresh_requested: asyncio.Event = field(default_factory=asyncio.Event)
    logged_unreadable: set[str] = field(default_factory=set)

    async def run(self) -> None:
        """Read periodically and on request, until cancelled."""
        while True:
            if self.is_needed():
                await self._read()
            self.refresh_requested.clear()
            try:
                async with asyncio.timeout(TARGET_LIST_INTERVAL_S):
                    await self.refresh_requested.wait()
            except TimeoutError:
                continue

    async def _read(self) -> None:
        match await self.store.scan(self.documents.targets_table, ""):
            case Ok(page):
                self.on_targets(tuple(self._decode_targets(page.rows)))
            case Err(error):
                log_event("targets_not_read", detail=error.detail)

    def _decode_targets(self, rows: tuple[Row, ...]) -> list[ListedTarget]:
        targets: list[ListedTarget] = []
        self.logged_unreadable &= {row.key for row in rows}
        for row in rows:
            match self.documents.decode_target(row):
                case Ok(target):
                    targets.append(target)
                case Err(error) if row.key not in self.logged_unreadable:
                    self.logged_unreadable.add(row.key)
                    log_warning("target_unreadable", key=row.key, detail=error.detail)
        return targets
