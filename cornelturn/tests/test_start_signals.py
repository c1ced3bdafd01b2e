"""Signals that reach a process while it starts."""

from __future__ import annotations

import subprocess
import sys

HANGUP_DURING_IMPORTS = """
import os, runpy, signal, sys


class Hangup:
    def find_spec(self, name, path=None, target=None):
        if name == "cornelturn.cli.main":
            os.kill(os.getpid(), signal.SIGHUP)
            print("alive", flush=True)
            os._exit(0)


sys.meta_path.insert(0, Hangup())
sys.argv = ["cornelturn", "platform", "run"]
runpy.run_module("cornelturn", run_name="__main__")
"""


def test_changed_settings_do_not_end_an_entry_that_starts():
    # SIGHUP in the first 0.45 s ended the process, as no handler was installed yet.
    command = [sys.executable, "-c", HANGUP_DURING_IMPORTS]
    finished = subprocess.run(command, capture_output=True, text=True, timeout=30)
    assert (finished.returncode, finished.stdout) == (0, "alive\n")
