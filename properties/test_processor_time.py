"""The limit of processor time counts the work of an example, and nothing else."""

from __future__ import annotations

import gc
import time

import pytest

from properties.processor_time import processor_time_limit

LIMIT_MS = 50.0
WORK_S = 0.1


def work(seconds: float) -> None:
    end_s = time.thread_time() + seconds
    while time.thread_time() < end_s:
        pass


def test_work_beyond_the_limit_fails():
    """Guards against a limit that never fails."""
    with pytest.raises(AssertionError, match="ms of processor time"):  # noqa: SIM117
        with processor_time_limit(LIMIT_MS):
            work(WORK_S)


def test_time_without_work_does_not_count():
    """Guards against failures for the other work of the machine."""
    with processor_time_limit(LIMIT_MS):
        time.sleep(WORK_S)


def test_collections_do_not_count():
    """Guards against failures for the objects of other tests in the process."""
    with processor_time_limit(LIMIT_MS):
        end_s = time.thread_time() + WORK_S
        while time.thread_time() < end_s:
            gc.collect()


def test_failure_of_the_block_is_not_hidden():
    """Guards against a limit that replaces the failure that it was to time."""
    with pytest.raises(ValueError, match="own"):  # noqa: SIM117
        with processor_time_limit(LIMIT_MS):
            work(WORK_S)
            raise ValueError("own")
