"""Pools, brokers and a lossy network for tests of the quota, without tasks."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from cornelturn.jobs.model import Resources
from cornelturn.model.organisations import Organisation
from cornelturn.peering.quota_messages import QuotaGrant, QuotaReport
from cornelturn.quota.allotment import QuotaGate
from cornelturn.quota.amounts import NOTHING, UNBOUNDED, Amount, amount_of
from cornelturn.quota.ledger import ORGANISATION_PLAN_INTERVAL_MS, QuotaLedger

ORGANISATION = "org"
CAPACITY = Resources(200, 200)
"""Capacity of the targets of each pool."""


@dataclass
class ModelRun:
    """A run, or an order to start one that may be carried out late."""

    need: Resources
    is_ordered: bool = False


@dataclass
class ModelPool:
    """The targets of a pool and its owner.

    Parameters
    ----------
    runs : list
        What runs on the targets, and the orders that are on the way to them.
    hidden : list
        Those of them of which the owner does not know yet.
    """

    name: str
    need: Resources
    generation: int = 0
    version: int = 0
    waiting: int = 0
    report_number: int = 0
    runs: list[ModelRun] = field(default_factory=list)
    hidden: list[ModelRun] = field(default_factory=list)
    gate: QuotaGate = field(default_factory=QuotaGate)
    seen_broker: int = 0
    is_complete: bool = True

    def start(self) -> bool:
        """Start a waiting task if the gate lets it."""
        if not self.waiting or not self.gate.request_start(ORGANISATION, self.need):
            return False
        self.waiting -= 1
        self.runs.append(ModelRun(self.need))
        self.gate.usage.add(ORGANISATION, self.need)
        return True

    def end(self, rng: random.Random) -> None:
        """End a run that the owner knows."""
        known = [run for run in self.runs if run not in self.hidden]
        if known:
            run = rng.choice(known)
            self.runs.remove(run)
            self.gate.usage.remove(ORGANISATION, run.need)

    def replace_owner(self, broker: int, cap: Resources, version: int) -> None:
        """Give the pool to another owner, which knows no run."""
        self.generation += 1
        self.report_number = 0
        self.hidden = list(self.runs)
        self.gate = QuotaGate(self.generation)
        self.gate.set_unknown(amount_of(CAPACITY))
        self.is_complete = False
        self.seen_broker = broker
        self.configure(cap, version)

    def find_runs(self) -> None:
        """Let the owner know the runs of its predecessors."""
        for run in self.hidden:
            self.gate.usage.add(ORGANISATION, run.need)
        self.hidden = []
        self.gate.set_unknown(NOTHING)
        self.is_complete = True

    def configure(self, cap: Resources, version: int) -> None:
        """Take up a configuration."""
        self.version = version
        self.gate.set_organisations(
            version, (Organisation(ORGANISATION, cap=cap),) if version else ()
        )

    def report(self) -> QuotaReport:
        """Return the report to the newest broker that the owner knows."""
        self.gate.set_broker(self.seen_broker)
        self.report_number += 1
        waiting = amount_of(self.need).times(self.waiting)
        unit = amount_of(self.need) if self.waiting else NOTHING
        use = self.gate.use(ORGANISATION, waiting, unit)
        return QuotaReport(
            self.name,
            self.generation,
            self.gate.broker_generation,
            self.report_number,
            self.gate.grant_number,
            self.version,
            self.is_complete,
            self.gate.unknown,
            (use,) if use is not None else (),
        )


@dataclass
class QuotaModel:
    """Pools and brokers of which the messages are lost, repeated and reordered.

    Parameters
    ----------
    ledgers : list
        All brokers so far; the last one holds the duty, the others may be resumed.
    caps : list
        Cap of each version of the configuration; versions start at 1.
    """

    rng: random.Random
    caps: list[Resources]
    pools: list[ModelPool]
    ledgers: list[QuotaLedger] = field(default_factory=list)
    network: list[QuotaReport | QuotaGrant] = field(default_factory=list)
    now_ms: int = 0

    def __post_init__(self) -> None:
        for pool in self.pools:
            pool.replace_owner(0, self.caps[0], 1)
            pool.find_runs()
        self.add_broker()

    @property
    def version(self) -> int:
        """Return the newest version of the configuration."""
        return len(self.caps)

    @property
    def ledger(self) -> QuotaLedger:
        """Return the ledger of the holder of the duty."""
        return self.ledgers[-1]

    def add_broker(self) -> None:
        """Give the duty to another broker."""
        self.ledgers.append(QuotaLedger(len(self.ledgers) + 1))
        self.configure(self.ledger, self.version)
        self.see_pools(self.ledger)

    def configure(self, ledger: QuotaLedger, version: int) -> None:
        """Let a broker take up a configuration."""
        organisation = Organisation(ORGANISATION, cap=self.caps[version - 1])
        ledger.set_organisations(version, (organisation,))

    def see_pools(self, ledger: QuotaLedger) -> None:
        """Let a broker read the rows of the duties."""
        ledger.set_pools({pool.name: pool.generation for pool in self.pools}, 0)

    def change_cap(self, cap: Resources) -> None:
        """Publish a configuration, which nobody has read yet."""
        self.caps.append(cap)

    def pool(self, name: str) -> ModelPool:
        """Return a pool by its name."""
        return next(pool for pool in self.pools if pool.name == name)

    def running(self) -> Amount:
        """Return what runs in all pools, late orders included."""
        total = NOTHING
        for pool in self.pools:
            for run in pool.runs:
                total = total.plus(amount_of(run.need))
        return total

    def cap_in_force(self) -> Amount:
        """Return the highest cap of the versions that may be in force.

        These are all from the oldest that an owner or a broker has.
        """
        versions = {pool.version for pool in self.pools}
        versions |= {ledger.version for ledger in self.ledgers}
        highest = NOTHING
        for version in range(min(versions), self.version + 1):
            cap = amount_of(self.caps[version - 1])
            highest = highest.highest(Amount(*(size or UNBOUNDED.cpu for size in cap)))
        return highest

    def start(self, pool: ModelPool) -> None:
        """Start what the owner may start, and check the rule at each start."""
        while pool.start():
            limit = self.cap_in_force().plus(amount_of(pool.need))
            assert self.running().fits_in(limit), (self.running(), limit)

    def deliver(self, message: QuotaReport | QuotaGrant) -> None:
        """Deliver a message, and what the receiver sends at once."""
        match message:
            case QuotaReport():
                for ledger in self.ledgers:
                    ledger.add_report(message, self.now_ms)
                    self.see_pools(ledger)
                    self.network += ledger.plan(self.now_ms)
            case QuotaGrant(pool=pool):
                self.pool(pool).gate.accept(message)

    def exchange(self, rounds: int = 4) -> None:
        """Let all owners report and start work, without any fault."""
        for _ in range(rounds):
            self.now_ms += 200
            for pool in self.pools:
                self.network.append(pool.report())
            self._deliver_all()
            self.now_ms += ORGANISATION_PLAN_INTERVAL_MS
            self.network += self.ledger.plan(self.now_ms)
            self._deliver_all()
            for pool in self.pools:
                self.start(pool)

    def _deliver_all(self) -> None:
        while self.network:
            self.deliver(self.network.pop(0))
