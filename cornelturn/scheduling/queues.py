"""Applies the definitions of queues to the jobs of a pool.

A job takes the newest definition of its queue that is known: from the configuration in
force at the owner, or from its row, which has that of the entry that accepted it. So a
job is never judged by default values: its owner may not have the configuration yet, or
the queue may have been removed from it.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from cornelturn.events.log import log_event
from cornelturn.jobs.model import StepId
from cornelturn.model.routes import JobQueue, RoutingTable, VersionedQueue
from cornelturn.scheduling.state import PoolState
from cornelturn.scheduling.views import JobView


@dataclass(slots=True)
class QueueUpdates:
    """Updates the queues of the jobs of a pool.

    Parameters
    ----------
    routing : RoutingTable
        Configuration that the jobs follow.
    """

    state: PoolState
    routing: RoutingTable = field(default_factory=lambda: RoutingTable(0))

    def find(
        self, stored: VersionedQueue | None, configured: JobQueue | None
    ) -> VersionedQueue | None:
        """Return the newer definition of a queue, None if neither is known.

        Parameters
        ----------
        stored : VersionedQueue or None
            From the row of a job.
        configured : JobQueue or None
            From the configuration; None if that lacks the queue.
        """
        version = self.routing.version
        if configured is None or (stored is not None and stored.version > version):
            return stored
        return VersionedQueue(configured, version)

    def log_unknown(self, job: JobView) -> None:
        """Log a job whose queue is not known; tasks that have failed wait for it."""
        log_event(
            "queue_unknown",
            job=job.spec.id,
            queue=job.spec.queue,
            pool=self.state.pool,
            version=self.routing.version,
        )

    def update_routing(self, routing: RoutingTable, now_ms: int) -> None:
        """Take up a new configuration; jobs of queues that it lacks keep theirs."""
        if routing is self.routing:
            return
        self.routing = routing
        for job in list(self.state.jobs.values()):
            self.update_job(
                job, routing.versioned_queue(job.spec.queue_reference()), now_ms
            )

    def update_job(
        self, job: JobView, versioned: VersionedQueue | None, now_ms: int
    ) -> None:
        """Take up a definition of a job's queue unless a newer one is known.

        A new limit of attempts is written to the row, as the state of the job follows
        from it.
        """
        before = job.queue
        if versioned is None:
            return
        if before is not None and versioned.version <= job.queue_version:
            return
        job.queue, job.queue_version = versioned.queue, versioned.version
        if before == job.queue:
            return
        self.state.mark_changed(job)
        if before is None:
            self._enqueue_waiting(job)
        if before is None or before.max_attempts != job.queue.max_attempts:
            job.changes += 1
            self.state.mark_unwritten(job)
            if self.fail_if_used_up(job):
                self.state.refresh_job(job, now_ms)

    def fail_if_used_up(self, job: JobView) -> bool:
        """Let a job fail if a task has used up its attempts; return whether it has."""
        if job.is_final() or not job.has_used_up_attempts():
            return False
        job.progress.is_failed = True
        job.changes += 1
        self.state.mark_unwritten(job)
        return True

    def _enqueue_waiting(self, job: JobView) -> None:
        """Add the tasks that waited for the queue to those that wait for a start."""
        for occurrence, number, index in list(job.progress.failed):
            step_id = StepId(job.spec.id, occurrence, number)
            step = job.spec.steps[number]
            for waiting in range(step.count) if step.is_gang else (index,):
                self.state.enqueue_task(job, step_id.task(waiting))
