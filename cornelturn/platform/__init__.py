"""Clients of the platform: table service, objects, instances."""

from __future__ import annotations
