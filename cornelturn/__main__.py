"""Runs the command line for ``python -m cornelturn``."""

from __future__ import annotations

from cornelturn.cli.main import main

main()
