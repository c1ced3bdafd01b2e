"""The entry process: its tasks and the connections between them."""

from __future__ import annotations
