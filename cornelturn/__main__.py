"""Runs the command line for ``python -m cornelturn``."""

from __future__ import annotations

import signal
import sys

ENTRY_COMMAND = ["platform", "run"]
"""Command whose process reads its settings again at SIGHUP."""


def run() -> None:
    """Run the command line.

    The imports and the start of an entry take about half a second, in which SIGHUP
    would end the process. The settings are read after that, so it may be ignored.
    """
    if sys.argv[1:3] == ENTRY_COMMAND:
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from cornelturn.cli.main import main

    main()


run()
