"""What a starting entry gets from the store before it joins the other entries."""

from __future__ import annotations

import asyncio
import secrets

from result import Err, Ok

from cornelturn.events.log import log_event
from cornelturn.ownership.duties import start_key
from cornelturn.store.port import RowStore
from cornelturn.store.rows import ABSENT, Put, Row, TableConflict

INNER_KEY_ROW = "keys/keys/inner"
INNER_KEY_BYTES = 32

START_RETRY_S = 0.2
"""Pause after a failed call to the store, which delays the start by 0.2 s at most."""


async def new_incarnation(store: RowStore, entry: str) -> int:
    """Return a number that increases with each start, independently of the clocks."""
    while True:
        match await store.commit(Put(start_key(entry), "{}")):
            case Ok(committed):
                return committed.revision
            case Err(error):
                log_event("not_joined", entry=entry, detail=type(error).__name__)
                await asyncio.sleep(START_RETRY_S)


async def shared_key(store: RowStore) -> bytes:
    """Return the key that all entries share; the first entry creates it."""
    while True:
        match await store.read(INNER_KEY_ROW):
            case Ok(Row(value=value)):
                return bytes.fromhex(value)
            case Ok(None):
                key = secrets.token_bytes(INNER_KEY_BYTES)
                match await store.commit(Put(INNER_KEY_ROW, key.hex(), ABSENT)):
                    case Ok(_):
                        return key
                    case Err(TableConflict()):
                        continue
                    case Err(error):
                        log_event("key_not_shared", detail=error.detail)
            case Err(error):
                log_event("key_not_shared", detail=error.detail)
        await asyncio.sleep(START_RETRY_S)
