"""A stand-in of the users' platform that speaks its wire, for tests and trials."""

from __future__ import annotations
