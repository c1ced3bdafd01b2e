"""Assignment of duties to entries: each pool, and the upkeep of the fleet."""

from __future__ import annotations
