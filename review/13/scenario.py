"""An entry of the list of workers from another writer, while jobs are handed in."""

from __future__ import annotations

import msgspec

from review.standins3.deployment import Deployment, encode_row
from review.standins3.scenario import run

JOBS_BEFORE, JOBS_AFTER = 10, 20
PAUSE_S = 0.3
FOREIGN_ADDRESS = "::1:8700"
"""An IPv6 address without brackets, where the pages have an IPv4 address."""


async def scenario(deployment: Deployment, is_troubled: bool) -> list[str]:
    """Return the accepted jobs that are lost."""
    await deployment.start(entries=3, workers=4)
    await deployment.submit_usual(range(JOBS_BEFORE))
    if is_troubled:
        worker = deployment.workers["worker-0"]
        row = msgspec.json.decode(worker.row_value()) | {"addr": FOREIGN_ADDRESS}
        deployment.store.put("servers", "registry-7", encode_row(row))
        deployment.record.add(f"another writer puts servers/registry-7: {row}")
    await deployment.submit_usual(range(JOBS_BEFORE, JOBS_BEFORE + JOBS_AFTER), PAUSE_S)
    lost = await deployment.find_lost(list(deployment.accepted))
    deployment.record.add(f"owner_failed: {deployment.note_log('owner_failed')} times")
    return [
        f"LOST: {job} was accepted, is {await deployment.state(job) or 'unknown'}, and "
        f"nothing of it ran for 3 s from finish_s on"
        for job in lost
    ]


if __name__ == "__main__":
    run(scenario, __file__)
