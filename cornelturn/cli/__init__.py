"""The command line: commands of operators, and of processes and their logs."""

from __future__ import annotations
