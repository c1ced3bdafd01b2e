"""When a cap is in force at the owners of all pools; pure, and no decision uses it."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from cornelturn.peering.quota_messages import QuotaReport
from cornelturn.quota.amounts import Amount
from cornelturn.quota.ledger import FORGET_POOL_MS


@dataclass(frozen=True, slots=True)
class OwnerVersion:
    """Version of the configuration that a pool's owner has.

    Parameters
    ----------
    since_ms : int
        When its report of the version arrived.
    """

    generation: int
    version: int
    since_ms: int


@dataclass(slots=True)
class PendingCap:
    """A cap that some owner may not know yet.

    Parameters
    ----------
    version : int
        Version of the configuration that set it, or in which the broker found it.
    first_ms : int or None
        When the first owner had the version, None while none is known to.
    """

    cap: Amount
    version: int
    first_ms: int | None


@dataclass(frozen=True, slots=True)
class Confirmation:
    """A cap that the owners of all pools have had.

    Parameters
    ----------
    confirmed_ms : int
        When the last owner had it.
    spread_ms : int
        Time from the first owner that had it to the last.
    """

    organisation: str
    cap: Amount
    version: int
    confirmed_ms: int
    spread_ms: int


@dataclass(slots=True)
class CapConfirmations:
    """Follows the versions at the owners, and confirms each changed cap once.

    A new broker confirms all caps anew: its predecessor may have been lost before it
    could.

    Parameters
    ----------
    caps : dict
        Caps by the configuration in force at the broker.
    owners : dict
        Version at the owner of each pool that has reported.
    pools : set of str
        Pools of the configuration when caps were last confirmed.
    """

    caps: dict[str, Amount] = field(default_factory=dict)
    owners: dict[str, OwnerVersion] = field(default_factory=dict)
    pools: set[str] = field(default_factory=set)
    pending: dict[str, PendingCap] = field(default_factory=dict)
    confirmed: dict[str, Confirmation] = field(default_factory=dict)

    def set_caps(self, version: int, caps: Mapping[str, Amount]) -> None:
        """Take up the caps of a configuration."""
        first_ms = min(
            (
                owner.since_ms
                for owner in self.owners.values()
                if owner.version >= version
            ),
            default=None,
        )
        for name in self.caps.keys() - caps.keys():
            self.pending.pop(name, None)
            self.confirmed.pop(name, None)
        for name, cap in caps.items():
            if self.caps.get(name) != cap:
                self.pending[name] = PendingCap(cap, version, first_ms)
                self.confirmed.pop(name, None)
        self.caps = dict(caps)

    def note_report(self, report: QuotaReport, now_ms: int) -> bool:
        """Note the version of an accepted report; return whether it is a new one."""
        known = self.owners.get(report.pool)
        place = (report.generation, report.version)
        if known is not None and (known.generation, known.version) == place:
            return False
        self.owners[report.pool] = OwnerVersion(*place, now_ms)
        for item in self.pending.values():
            if item.first_ms is None and report.version >= item.version:
                item.first_ms = now_ms
        return True

    def confirm(
        self, generations: Mapping[str, int], now_ms: int
    ) -> list[Confirmation]:
        """Return the pending caps that the owners of all pools have by now.

        Parameters
        ----------
        generations : mapping
            Generation of the owner of each pool of the configuration, as last read.
            While the owner of a pool has not reported, nothing is confirmed.
        """
        self._forget_removed(generations, now_ms)
        if not self.pending or not generations:
            return []
        version = min(
            self._version(pool, generation) for pool, generation in generations.items()
        )
        found = [
            Confirmation(
                name,
                item.cap,
                item.version,
                now_ms,
                0 if item.first_ms is None else now_ms - item.first_ms,
            )
            for name, item in self.pending.items()
            if item.version <= version
        ]
        for confirmation in found:
            del self.pending[confirmation.organisation]
            self.confirmed[confirmation.organisation] = confirmation
        return found

    def _forget_removed(self, generations: Mapping[str, int], now_ms: int) -> None:
        """Remove versions of removed pools, which may be added again later.

        The version of a pool that was never in the configuration is kept for a while:
        this entry may not have the configuration with the pool yet.
        """
        for pool in self.owners.keys() - generations.keys():
            is_old = now_ms - self.owners[pool].since_ms >= FORGET_POOL_MS
            if is_old or pool in self.pools:
                del self.owners[pool]
        self.pools = set(generations)

    def _version(self, pool: str, generation: int) -> int:
        """Return the version at the owner of a pool, -1 if that has not reported.

        A pool with generation 0 has no owner yet, whatever a former one has reported.
        """
        owner = self.owners.get(pool)
        if owner is None or not 0 < generation <= owner.generation:
            return -1
        return owner.version
