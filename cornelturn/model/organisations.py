"""Organisations that submit jobs, and the keys by which they are recognised."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from enum import Enum

from cornelturn.jobs.model import Resources

NO_ORGANISATION = ""
"""Organisation of a job that was submitted to a public queue."""

DEFAULT_WEIGHT = 1.0
"""Weight of an organisation for which the configuration states none."""


class RefusalReason(Enum):
    """Why work of an organisation was refused: a job, or by the quota a start."""

    OVERLOAD = "overload"
    OVER_RATE = "over_rate"
    QUOTA = "quota"


@dataclass(frozen=True, slots=True)
class Organisation:
    """An organisation as one version of the configuration defines it.

    Parameters
    ----------
    weight : float
        Share of the organisation when resources are scarce, relative to others; also
        the number of jobs a second that are within its share.
    cap : Resources
        Limit of what it has running in all pools together; 0 of a resource is no limit.
    key_digests : frozenset of str
        Digests of its keys; the keys themselves are not kept.
    """

    name: str
    weight: float = DEFAULT_WEIGHT
    cap: Resources = field(default_factory=Resources)
    key_digests: frozenset[str] = frozenset()

    def has_cap(self) -> bool:
        """Return whether any resource of the organisation is limited."""
        return self.cap != Resources()


def key_digest(key: str) -> str:
    """Return the digest that stands for a key."""
    return hashlib.sha256(key.encode()).hexdigest()
