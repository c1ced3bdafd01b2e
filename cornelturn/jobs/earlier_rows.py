"""Rows of jobs that earlier versions of this software filed under the name of a queue.

Today's rows are filed under the id of the queue, which a new name does not change. A
job whose row has the earlier form keeps it until it is deleted.
"""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable
from dataclasses import dataclass, field

from result import Err, Ok

from cornelturn.events.background import start_background
from cornelturn.events.log import log_event
from cornelturn.jobs.rows import JOBS_TABLE, job_key, queue_parts
from cornelturn.model.queue_identity import QUEUE_ID_PATTERN
from cornelturn.model.routes import RoutingTable
from cornelturn.store.port import RowStore

LIST_WAIT_S = 0.1
"""Time that a request waits for the list of the parts, which usually takes 4 ms."""

LIST_RETRY_S = 1.0
"""Pause before the parts are listed again if the store did not answer."""

PART_PATTERN = re.compile(r"(?P<queue>.*)\.[0-9]+", re.DOTALL)


@dataclass(slots=True)
class EarlierRows:
    """Knows the keys under which the row of a job may be found in its earlier form.

    Parameters
    ----------
    routing : callable
        Returns the configuration in force.
    names : frozenset of str or None
        Names of queues with rows in the earlier form, None until they are listed. No
        entry writes new ones.
    loading : set of Task
        The task that lists them: from when the entry has joined the others, or the
        first look for such a row.
    """

    store: RowStore
    routing: Callable[[], RoutingTable]
    names: frozenset[str] | None = None
    loading: set[asyncio.Task[None]] = field(default_factory=set)

    def start_loading(self) -> None:
        """List the names in the background, unless that has begun."""
        if not self.loading and self.names is None:
            start_background(self.loading, self.load())

    async def load(self) -> None:
        """List the names of queues with rows in the earlier form, with retries."""
        while self.names is None:
            match await self.store.parts(JOBS_TABLE):
                case Ok(parts):
                    self.names = earlier_names(parts)
                    log_event("earlier_rows", queues=len(self.names))
                case Err(_):
                    await asyncio.sleep(LIST_RETRY_S)

    async def keys(self, queue_id: str, job: str) -> list[str]:
        """Return the keys at which the row of a job may be, but for its usual one."""
        if self.names is None and queue_id in self.routing().queues_by_id:
            self.start_loading()
            if self.store.is_serving():
                await asyncio.wait(self.loading, timeout=LIST_WAIT_S)
        return [job_key(name, job) for name in self._names_of(queue_id)]

    def parts(self, queue_id: str) -> list[str]:
        """Return the parts that may hold rows of a queue in their earlier form."""
        names = self._names_of(queue_id)
        return [part for name in names for part in queue_parts(name)]

    def _names_of(self, queue_id: str) -> list[str]:
        """Return the names that a queue may have had when its rows were written.

        A queue that has got another name since may have had any that no queue has now.
        Until the names are listed, only its present one is known.
        """
        routing = self.routing()
        queue = routing.queues_by_id.get(queue_id)
        if queue is None:
            return []
        if self.names is None:
            return [queue.name]
        others = routing.queues_by_name.keys() - {queue.name}
        return sorted(self.names - others)


def earlier_names(parts: list[str]) -> frozenset[str]:
    """Return the names of queues among those of parts; ids are left out."""
    queues = (PART_PATTERN.fullmatch(part) for part in parts)
    names = {matched["queue"] for matched in queues if matched is not None}
    return frozenset(name for name in names if QUEUE_ID_PATTERN.fullmatch(name) is None)
