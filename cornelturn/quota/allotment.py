"""What a pool's owner may start for each organisation: its allotments, by the broker.

Allotments change by messages only, so a start costs neither a message nor a call of
the store.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from cornelturn.jobs.model import Resources
from cornelturn.model.organisations import Organisation
from cornelturn.peering.quota_messages import OrganisationUse, QuotaGrant
from cornelturn.quota.amounts import NOTHING, Amount, amount_of, caps_of
from cornelturn.scheduling.usage import OrganisationUsage


@dataclass(frozen=True, slots=True)
class Allotment:
    """Limit of what an organisation may have running in the pool.

    Parameters
    ----------
    version : int
        Version of the configuration by which the broker set it.
    """

    amount: Amount
    version: int


@dataclass(slots=True)
class TurnDemand:
    """Starts that only the quota keeps from their turn in a pool.

    Parameters
    ----------
    need : Resources
        What the start that was last refused needs.
    runs : int
        Runs of the organisation when the number of starts last changed, or fewer.
    starts : int
        Number of starts to ask for.
    """

    need: Resources
    runs: int
    starts: int = 1


@dataclass(slots=True)
class QuotaGate:
    """Decides whether a pool may start work of an organisation.

    Parameters
    ----------
    generation : int
        Generation of the ownership of the pool, for which grants must be.
    usage : OrganisationUsage
        What each organisation has starting, running or being stopped in the pool.
    caps : dict
        Organisations with a cap, by the configuration in force.
    lowered_in : dict
        Version of the configuration that last lowered the cap of each organisation.
        Allotments by earlier versions no longer hold: what other pools have running is
        known to the broker only.
    versions : set of int
        Versions of the configuration that were in force at the owner. It does not know
        the caps of those that it has skipped.
    version : int
        The one of these that is in force.
    allotments : dict
        Allotments of the pool; an organisation without one may start nothing.
    unknown : Amount
        Upper bound of what each organisation may have running besides `usage`.
    broker_generation : int
        Highest generation of the broker to which the pool has reported.
    grant_number : int
        Number of the last grant of that broker which was accepted.
    refused_since_report : set of str
        Organisations of which a start was refused after the last report; the next one
        is then urgent.
    retry_due : set of str
        Organisations whose refused work is to be tried again, as their allotment, their
        cap or the unknown runs have changed.
    turn_demands : dict
        Starts that the quota refused to each organisation although it had its turn,
        until work of the organisation finds no room.
    """

    generation: int = 0
    usage: OrganisationUsage = field(default_factory=OrganisationUsage)
    caps: dict[str, Amount] = field(default_factory=dict)
    lowered_in: dict[str, int] = field(default_factory=dict)
    versions: set[int] = field(default_factory=set)
    version: int = 0
    allotments: dict[str, Allotment] = field(default_factory=dict)
    unknown: Amount = NOTHING
    broker_generation: int = 0
    grant_number: int = 0
    refused_since_report: set[str] = field(default_factory=set)
    retry_due: set[str] = field(default_factory=set)
    turn_demands: dict[str, TurnDemand] = field(default_factory=dict)

    def request_start(self, organisation: str, need: Resources) -> bool:
        """Request a start; return whether it may proceed.

        A refusal makes the next report to the broker urgent. `admits` has no effect.
        """
        is_admitted = self.admits(organisation, need)
        if not is_admitted:
            self.refused_since_report.add(organisation)
        return is_admitted

    def admits(self, organisation: str, need: Resources) -> bool:
        """Return whether work of an organisation fits in its allotment.

        Work that needs more than the whole cap may start while the pool has all of the
        cap and runs nothing else of the organisation that counts against it.
        """
        cap = self.caps.get(organisation)
        if cap is None:
            return True
        used = self.usage.of(organisation)
        is_own_cap = not self._is_by_later_cap(organisation)
        # Amounts are compared one by one: this runs for each start, and sums of amounts
        # would create objects.
        for limit, needed, running, unknown, allotted in zip(
            cap,
            (need.cpu, need.mem_mb, need.gpu),
            (used.cpu, used.mem_mb, used.gpu),
            self.unknown,
            self.allotted(organisation),
            strict=True,
        ):
            counted = min(needed, limit) if is_own_cap else needed
            if limit and running + unknown + counted > allotted:
                return False
        return True

    def note_refused_turn(self, organisation: str, need: Resources) -> None:
        """Record that only the quota kept an organisation from a start.

        In a full pool others take what is free before the next report, so that free
        capacity alone would never show this demand.
        """
        demand = self.turn_demands.get(organisation)
        if demand is None:
            runs = self.usage.runs.get(organisation, 0)
            self.turn_demands[organisation] = TurnDemand(need, runs)
        else:
            demand.need = need

    def update_demand(self, organisation: str) -> TurnDemand | None:
        """Return the starts to ask for beyond what fits; due before each report.

        They double when all of them have started, since each exchange with the broker
        takes time. It is one start again when an allotment is idle.
        """
        demand = self.turn_demands.get(organisation)
        if demand is None:
            return None
        runs = self.usage.runs.get(organisation, 0)
        if runs >= demand.runs + demand.starts:
            demand.starts, demand.runs = 2 * demand.starts, runs
        elif self.admits(organisation, demand.need):
            demand.starts, demand.runs = 1, runs
        else:
            demand.runs = min(demand.runs, runs)
        return demand

    def note_no_room(self, organisation: str) -> None:
        """Record that the quota admits work for which there is no room."""
        self.turn_demands.pop(organisation, None)

    def _is_by_later_cap(self, organisation: str) -> bool:
        """Return whether the allotment may be a part of a cap that is not known yet."""
        allotment = self.allotments.get(organisation)
        return allotment is not None and allotment.version > self.version

    def held(self, organisation: str, cap: Amount) -> Amount:
        """Return what an organisation may have running of the capped resources."""
        running = amount_of(self.usage.of(organisation))
        return running.plus(self.unknown).limited_by(cap)

    def room(self, organisation: str) -> Amount | None:
        """Return what an organisation may start in addition, None without a cap."""
        cap = self.caps.get(organisation)
        if cap is None:
            return None
        return self.allotted(organisation).minus(self.held(organisation, cap))

    def allotted(self, organisation: str) -> Amount:
        """Return the allotment that holds for an organisation."""
        allotment = self.allotments.get(organisation)
        if allotment is None or self.is_outdated(organisation, allotment):
            return NOTHING
        return allotment.amount

    def is_outdated(self, organisation: str, allotment: Allotment) -> bool:
        """Return whether an allotment was set by a cap that may be lower by now."""
        if allotment.version >= self.version:
            return False
        is_known = allotment.version in self.versions
        return not is_known or allotment.version < self.lowered_in.get(organisation, 0)

    def use(
        self, organisation: str, waiting: Amount, unit: Amount
    ) -> OrganisationUse | None:
        """Return what is reported of an organisation, None if that is nothing."""
        running = amount_of(self.usage.of(organisation))
        allotment = self.allotments.get(organisation)
        amount = allotment.amount if allotment is not None else NOTHING
        if running == waiting == amount == NOTHING:
            return None
        is_outdated = allotment is not None and self.is_outdated(
            organisation, allotment
        )
        return OrganisationUse(
            organisation, running, waiting, unit, amount, is_outdated
        )

    def startable_fraction(self, organisation: str, waiting: Amount) -> float:
        """Return which fraction of its waiting work an organisation may start now."""
        room = self.room(organisation)
        if room is None:
            return 1.0
        cap = self.caps[organisation]
        shares = [
            max(0, left) / wanted
            for left, wanted, limit in zip(room, waiting, cap, strict=True)
            if limit and wanted
        ]
        return min([1.0, *shares])

    def set_organisations(
        self, version: int, organisations: Iterable[Organisation]
    ) -> bool:
        """Take up the caps of a configuration; return whether any has changed."""
        self.version = version
        self.versions.add(version)
        caps = caps_of(organisations)
        # Work larger than the cap may start once the version of its allotment is known.
        self.retry_due |= caps.keys() | self.caps.keys()
        if caps == self.caps:
            return False
        for name, cap in caps.items():
            if is_lower(cap, self.caps.get(name, NOTHING)):
                self.lowered_in[name] = version
        self.caps = caps
        self.allotments = {
            name: allotment
            for name, allotment in self.allotments.items()
            if name in caps
        }
        return True

    def set_unknown(self, unknown: Amount) -> None:
        """Set the upper bound of what runs besides what is known."""
        if unknown != self.unknown:
            self.retry_due |= set(self.caps)
            self.unknown = unknown

    def set_broker(self, generation: int) -> bool:
        """Report to a broker from now on; return whether it is another one."""
        if generation <= self.broker_generation:
            return False
        self.broker_generation, self.grant_number = generation, 0
        return True

    def accept(self, grant: QuotaGrant) -> bool:
        """Take up a grant; return whether it lowers an allotment.

        Grants of an earlier broker or for an earlier owner are refused, and repeated or
        reordered ones.
        """
        if grant.generation != self.generation:
            return False
        if grant.broker_generation != self.broker_generation:
            return False
        if grant.number <= self.grant_number:
            return False
        self.grant_number = grant.number
        is_lowered = False
        for organisation, amount in grant.allotments:
            before = self.allotments.get(organisation)
            self.allotments[organisation] = Allotment(amount, grant.version)
            is_lowered |= before is not None and not before.amount.fits_in(amount)
            self.retry_due.add(organisation)
        return is_lowered

    def take_retry_due(self) -> set[str]:
        """Return the organisations whose refused work is to be tried again.

        Those of which a run has ended since the last call are among them.
        """
        due = self.retry_due | self.usage.released
        self.retry_due = set()
        self.usage.released.clear()
        return due


def is_lower(cap: Amount, before: Amount) -> bool:
    """Return whether a cap is lower than an earlier one for any resource."""
    return any(
        new and (not old or new < old) for new, old in zip(cap, before, strict=True)
    )
