"""Targets of a pool and the runs on them, as its owner sees them."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum

from cornelturn.jobs.model import Resources, Run, StepId
from cornelturn.scheduling.run_progress import RunProgress
from cornelturn.targets.model import FULL_PACE, ListedTarget, TargetLife


class RunState(StrEnum):
    """State of a run; a run takes capacity in each state."""

    STARTING = "starting"
    ACTIVE = "active"
    STOPPING = "stopping"


@dataclass(slots=True)
class RunView:
    """A run that a target has or may have.

    Parameters
    ----------
    answered_ms : int or None
        When the last order for it was answered, None while an answer is due.
    tries : int
        Orders that failed or got no answer since the last one was carried out.
    is_in_doubt : bool
        Whether the target may still carry out a start that it has not answered.
    percent : int
        Progress in its last report.
    started_ms : int
        When its start was ordered or, for an adopted run, when it was first listed.
    progress : RunProgress
        Its progress as its target has reported it.
    load : int
        Tail latency or processor use in its last report, as in `ActiveRun`.
    pace : int
        Lowest pace in percent that it may have had since its last report.
    is_lasting : bool
        Whether it ends only when it is stopped; False while its job is not known.
    is_adopted : bool
        Whether an earlier owner started it, so that its start time is not known.
    is_reported : bool
        Whether this life of the target has listed it as active.
    organisation : str
        Organisation of its job; empty while the job is not known.
    declared_need : Resources
        Resources that it counts against the cap of its organisation, those of filling
        tasks included.
    checkpoint : str
        Last checkpoint that it reported, empty if none.
    resumed_from : str
        Checkpoint that its start order names; the same in each repetition.
    saved_ms : int or None
        When a new checkpoint was last reported, None if none of its own is known.
    """

    run: Run
    need: Resources
    state: RunState
    answered_ms: int | None = None
    tries: int = 0
    is_in_doubt: bool = False
    percent: int = 0
    load: int = 0
    checkpoint: str = ""
    resumed_from: str = ""
    started_ms: int = 0
    progress: RunProgress = field(default_factory=RunProgress)
    pace: int = FULL_PACE
    is_lasting: bool = False
    is_adopted: bool = False
    is_reported: bool = False
    organisation: str = ""
    declared_need: Resources = field(default_factory=Resources)
    saved_ms: int | None = None

    def rated_rest_ms(self) -> float | None:
        """Return the time until its end by its rate, None while that is not known."""
        rate_ms = self.progress.ms_per_percent()
        return (100 - self.percent) * rate_ms if rate_ms is not None else None

    def note_checkpoint(self, value: str, now_ms: int) -> None:
        """Record the checkpoint in a report.

        The first report of an adopted run does not show how old its checkpoint is.
        """
        is_new = value not in ("", self.checkpoint, self.resumed_from)
        if is_new and (self.is_reported or not self.is_adopted):
            self.saved_ms = now_ms
        self.checkpoint = value


class Contact(StrEnum):
    """Whether a target answers."""

    UNKNOWN = "unknown"
    REACHABLE = "reachable"
    SILENT = "silent"


@dataclass(frozen=True, slots=True)
class PendingEnd:
    """An end that is acknowledged once a change of its job is written.

    Parameters
    ----------
    change : int or None
        Number of the change; None while the row of the job has not been read.
    """

    sequence: int
    job: str
    change: int | None


@dataclass(slots=True)
class TargetView:
    """One life of a target as the owner sees it.

    Parameters
    ----------
    used, used_lasting : Resources
        Resources that all its runs take, and its lasting runs among them.
    reported_ms : int
        When its last report was requested.
    clock_ms : int
        Its own clock at that report.
    read_sequence : int
        Sequence number of the last end that was processed.
    acknowledged_sequence : int
        Sequence number of the last end that the target may forget.
    lapsed_ms : int or None
        When all leases that it may hold have lapsed for certain, on the owner's clock.
    is_partly_listed : bool
        Whether its last report left ends out, so that more runs may have ended.
    inherited_lease_ms : int
        When the leases have lapsed that orders for an earlier life may have given it,
        0 if there are none.
    is_cordoned : bool
        Whether planned work keeps new tasks away.
    is_listed : bool
        Whether the list of targets shows this life.
    is_recorded : bool
        Whether it is in the row of the pool, so that a later owner checks it for runs.
    failed_jobs : set of str
        Jobs with failed runs here since a run last succeeded.
    avoided_until_ms : int
        Until when other targets are preferred.
    declining_until_ms : int
        Until when it gets no start, because it declined one.
    """

    listed: ListedTarget
    contact: Contact = Contact.UNKNOWN
    runs: dict[Run, RunView] = field(default_factory=dict)
    used: Resources = field(default_factory=Resources)
    used_lasting: Resources = field(default_factory=Resources)
    reported_ms: int = 0
    clock_ms: int = 0
    read_sequence: int = 0
    acknowledged_sequence: int = 0
    pending_ends: deque[PendingEnd] = field(default_factory=deque)
    lapsed_ms: int | None = None
    is_partly_listed: bool = False
    inherited_lease_ms: int = 0
    is_cordoned: bool = False
    is_listed: bool = True
    is_recorded: bool = True
    failed_jobs: set[str] = field(default_factory=set)
    avoided_until_ms: int = 0
    declining_until_ms: int = 0

    @property
    def life(self) -> TargetLife:
        """Return the life of the target."""
        return self.listed.life

    def free(self) -> Resources:
        """Return the capacity that no run takes."""
        return self.listed.capacity.minus(self.used)

    def free_after_batch(self) -> Resources:
        """Return the capacity that will be free once its batch runs have ended."""
        return self.listed.capacity.minus(self.used_lasting)

    def add_run(self, run_view: RunView) -> None:
        """Add a run and reserve its capacity."""
        self.runs[run_view.run] = run_view
        self.used = self.used.plus(run_view.need)
        if run_view.is_lasting:
            self.used_lasting = self.used_lasting.plus(run_view.need)

    def remove_run(self, run: Run) -> RunView | None:
        """Remove a run and release its capacity."""
        run_view = self.runs.pop(run, None)
        if run_view is not None:
            self.used = self.used.minus(run_view.need)
            if run_view.is_lasting:
                self.used_lasting = self.used_lasting.minus(run_view.need)
        return run_view

    def count_step_tasks(self, step: StepId) -> int:
        """Return how many tasks of a step run on the target."""
        return sum(
            1
            for run in self.runs
            if run.task.job == step.job and run.task.step_id() == step
        )

    def has_lapsed(self, now_ms: int) -> bool:
        """Return whether the target is silent and all its leases have lapsed."""
        is_silent = self.contact is Contact.SILENT
        return is_silent and self.lapsed_ms is not None and now_ms >= self.lapsed_ms

    def is_schedulable(self) -> bool:
        """Return whether the target may get new tasks."""
        return (
            self.contact is Contact.REACHABLE
            and self.is_listed
            and self.is_recorded
            and not self.is_cordoned
            and not self.listed.is_draining
        )
