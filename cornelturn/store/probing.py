"""Background task that detects and logs outages of a store and their end."""

from __future__ import annotations

import asyncio
from typing import Any

from cornelturn.clock import Clock
from cornelturn.events.background import start_background
from cornelturn.events.log import log_event, log_warning
from cornelturn.store.health import CallKind
from cornelturn.store.port import RowStore

PROBE_INTERVAL_S = 0.2


async def probe(store: RowStore, key: str, clock: Clock) -> None:
    """Read a row periodically while calls to the store are overdue or refused."""
    running: set[asyncio.Task[Any]] = set()
    down_since_ms: int | None = None
    while True:
        await asyncio.sleep(PROBE_INTERVAL_S)
        if store.is_probe_needed():
            start_background(running, store.read(key))
        is_down, now_ms = not store.is_serving(), clock.now_ms()
        if is_down and down_since_ms is None:
            down_since_ms = now_ms
            log_warning(
                "store_away", patience_ms=store.response_timeout_ms(CallKind.WRITE)
            )
        elif not is_down and down_since_ms is not None:
            log_event("store_back", after_ms=now_ms - down_since_ms)
            down_since_ms = None
