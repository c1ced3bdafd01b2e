"""What identifies a queue: its host and path prefix, not its name."""

from __future__ import annotations

import re
from dataclasses import dataclass

import xxhash

QUEUE_ID_PATTERN = re.compile(r"q[0-9a-f]{32}")
"""Form of the result of `queue_id`."""


def queue_id(host: str, path_prefix: str) -> str:
    """Return the id of the queue at a host and path prefix.

    Its name is a label that may change, or be given to another queue.
    """
    address = f"{host.lower()}\n{path_prefix}"
    return f"q{xxhash.xxh3_128_hexdigest(address.encode())}"


@dataclass(frozen=True, slots=True)
class QueueReference:
    """How a job refers to its queue.

    Parameters
    ----------
    name : str
        Name of the queue when the job was submitted.
    id : str
        Result of `queue_id`; empty for jobs of earlier versions of this software.
    """

    name: str
    id: str = ""

    def key(self) -> str:
        """Return what identifies the queue: its id, else its name."""
        return self.id or self.name
