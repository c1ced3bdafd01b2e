"""Messages between the owners of pools and the broker of the quota."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from cornelturn.quota.amounts import NOTHING, Amount


class OrganisationUse(NamedTuple):
    """What an organisation with a cap has running and waiting in one pool.

    Parameters
    ----------
    running : Amount
        What is starting, running or being stopped.
    waiting : Amount
        What the waiting tasks need that could start now but for the cap.
    unit : Amount
        Largest amount that must start at once: a task, or all tasks of a gang.
    allotment : Amount
        Allotment by which the owner may start work.
    is_outdated : bool
        Whether the allotment no longer holds, since the cap was lowered.
    """

    organisation: str
    running: Amount = NOTHING
    waiting: Amount = NOTHING
    unit: Amount = NOTHING
    allotment: Amount = NOTHING
    is_outdated: bool = False


@dataclass(frozen=True, slots=True)
class QuotaReport:
    """What organisations with a cap use in a pool, from its owner to the broker.

    Parameters
    ----------
    generation : int
        Generation of the ownership of the pool.
    broker_generation : int
        Generation of the broker to which the owner reports; it accepts no grant of an
        earlier one.
    number : int
        Number of the report in this ownership.
    grant_number : int
        Number of the last grant that the owner has accepted from this broker.
    version : int
        Version of the configuration by which the owner knows the caps.
    is_complete : bool
        Whether the owner knows all runs of its predecessors.
    unknown : Amount
        Upper bound of what each organisation has running besides its `running`.
    uses : tuple of OrganisationUse
        All organisations with a cap that run, wait for or may start something.
    """

    pool: str
    generation: int
    broker_generation: int
    number: int
    grant_number: int
    version: int
    is_complete: bool
    unknown: Amount
    uses: tuple[OrganisationUse, ...]


class AllottedAmount(NamedTuple):
    """Amount that an organisation may have running in a pool."""

    organisation: str
    amount: Amount


@dataclass(frozen=True, slots=True)
class QuotaGrant:
    """Changed allotments of a pool, from the broker to the owner of the pool.

    Parameters
    ----------
    generation : int
        Generation of the ownership of the pool for which they hold.
    number : int
        Number of the grant to this owner.
    version : int
        Version of the configuration that has the caps by which the amounts were set.
    """

    pool: str
    generation: int
    broker_generation: int
    number: int
    version: int
    allotments: tuple[AllottedAmount, ...]
