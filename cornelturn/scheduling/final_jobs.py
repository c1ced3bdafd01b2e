"""What the log and the metrics state of a final job."""

from __future__ import annotations

from cornelturn.clock import to_seconds
from cornelturn.events.job_metrics import JobMetrics
from cornelturn.events.log import log_event
from cornelturn.scheduling.views import JobView


def log_final(pool: str, metrics: JobMetrics, job: JobView, now_ms: int) -> None:
    """Log a job that is final and written, and count its times."""
    state = job.progress.state(job.spec)
    after_ms = now_ms - job.arrived_ms
    parts = job.times.parts(now_ms)
    waits_ms = job.times.step_waits_ms.values()
    metrics.job_duration.labels(job.spec.queue, state).observe(to_seconds(after_ms))
    metrics.record_finished_job(pool, parts.consecutive_ms(), waits_ms)
    log_event(
        "job_final",
        job=job.spec.id,
        queue=job.spec.queue,
        state=state,
        after_ms=after_ms,
        order_ms=parts.order_ms,
        answer_ms=parts.answer_ms,
        run_ms=parts.run_ms,
        write_ms=parts.write_ms,
        steps_wait_ms=parts.steps_wait_ms,
        longest_wait_ms=parts.longest_wait_ms,
    )
