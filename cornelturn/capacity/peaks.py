"""Recognition and prediction of load peaks that recur in the demand of a pool.

The intervals between the last peaks predict the next one. The confidence depends only
on how the last predictions ended, so demand without recurring peaks has none. The
module does no I/O: it takes demands and the time, and returns its findings as data.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from statistics import median

from cornelturn.capacity.peak_detection import (
    DemandPeaks,
    PeakBegun,
    PeakDiscarded,
    PeakEnded,
)

TOLERANCE_SHARE = 0.1
"""Largest deviation of a predicted beginning, as a share of the interval."""

MAX_TOLERANCE_MS = 2_000
"""Largest deviation for long intervals. Machines that are ordered for a peak which
begins that early still arrive before those that are ordered when it begins."""

MAX_MARGIN_MS = 900
"""Longest time for which machines wait before and after the predicted beginning. Both
together are the time of one move, which bounds the cost of a missed peak."""

MIN_MARGIN_MS = 300
"""Smallest time by which machines are ordered early; it covers the interval between
two decisions and that between two reported loads."""

REMEMBERED_PEAKS = 4
"""Number of last peaks that a prediction uses."""

HIT_WEIGHT = 0.4
"""Share of the remaining doubt that a hit removes."""

MISS_FACTOR = 0.25
"""Factor of the confidence at a miss; three hits must follow before predictions are
used again."""

MIN_CONFIDENCE = 0.8
"""Confidence below which predictions are only checked, not used. It takes four hits in
a row: where intervals are random, a fifth of the predictions are hits by chance."""


@dataclass(frozen=True, slots=True)
class PeaksRecognised:
    """The predictions of a pool's peaks are used from now on."""

    interval_ms: int
    length_ms: int
    height: float


@dataclass(frozen=True, slots=True)
class PredictionHit:
    """A peak began at the predicted time.

    Parameters
    ----------
    error_ms : int
        Time from the predicted beginning to the actual one.
    is_used : bool
        Whether machines were moved by the prediction.
    """

    error_ms: int
    is_used: bool


@dataclass(frozen=True, slots=True)
class PredictionMissed:
    """No peak began at the predicted time.

    Parameters
    ----------
    confidence : float
        Confidence in the prediction, 0 if it was not used.
    height : float
        Predicted demand, in machines.
    """

    confidence: float
    height: float


PeakEvent = PeaksRecognised | PredictionHit | PredictionMissed


@dataclass(slots=True)
class RecurringPeaks:
    """Recent peaks of a pool, and the prediction of the next one.

    Parameters
    ----------
    intervals_ms, lengths_ms, heights : deque
        Intervals, lengths and heights of the last peaks, oldest first.
    errors_ms : deque
        Absolute errors of the last predictions that were hits.
    last_begin_ms : int or None
        Beginning of the last peak.
    predicted_ms : int or None
        Predicted beginning of the next peak; None while nothing is predicted.
    score : float
        Exponential average of hits and misses.
    is_predicted : bool
        Whether the peak that has begun was predicted with confidence.
    """

    demand_peaks: DemandPeaks = field(default_factory=DemandPeaks)
    intervals_ms: deque[int] = field(
        default_factory=lambda: deque(maxlen=REMEMBERED_PEAKS)
    )
    lengths_ms: deque[int] = field(
        default_factory=lambda: deque(maxlen=REMEMBERED_PEAKS)
    )
    heights: deque[float] = field(
        default_factory=lambda: deque(maxlen=REMEMBERED_PEAKS)
    )
    errors_ms: deque[int] = field(
        default_factory=lambda: deque(maxlen=REMEMBERED_PEAKS)
    )
    last_begin_ms: int | None = None
    predicted_ms: int | None = None
    score: float = 0.0
    is_predicted: bool = False

    def add(self, demand: float, now_ms: int) -> list[PeakEvent]:
        """Add a sample of the demand and return what it shows."""
        events: list[PeakEvent] = []
        match self.demand_peaks.add(demand, now_ms):
            case PeakBegun(begin_ms):
                events += self._add_begin(begin_ms)
            case PeakEnded(length_ms, height):
                self.lengths_ms.append(length_ms)
                self.heights.append(height)
                self.is_predicted = False
            case PeakDiscarded():
                # Unknown is whether a peak began in the gap: no interval, hit or miss.
                self.last_begin_ms = self.predicted_ms = None
                self.is_predicted = False
        if self._is_overdue(now_ms):
            events.append(self._record_miss())
        return events

    def confidence(self) -> float:
        """Return the confidence in the next prediction, 0 if it is not to be used."""
        return self.score if self.score >= MIN_CONFIDENCE else 0.0

    def demand_after(self, lead_ms: int, now_ms: int) -> float:
        """Return the predicted demand after a lead time, 0 while no peak is due."""
        confidence = self.confidence()
        if not confidence or not self._is_due(lead_ms, now_ms):
            return 0.0
        return confidence * self._height()

    def is_ending(self, lead_ms: int, now_ms: int) -> bool:
        """Return whether a predicted peak is expected to end within a lead time.

        A peak that goes on for longer is not expected to end any more.
        """
        begin_ms = self.demand_peaks.begin_ms
        if not self.is_predicted or begin_ms is None:
            return False
        end_ms = begin_ms + self._length_ms()
        return end_ms - lead_ms <= now_ms <= end_ms + MAX_MARGIN_MS

    def highest_demand(self, now_ms: int) -> float | None:
        """Return the largest demand of the predicted peak that goes on, if one does.

        A peak that outlasts its expected length is not the predicted one any more.
        """
        begin_ms = self.demand_peaks.begin_ms
        if begin_ms is None or not self.confidence():
            return None
        if now_ms > begin_ms + self._length_ms() + MAX_MARGIN_MS:
            return None
        is_expected = self.is_predicted or self._is_hit(begin_ms)
        return max(self.heights) if is_expected else None

    def _is_due(self, lead_ms: int, now_ms: int) -> bool:
        """Return whether machines are needed for a peak that begins or goes on."""
        begin_ms = self.demand_peaks.begin_ms
        is_expected = begin_ms is not None and (
            self.is_predicted or self._is_hit(begin_ms)
        )
        if is_expected and now_ms + lead_ms < begin_ms + self._length_ms():
            return True
        if self.predicted_ms is None:
            return False
        margin_ms = self._margin_ms()
        earliest_ms = self.predicted_ms - margin_ms
        return earliest_ms - lead_ms <= now_ms <= self.predicted_ms + margin_ms

    def _add_begin(self, begin_ms: int) -> list[PeakEvent]:
        """Check the prediction of a peak that has begun, and predict the next one."""
        events: list[PeakEvent] = []
        was_usable = bool(self.confidence())
        if self.predicted_ms is not None and self._is_hit(begin_ms):
            error_ms = begin_ms - self.predicted_ms
            events.append(PredictionHit(error_ms, was_usable))
            self.errors_ms.append(abs(error_ms))
            self.score += (1 - self.score) * HIT_WEIGHT
            self.is_predicted = was_usable
        elif self.predicted_ms is not None:
            events.append(self._record_miss())
        if self.last_begin_ms is not None:
            self.intervals_ms.append(begin_ms - self.last_begin_ms)
        self.last_begin_ms = begin_ms
        if self.intervals_ms:
            self.predicted_ms = begin_ms + self._interval_ms()
        if self.confidence() and not was_usable:
            events.append(
                PeaksRecognised(self._interval_ms(), self._length_ms(), self._height())
            )
        return events

    def _is_hit(self, begin_ms: int) -> bool:
        predicted_ms = self.predicted_ms
        if predicted_ms is None:
            return False
        return abs(begin_ms - predicted_ms) <= self._tolerance_ms()

    def _is_overdue(self, now_ms: int) -> bool:
        """Return whether the predicted peak has not begun in time."""
        begin_ms = self.demand_peaks.begin_ms
        predicted_ms = self.predicted_ms
        if predicted_ms is None or now_ms <= predicted_ms + self._tolerance_ms():
            return False
        return begin_ms is None or not self._is_hit(begin_ms)

    def _record_miss(self) -> PredictionMissed:
        confidence = self.confidence()
        self.predicted_ms = None
        self.score *= MISS_FACTOR
        return PredictionMissed(confidence, self._height() if confidence else 0.0)

    def _height(self) -> float:
        """Return the lowest of the last heights.

        While a pool has too few machines its waiting tasks raise the demand beyond
        what the peak needs, so the lowest height is the most exact one.
        """
        return min(self.heights)

    def _length_ms(self) -> int:
        return round(median(self.lengths_ms))

    def _interval_ms(self) -> int:
        return round(median(self.intervals_ms))

    def _tolerance_ms(self) -> int:
        """Return by how much a peak may differ from its prediction."""
        return min(MAX_TOLERANCE_MS, round(self._interval_ms() * TOLERANCE_SHARE))

    def _margin_ms(self) -> int:
        """Return by how much the next peak may begin earlier or later."""
        largest_ms = max(self.errors_ms, default=0)
        return min(MAX_MARGIN_MS, largest_ms + MIN_MARGIN_MS)
