"""The task that notices when a store that was away answers again."""

from __future__ import annotations

import asyncio
from typing import Any

from cornelturn.events.background import start_background
from cornelturn.store.port import RowStore

PROBE_INTERVAL_S = 0.2
PROBE_KEY = "op//config"


async def probe(store: RowStore) -> None:
    """Read a row from time to time while answers are overdue or refused."""
    running: set[asyncio.Task[Any]] = set()
    while True:
        await asyncio.sleep(PROBE_INTERVAL_S)
        if store.is_probe_wanted():
            start_background(running, store.read(PROBE_KEY))
