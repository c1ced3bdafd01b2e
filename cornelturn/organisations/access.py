"""Authenticates callers by the keys of their organisations, without any transport.

Keys come and go with versions of the configuration. An entry decides by the version in
force there, and refuses an unknown key for good only while it is up to date.
"""

from __future__ import annotations

from dataclasses import dataclass

from cornelturn.model.organisations import NO_ORGANISATION, key_digest
from cornelturn.model.routes import JobQueue, RoutingState

MAX_CONFIRMED_AGE_MS = 3_000
"""Age of the store's last confirmation beyond which the configuration may be outdated.
The store confirms it at least every two seconds, when a read for changes ends."""


@dataclass(frozen=True, slots=True)
class Caller:
    """A caller of a queue.

    Parameters
    ----------
    organisation : str
        Organisation of the caller, `NO_ORGANISATION` if the queue asks for no key.
    sees_all : bool
        Whether the jobs of all organisations are visible to the caller.
    """

    organisation: str = NO_ORGANISATION
    sees_all: bool = True

    def sees(self, organisation: str) -> bool:
        """Return whether the jobs of an organisation are visible to the caller."""
        return self.sees_all or not is_other(self.organisation, organisation)


ANY_CALLER = Caller()
"""Caller of a queue that asks for no key."""


@dataclass(frozen=True, slots=True)
class KeyMissing:
    """The call carries no key, and the queue asks for one."""


@dataclass(frozen=True, slots=True)
class KeyUnknown:
    """The configuration in force does not have the key."""


@dataclass(frozen=True, slots=True)
class KeyUndecided:
    """The configuration in force does not have the key, but it may be outdated."""


Refusal = KeyMissing | KeyUnknown | KeyUndecided
Authentication = Caller | Refusal


def is_other(organisation: str, owner: str) -> bool:
    """Return whether a job belongs to another organisation.

    A job without an organisation was submitted while its queue was public.
    """
    return NO_ORGANISATION not in (organisation, owner) and organisation != owner


def authenticate(routing: RoutingState, queue: JobQueue, key: str) -> Authentication:
    """Return the caller with a key, or why it is refused.

    Parameters
    ----------
    routing : RoutingState
        Its table must not be None.
    key : str
        Key of the call, empty if it carries none.
    """
    table = routing.table
    if queue.is_public or not table.requires_keys:
        return ANY_CALLER
    if not key:
        return KeyMissing()
    organisation = table.organisations_by_key.get(key_digest(key))
    if organisation is not None:
        return Caller(organisation.name, sees_all=False)
    if routing.is_outdated() or routing.confirmed_age_ms > MAX_CONFIRMED_AGE_MS:
        return KeyUndecided()
    return KeyUnknown()
