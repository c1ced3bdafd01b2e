"""Settings of a process, read from YAML and validated whole."""

from __future__ import annotations
