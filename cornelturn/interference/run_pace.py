"""What is known of the pace of one filling run, and when an order for it is due."""

from __future__ import annotations

from dataclasses import dataclass, field

from cornelturn.targets.model import FULL_PACE, Executed, OrderResult, Unanswered

RETRY_MS = 150
"""Pause before an order without an answer is repeated."""

DECLINED_RETRY_MS = 1_000
"""Pause before a refused order is repeated; the target may not list the run yet."""

CONFIRM_MS = 1_000
"""Time after which a pace is ordered once more if an earlier order may still be
carried out; longer than the time limit of an order."""

MIN_RAISE = 5
"""Least raise in points for which an order is sent, so that slow raises do not send one
with each report. A raise to the full pace is always ordered."""


@dataclass(slots=True)
class RunPace:
    """Pace of a run: what is wanted, and what its target has confirmed.

    Orders for a run are answered before the next one is sent, as the target could
    carry them out in another order. A decrease does not wait for that; the pace is then
    ordered once more when all have been answered.

    Parameters
    ----------
    wanted : int
        Pace in percent.
    confirmed : int or None
        Pace that the target has confirmed last, None if it may have another one.
    in_flight : list of int
        Paces of the orders without an answer.
    ordered : int
        Pace of the last order.
    next_ms : int
        Before this time no order is repeated.
    confirm_ms : int or None
        When the pace is to be ordered once more, None if it is certain.
    failures : int
        Orders without an answer since the last one that was carried out.
    has_overlapped : bool
        Whether an order was sent while another one had no answer, so that the pace is
        ordered once more when all have been answered.
    """

    wanted: int = FULL_PACE
    confirmed: int | None = FULL_PACE
    in_flight: list[int] = field(default_factory=list)
    ordered: int = FULL_PACE
    next_ms: int = 0
    confirm_ms: int | None = None
    failures: int = 0
    has_overlapped: bool = False

    def next_order(self, now_ms: int) -> int | None:
        """Return the pace to order now, None if no order is due."""
        if self.in_flight:
            if self.wanted >= self.ordered:
                return None
            self.has_overlapped = True
        else:
            if not self.is_order_due(now_ms):
                return None
            if self._is_confirmation_due(now_ms):
                self.confirm_ms = self.confirmed = None
        self.ordered = self.wanted
        self.in_flight.append(self.wanted)
        return self.wanted

    def is_order_due(self, now_ms: int) -> bool:
        """Return whether an order is due although the paces have not changed."""
        if self.in_flight or now_ms < self.next_ms:
            return False
        return self._is_change_due() or self._is_confirmation_due(now_ms)

    def settle(self, percent: int, result: OrderResult, now_ms: int) -> None:
        """Take up the outcome of an order."""
        if percent in self.in_flight:
            self.in_flight.remove(percent)
        match result:
            case Executed():
                self.confirmed, self.failures, self.next_ms = percent, 0, 0
            case Unanswered(was_sent=was_sent):
                self._note_failure(now_ms + RETRY_MS)
                if was_sent:
                    self.confirm_ms = now_ms + CONFIRM_MS
            case _:
                self._note_failure(now_ms + DECLINED_RETRY_MS)
        if self.has_overlapped:
            self.confirmed = None
            self.has_overlapped = bool(self.in_flight)

    def doubt(self) -> None:
        """Record that the target may not have the confirmed pace."""
        self.confirmed = None

    def lowest(self) -> int:
        """Return the lowest pace that the run may have."""
        known = 0 if self.confirmed is None or self.confirm_ms else self.confirmed
        return min([known, *self.in_flight])

    def is_at_rest(self) -> bool:
        """Return whether the run certainly has its full pace."""
        is_certain = not self.in_flight and self.confirm_ms is None
        return is_certain and self.wanted == self.confirmed == FULL_PACE

    def _note_failure(self, next_ms: int) -> None:
        self.confirmed, self.next_ms = None, next_ms
        self.failures += 1

    def _is_confirmation_due(self, now_ms: int) -> bool:
        return self.confirm_ms is not None and now_ms >= self.confirm_ms

    def _is_change_due(self) -> bool:
        if self.confirmed is None or self.wanted < self.confirmed:
            return True
        if self.wanted in (self.confirmed, FULL_PACE):
            return self.wanted != self.confirmed
        return self.wanted - self.confirmed >= MIN_RAISE
