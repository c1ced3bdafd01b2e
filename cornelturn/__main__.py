"""Lets ``python -m cornelturn`` run the program."""

from __future__ import annotations

from cornelturn.cli.main import main

main()
