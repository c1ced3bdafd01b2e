"""Stand-ins for the platform and for targets, for tests and trials."""

from __future__ import annotations
