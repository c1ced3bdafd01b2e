"""Clients of durable services: the table, the objects and the list of instances."""

from __future__ import annotations
