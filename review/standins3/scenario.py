"""Runs a scenario and turns its result into the exit code of a case."""

from __future__ import annotations

import asyncio
import logging
import os
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from review.standins3.deployment import Deployment
from review.standins3.record import Record

LIMIT_S = 110.0
HELD, BROKEN, NOT_RUN = 0, 1, 2

Scenario = Callable[[Deployment, bool], Awaitable[list[str]]]


def run(scenario: Scenario, case: str) -> None:
    """Run a scenario, which returns how the rule was broken, and exit.

    Exit code 0 if the rule held, 1 if it was broken, 2 if the case could not run.
    """
    logging.disable(logging.CRITICAL)
    record = Record(Path(case).parent / "record.txt")
    is_troubled = os.environ.get("TROUBLE", "1") != "0"
    record.add(f"disruption: {'on' if is_troubled else 'off'}")
    try:
        breaks = asyncio.run(_run(scenario, record, is_troubled))
        code = BROKEN if breaks else HELD
    except Exception as error:
        traceback.print_exc()
        breaks, code = [repr(error)], NOT_RUN
    for text in breaks:
        record.add(text)
    result = {HELD: "the rule held", BROKEN: "the rule was broken"}
    record.add(result.get(code, "the case could not run"))
    record.write()
    print(record.lines[-1])
    sys.exit(code)


async def _run(scenario: Scenario, record: Record, is_troubled: bool) -> list[str]:
    deployment = Deployment(record)
    try:
        async with asyncio.timeout(LIMIT_S):
            return await scenario(deployment, is_troubled)
    finally:
        await deployment.stop()
