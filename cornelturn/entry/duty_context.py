"""What the tasks of an entry's duties use of the entry."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, Protocol

from cornelturn.entry.organisation_figures import EntryFigures
from cornelturn.events.process_work import ProcessPart
from cornelturn.peering.messages import InnerMessage, PoolCounts, PoolLoad


class EntryContext(Protocol):
    """Services of an entry that its duty tasks use.

    Parameters
    ----------
    figures : EntryFigures
        Sends figures of organisations to the entries that show them to operators.
    """

    figures: EntryFigures

    def send(self, entry: str, message: InnerMessage) -> None:
        """Send a message to an entry."""

    def send_all(self, message: InnerMessage) -> None:
        """Send a message to all other entries."""

    def publish_pool_status(self, message: PoolCounts | PoolLoad) -> None:
        """Send the status of a pool to its recipients, including this entry."""

    def spawn(
        self, work: Coroutine[Any, Any, None], part: ProcessPart
    ) -> asyncio.Task[None]:
        """Start a task that is cancelled when the entry stops."""

    def refresh_targets(self) -> None:
        """Read the list of targets immediately."""
