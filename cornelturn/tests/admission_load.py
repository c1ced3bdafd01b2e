"""Simulation of a pool behind entries that refuse jobs, with callers that return."""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush

from cornelturn.admission.controller import Admission, Admitted, Decision
from cornelturn.model.organisations import Organisation
from cornelturn.peering.messages import PoolCounts
from cornelturn.scheduling.backlog_reporting import BacklogReporter
from cornelturn.scheduling.reporting import COUNTS_INTERVAL_MS
from cornelturn.tests.fair_load import OrganisationLoad
from cornelturn.tests.overload import QUEUE, Caller, Load

ORGANISATIONS = 12
MAX_TRIES = 4
MAX_RETURN_FACTOR = 3.2
"""Multiple of its objective after which a caller no longer returns, slightly above
`LATE_FACTOR`, from which on a job counts as not served."""

LATE_UTILITY = 0.08
"""Utility of a late job for its caller, relative to one on time."""

ENTRIES = 2

TYPICAL = Load(
    jobs_per_s=1.0,
    duration_ms=40_000,
    targets=36,
    run_ms=1_000.0,
    estimate_spread=0.5,
    max_cpu=13_000,
    cores=(16, 32, 48, 64),
)
JOBS_PER_S_AT_CAPACITY = 17.0
"""Rate at which the work of `TYPICAL` jobs takes 94% of its processors."""

Decide = Callable[[Admission, Caller, int], Decision]


def by_admission(admission: Admission, caller: Caller, now_ms: int) -> Decision:
    """Decide as entries do."""
    return admission.decide(caller.spec, QUEUE, now_ms)


def accept_all(admission: Admission, caller: Caller, now_ms: int) -> Decision:
    """Decide as the code without admission."""
    return Admitted()


@dataclass
class Tries:
    """What a caller has been told so far."""

    count: int = 0
    delays_ms: list[int] = field(default_factory=list)
    accepted_ms: int | None = None


@dataclass
class AdmissionLoad(OrganisationLoad):
    """A load on a pool whose entries decide about each job.

    Parameters
    ----------
    decide : callable
        The decision of an entry.
    burst : tuple of float
        Start and end of a burst in milliseconds, and the factor of the rates in it.
    report_delay_ms : int
        Time that a report takes to the entries.
    """

    decide: Decide = by_admission
    burst: tuple[float, float, float] = (0.0, 0.0, 1.0)
    report_delay_ms: int = 20
    tries: dict[str, Tries] = field(default_factory=dict)
    returning: list[tuple[int, str]] = field(default_factory=list)
    reports: list[tuple[int, PoolCounts]] = field(default_factory=list)

    def __post_init__(self) -> None:
        super().__post_init__()
        self.reporter = BacklogReporter(self.scheduler)
        self.entries = [Admission() for _ in range(ENTRIES)]
        self.balancer = random.Random(self.seed)
        configured = tuple(Organisation(*item) for item in self.weights.items())
        for entry in self.entries:
            entry.update_organisations(configured)

    def next_gap_ms(self, organisation: str) -> float:
        start_ms, end_ms, factor = self.burst
        gap_ms = super().next_gap_ms(organisation)
        return gap_ms / factor if start_ms <= self.now_ms < end_ms else gap_ms

    def store_job(self, caller: Caller, waited_ms: int = 0) -> None:
        """Let a caller submit its job for the first time."""
        self.try_job(caller)

    def try_job(self, caller: Caller) -> None:
        """Let a caller submit its job to an entry."""
        spec = caller.spec
        entry = self.balancer.choice(self.entries)
        tries = self.tries.setdefault(spec.id, Tries())
        tries.count += 1
        decision = self.decide(entry, caller, self.now_ms)
        if isinstance(decision, Admitted):
            tries.accepted_ms = self.now_ms
            entry.note_sent(spec, QUEUE, self.now_ms)
            super().store_job(caller, decision.waited_ms)
            return
        entry.note_refused(spec, self.now_ms)
        retry_after_ms = entry.schedule_return_ms(spec, decision, self.now_ms)
        delay_ms = math.ceil(retry_after_ms / 1_000) * 1_000
        tries.delays_ms.append(delay_ms)
        return_ms = self.now_ms + delay_ms
        limit_ms = caller.sent_ms + MAX_RETURN_FACTOR * caller.objective_ms()
        if tries.count < MAX_TRIES and return_ms <= limit_ms:
            heappush(self.returning, (return_ms, spec.id))

    def end_runs(self) -> None:
        """Report ended runs; then deliver reports, and let callers return."""
        super().end_runs()
        if self.now_ms % COUNTS_INTERVAL_MS == 0:
            backlog = self.reporter.report(self.now_ms)
            self.reports.append((self.now_ms, PoolCounts("pool", 1, (), backlog)))
        while self.reports and self.reports[0][0] + self.report_delay_ms <= self.now_ms:
            _, counts = self.reports.pop(0)
            for entry in self.entries:
                entry.update(counts, self.now_ms)
        while self.returning and self.returning[0][0] <= self.now_ms:
            _, job = heappop(self.returning)
            self.try_job(self.callers[job])

    def refused(self) -> set[str]:
        """Return the jobs that were refused at least once."""
        return {job for job, tries in self.tries.items() if tries.delays_ms}

    def on_time_jobs(self) -> set[str]:
        """Return the jobs that were on time, counted from their first try."""
        return {job for job, caller in self.callers.items() if caller.is_on_time()}

    def results(self) -> Counter[str]:
        """Return how many callers got what, and how many refusals there were."""
        on_time = len(self.on_time_jobs())
        served = sum(caller.is_served() for caller in self.callers.values())
        return Counter(
            jobs=len(self.callers),
            on_time=on_time,
            late=served - on_time,
            refusals=sum(len(tries.delays_ms) for tries in self.tries.values()),
            refused_jobs=len(self.refused()),
            stored=sum(t.accepted_ms is not None for t in self.tries.values()),
        )

    def mean_utility(self) -> float:
        """Return the mean utility of all jobs: 1 on time, 0 if not served."""
        results = self.results()
        total = results["on_time"] + LATE_UTILITY * results["late"]
        return total / results["jobs"]


def typical_load(
    utilisation: float,
    seed: int,
    decide: Decide,
    burst: tuple[float, float, float] = (0.0, 0.0, 1.0),
    load: Load = TYPICAL,
) -> AdmissionLoad:
    """Return a typical load at a utilisation; the weights add up to the capacity."""
    names = [f"o{number:02}" for number in range(ORGANISATIONS)]
    weight = JOBS_PER_S_AT_CAPACITY / ORGANISATIONS
    played = AdmissionLoad(
        load,
        seed,
        rates=dict.fromkeys(names, utilisation * weight),
        weights=dict.fromkeys(names, weight),
        decide=decide,
        burst=burst,
    )
    played.simulate()
    return played
