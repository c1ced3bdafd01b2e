"""Resources that the runs of each organisation hold in one pool."""

from __future__ import annotations

from dataclasses import dataclass, field

from cornelturn.jobs.model import Resources


@dataclass(slots=True)
class OrganisationUsage:
    """Counts what is starting, running or being stopped, by organisation.

    Parameters
    ----------
    held : dict
        Resources of each organisation that has runs.
    runs : dict
        Number of its runs.
    changed : set of str
        Organisations whose resources have changed since their shares were updated.
    released : set of str
        Organisations of which a run has ended since this set was last cleared.
    """

    held: dict[str, Resources] = field(default_factory=dict)
    runs: dict[str, int] = field(default_factory=dict)
    changed: set[str] = field(default_factory=set)
    released: set[str] = field(default_factory=set)

    def of(self, organisation: str) -> Resources:
        """Return the resources that an organisation holds."""
        return self.held.get(organisation, Resources())

    def add(self, organisation: str, need: Resources) -> None:
        """Count a run."""
        self.changed.add(organisation)
        self.held[organisation] = self.of(organisation).plus(need)
        self.runs[organisation] = self.runs.get(organisation, 0) + 1

    def remove(self, organisation: str, need: Resources) -> None:
        """Stop counting a run."""
        self.changed.add(organisation)
        self.released.add(organisation)
        self.runs[organisation] -= 1
        if not self.runs[organisation]:
            del self.runs[organisation], self.held[organisation]
            return
        self.held[organisation] = self.held[organisation].minus(need)
