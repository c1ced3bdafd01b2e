"""The record of a scenario: what was sent, answered and run."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from pathlib import Path


@dataclass
class Record:
    """Lines with the seconds since the start of the scenario."""

    path: Path
    started_s: float = field(default_factory=time.monotonic)
    lines: list[str] = field(default_factory=list)

    def add(self, text: str) -> None:
        """Add a line."""
        self.lines.append(f"{time.monotonic() - self.started_s:8.3f} {text}")

    def write(self) -> None:
        """Write the record to its file."""
        self.path.write_text("\n".join(self.lines) + "\n")
