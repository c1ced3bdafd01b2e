"""Demand with square peaks, and what it shows."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from cornelturn.benchmarks.recurring_peaks import (
    INTERVAL_MS,
    PEAK_MS,
)
from cornelturn.capacity.peaks import (
    RecurringPeaks,
)

SAMPLE_MS = 200
HEIGHT = 9.0
IDLE = 0.5
LEARNT_PEAKS = 7
"""Peaks after which the predictions of exactly recurring peaks are used."""


def feed(
    add: Callable[[float, int], object],
    begins_ms: Iterable[int],
    from_ms: int,
    to_ms: int,
) -> list[object]:
    """Add the demand of square peaks and return what each call returned."""
    peaks = [(begin_ms, begin_ms + PEAK_MS) for begin_ms in begins_ms]
    return [
        add(HEIGHT if any(a <= now_ms < b for a, b in peaks) else IDLE, now_ms)
        for now_ms in range(from_ms, to_ms, SAMPLE_MS)
    ]


def events_of(peaks: RecurringPeaks, begins_ms: list[int], to_ms: int):
    """Return the events of a demand with square peaks."""
    found = feed(peaks.add, begins_ms, 0, to_ms)
    return [event for events in found for event in events]


def exact_peaks(count: int) -> list[int]:
    """Return the beginnings of peaks that recur exactly."""
    return [10_000 + number * INTERVAL_MS for number in range(count)]


def learn() -> RecurringPeaks:
    """Return peaks that recurred exactly, 5 s before the next one."""
    peaks = RecurringPeaks()
    events_of(peaks, exact_peaks(LEARNT_PEAKS), exact_peaks(8)[-1] - 5_000)
    return peaks
