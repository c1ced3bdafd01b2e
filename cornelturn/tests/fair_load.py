"""Simulation of a pool that several organisations load, and what each of them gets."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field, replace

from cornelturn.jobs.model import JobSpec
from cornelturn.jobs.progress import Progress
from cornelturn.jobs.rows import JobRow, job_key
from cornelturn.model.organisations import Organisation
from cornelturn.model.routes import RoutingTable
from cornelturn.tests.overload import QUEUE, ROUND_MS, Caller, Overload


@dataclass
class OrganisationLoad(Overload):
    """An overload with the jobs of several organisations.

    Each organisation has its own random numbers, so that its jobs do not depend on
    what the others submit.

    Parameters
    ----------
    rates : dict
        Jobs per second of each organisation.
    weights : dict
        Weights of the configured organisations, empty to have none.
    run_factors : dict
        Run times of the organisations whose tasks are not of the usual length,
        relative to that.
    """

    rates: dict[str, float] = field(default_factory=dict)
    weights: dict[str, float] = field(default_factory=dict)
    run_factors: dict[str, float] = field(default_factory=dict)
    organisations: dict[str, str] = field(default_factory=dict)

    def __post_init__(self) -> None:
        super().__post_init__()
        configured = tuple(Organisation(*item) for item in self.weights.items())
        table = RoutingTable(1, (QUEUE,), organisations=configured)
        self.scheduler.update_routing(table, 0)
        self.generators = {
            name: random.Random(f"{self.seed} {name}") for name in self.rates
        }

    def simulate(self) -> None:
        """Submit the load for its duration, then stop; what still waits is lost."""
        due_ms = {name: self.next_gap_ms(name) for name in self.rates}
        while self.now_ms < self.load.duration_ms:
            self.now_ms += ROUND_MS
            for name in self.rates:
                while due_ms[name] < self.now_ms:
                    self.submit_for(name)
                    due_ms[name] += self.next_gap_ms(name)
            self.end_runs()
            self.start_runs()
            self.confirm_writes()

    def next_gap_ms(self, organisation: str) -> float:
        rate = self.rates[organisation]
        return self.generators[organisation].expovariate(rate / 1_000)

    def submit_for(self, organisation: str) -> None:
        """Submit a job of an organisation."""
        self.rng = self.generators[organisation]
        usual = self.load
        run_ms_mean = usual.run_ms * self.run_factors.get(organisation, 1.0)
        self.load = replace(usual, run_ms=run_ms_mean)
        steps, run_ms = self.make_steps()
        self.load = usual
        job = f"{self.rng.getrandbits(64):016x}"
        spec = JobSpec(
            job, QUEUE.name, "pool", "text", steps, organisation=organisation
        )
        caller = self.callers[spec.id] = Caller(spec, self.now_ms, run_ms)
        self.organisations[spec.id] = organisation
        self.store_job(caller)

    def store_job(self, caller: Caller, waited_ms: int = 0) -> None:
        """Store a submitted job, which its owner learns at once."""
        self.version += 1
        spec = caller.spec
        key = job_key(QUEUE.name, spec.id)
        row = JobRow(spec, Progress())
        self.scheduler.add_job(
            key, row, self.version, QUEUE, self.now_ms, waited_ms=waited_ms
        )

    def on_time_by_organisation(self) -> Counter[str]:
        """Return how many jobs of each organisation were on time."""
        counts = Counter(dict.fromkeys(self.rates, 0))
        for job, caller in self.callers.items():
            counts[self.organisations[job]] += caller.is_on_time()
        return counts
