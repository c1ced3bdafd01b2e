"""The port to what lasts: table, objects and the list of instances."""

from __future__ import annotations
