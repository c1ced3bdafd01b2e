"""Stand-in for the users' platform that speaks its protocols, for tests and trials."""

from __future__ import annotations
