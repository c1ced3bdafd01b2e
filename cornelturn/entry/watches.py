"""Tasks that follow what the operator and the targets write to the store."""

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

FOLLOW_WAIT_MS = 2_000
"""How long a reading of changes waits; bounds how long a silent connection hides
a new configuration."""

FOLLOW_MARGIN_MS = 500
"""Time beyond that after which more changes may have piled up behind an answer."""

RETRY_S = 0.2
"""Pause after a call of the store that failed."""

LIST_INTERVAL_S = 1.0
"""Interval between two readings of the list of targets, half the time in which a
draining target must be noticed."""


class RoutingSource(StrEnum):
    """Where the document of a configuration came from."""

    STORE = "store"
    PEER = "peer"


@dataclass(slots=True)
class OperatorWatch:
    """Follows the operator's rows: the configuration and the waves.

    The history brings each version in full and in order. Where it may hold several,
    the rows are read as they are, which brings the newest alone.

    Parameters
    ----------
    adopted : callable
        Called with the version of each newer configuration.
    waves : callable
        Called with each wave.
    text : str
        Document of the configuration in force.
    confirmed_ms : int
        When the store last said that it has nothing newer.
    """

    store: RowStore
    documents: RowDecoder
    clock: Clock
    adopted: Callable[[int], None]
    waves: Callable[[UpkeepWave], None]
    current: RoutingTable | None = None
    text: str = ""
    confirmed_ms: int = 0

    async def run(self) -> None:
        """Follow for ever."""
        table = self.documents.operator_table
        revision = await self._read_all()
        while True:
            late_ms = self.clock.now_ms() + FOLLOW_WAIT_MS + FOLLOW_MARGIN_MS
            match await self.store.changes(table, revision, FOLLOW_WAIT_MS):
                case Ok(page):
                    revision = max(revision, page.revision)
                    self._take_in(page)
                    if page.superseded or self.clock.now_ms() > late_ms:
                        revision = await self._read_all()
                case Err(_):
                    await asyncio.sleep(RETRY_S)
                    revision = await self._read_all()

    def offer(self, text: str, source: RoutingSource) -> None:
        """Adopt the document of a configuration if it is newer."""
        match self.documents.decode_configuration(text):
            case Ok(table):
                if self.current is not None and table.version <= self.current.version:
                    return
                self.current, self.text = table, text
                log_event(
                    "configuration_in_force",
                    version=table.version,
                    queues=len(table.queues),
                    source=source,
                )
                self.adopted(table.version)
            case Err(error):
                log_warning("configuration_unreadable", detail=error.detail)

    async def _read_all(self) -> int:
        while True:
            match await self.store.scan(self.documents.operator_table, ""):
                case Ok(page):
                    self._take_in(page)
                    return page.revision
                case Err(_):
                    await asyncio.sleep(RETRY_S)

    def _take_in(self, page: Page) -> None:
        self.confirmed_ms = self.clock.now_ms()
        for row in page.rows:
            match self.documents.decode_operator_row(row):
                case Ok(ConfigurationRow(text)):
                    self.offer(text, RoutingSource.STORE)
                case Ok(WaveRow(wave)):
                    self.waves(wave)
                case Ok(OtherRow()):
                    continue
                case Err(error):
                    log_warning(
                        "operator_row_unreadable", key=row.key, detail=error.detail
                    )


@dataclass(slots=True)
class TargetWatch:
    """Reads the list of targets while somebody needs it.

    Parameters
    ----------
    is_needed : callable
        Tells whether this entry owns a pool.
    listed : callable
        Called with all targets after each reading.
    unreadable : set of str
        Listed rows that were told of in the log, as they were not understood.
    """

    store: RowStore
    documents: RowDecoder
    is_needed: Callable[[], bool]
    listed: Callable[[tuple[ListedTarget, ...]], None]
    wanted: asyncio.Event = field(default_factory=asyncio.Event)
    unreadable: set[str] = field(default_factory=set)

    async def run(self) -> None:
        """Read for ever."""
        while True:
            if self.is_needed():
                await self._read()
            self.wanted.clear()
            try:
                async with asyncio.timeout(LIST_INTERVAL_S):
                    await self.wanted.wait()
            except TimeoutError:
                continue

    async def _read(self) -> None:
        match await self.store.scan(self.documents.targets_table, ""):
            case Ok(page):
                self.listed(tuple(self._decoded(page.rows)))
            case Err(error):
                log_event("targets_not_read", detail=error.detail)

    def _decoded(self, rows: tuple[Row, ...]) -> list[ListedTarget]:
        found: list[ListedTarget] = []
        self.unreadable &= {row.key for row in rows}
        for row in rows:
            match self.documents.decode_target(row):
                case Ok(target):
                    found.append(target)
                case Err(error) if row.key not in self.unreadable:
                    self.unreadable.add(row.key)
                    log_warning("target_unreadable", key=row.key, detail=error.detail)
        return found
