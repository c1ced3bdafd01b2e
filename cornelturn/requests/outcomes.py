"""Records the outcomes of requests in rows, metrics and usage."""

from __future__ import annotations

from dataclasses import dataclass

from cornelturn.clock import Clock
from cornelturn.events.metrics import Metrics
from cornelturn.model.outcome import Completed, Outcome, outcome_name
from cornelturn.requests.claims import Claimed, Claims
from cornelturn.requests.usage import RequestCompleted, UsageCounter, UsageKey
from cornelturn.requests.work import Work


@dataclass(frozen=True, slots=True)
class OutcomeRecorder:
    """Records outcomes, whichever task has got them."""

    clock: Clock
    claims: Claims
    usage: UsageCounter
    metrics: Metrics

    def record(self, work: Work, claimed: Claimed, outcome: Outcome) -> None:
        """Write the outcome to the row of a request, and count a completion."""
        is_on_time = self.clock.now_ms() <= work.deadline_ms
        self.claims.record_outcome(claimed, outcome, is_on_time)
        self.count_completion(work, outcome, is_on_time)

    def count(self, queue: str, outcome: Outcome) -> None:
        """Count an outcome of a queue."""
        self.metrics.outcomes.labels(queue, outcome_name(outcome)).inc()

    def count_completion(self, work: Work, outcome: Outcome, is_on_time: bool) -> None:
        """Count a completion as usage of the member."""
        if isinstance(outcome, Completed):
            key = UsageKey(work.member, work.queue.name)
            self.usage.mailbox.post(RequestCompleted(key, is_on_time))
