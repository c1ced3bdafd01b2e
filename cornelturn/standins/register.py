"""Registers targets in the instance list of the platform's stand-in."""

from __future__ import annotations

import msgspec

from cornelturn.store.http_client import call, open_session
from cornelturn.store.wire import WireInstance

CALL_TIMEOUT_MS = 5_000
SLOTS = 8
CORES = 64.0
MEMORY_MB = 262_144


def target_instance(name: str, address: str, place: str) -> WireInstance:
    """Return a target as an item of the instance list.

    Parameters
    ----------
    place : str
        Data centre and rack, written ``data-centre/rack``.
    """
    data_centre, _, rack = place.partition("/")
    return WireInstance(
        name=name,
        data_centre=data_centre,
        rack=rack,
        address=address,
        slots=SLOTS,
        cores=CORES,
        memory_mb=MEMORY_MB,
    )


async def register_target(
    platform_url: str, name: str, address: str, place: str
) -> None:
    """Add a target to the instance list at a place, written ``data-centre/rack``.

    Raises
    ------
    result.UnwrapError
        If the stand-in does not answer.
    """
    instance = target_instance(name, address, place)
    session = open_session(platform_url, CALL_TIMEOUT_MS)
    body = msgspec.json.encode(instance)
    result = await call(session, "PUT", "/v1/instances", CALL_TIMEOUT_MS, body)
    await session.close()
    result.unwrap()
