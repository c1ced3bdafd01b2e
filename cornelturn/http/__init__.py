"""HTTP APIs for callers and operators, and the server that they run on."""

from __future__ import annotations
