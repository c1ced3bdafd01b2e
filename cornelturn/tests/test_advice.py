"""Tests what the owner of a pool asks and starts on a queue that needs approval."""

from __future__ import annotations

from dataclasses import replace

import pytest

from cornelturn.advice.messages import ApprovalRequest, ApprovalSettled, Approved, Busy
from cornelturn.jobs.model import JobSpec, Resources, Step, StepId
from cornelturn.jobs.progress import Progress
from cornelturn.jobs.rows import JobRow, decode_job, encode_job, job_key
from cornelturn.model.routes import ApprovalTimes, JobQueue, VersionedQueue
from cornelturn.scheduling.pool import PoolScheduler
from cornelturn.scheduling.state import TargetOrder
from cornelturn.targets.model import Declined, StartOrder, StopOrder, TargetLife
from cornelturn.targets.model import Unanswered as Lost
from cornelturn.tests.test_reserved_targets import (
    CPU,
    FIRST,
    QUEUE,
    SECOND,
    listed,
    scheduler,
)

__all__ = ["scheduler"]

TIMES = ApprovalTimes(100, 10, 5_000)
APPROVED_QUEUE = replace(QUEUE, name="approved", approval=TIMES)
CORE = Resources(1_000, 1)
LARGE = Resources(CPU, 1)
APPROVED, PLAIN = (f"{number:016x}" for number in (1, 2))
STEP = StepId(APPROVED, 0, 0)


def add(
    scheduler: PoolScheduler, job: str, queue: JobQueue, need: Resources, count: int = 1
) -> None:
    spec = JobSpec(job, queue.name, "pool", "text", (Step(count, need, 300),))
    key = job_key(queue.name, job)
    scheduler.add_job(key, JobRow(spec, Progress()), 1, queue, 0)


def request(*lives: TargetLife) -> ApprovalRequest:
    return ApprovalRequest(STEP, lives, TIMES.validity_ms, 1_000)


def approve(scheduler: PoolScheduler, *lives: TargetLife, sent_ms: int = 0) -> None:
    tickets = {life.name: f"ticket-{life.name}" for life in lives}
    settled = ApprovalSettled(request(*lives), Approved(tickets), sent_ms)
    scheduler.approvals.settle(settled, sent_ms)


@pytest.fixture
def waiting(scheduler: PoolScheduler) -> PoolScheduler:
    """Return a scheduler with a step of two tasks that needs approval."""
    add(scheduler, APPROVED, APPROVED_QUEUE, CORE, 2)
    assert scheduler.plan(1) == []
    return scheduler


def starts(orders: list[TargetOrder]) -> list[tuple[str, TargetLife, str]]:
    return [
        (order.order.run.task.job, order.life, order.order.ticket)
        for order in orders
        if isinstance(order.order, StartOrder)
    ]


def test_all_targets_are_asked_about_and_the_refused_never_again(waiting):
    asked = waiting.approvals.next_request(1)
    assert set(asked.lives) == {FIRST, SECOND}
    tickets = {SECOND.name: "t"}
    waiting.approvals.settle(ApprovalSettled(asked, Approved(tickets), 1), 2)
    assert starts(waiting.plan(2)) == [(APPROVED, SECOND, "t")] * 2
    add(waiting, PLAIN, APPROVED_QUEUE, LARGE)
    waiting.plan(3)
    assert waiting.approvals.next_request(500).step.job == PLAIN


def test_step_without_room_on_its_targets_holds_up_no_equal_step(waiting):
    """Equal steps are tried together, and all of them dropped if one does not fit."""
    add(waiting, f"{3:016x}", QUEUE, LARGE)
    [order] = waiting.plan(2)
    approve(waiting, order.life)
    add(waiting, PLAIN, QUEUE, CORE, 2)
    assert {job for job, *_ in starts(waiting.plan(3))} == {PLAIN}


def test_step_without_a_ticket_reserves_no_target(scheduler):
    """A reserved target is kept from other queues, for a service that is silent."""
    add(scheduler, f"{3:016x}", QUEUE, CORE, 9)
    scheduler.plan(1)
    add(scheduler, APPROVED, APPROVED_QUEUE, LARGE)
    assert scheduler.plan(2) == []
    assert not scheduler.planner.reservations.by_target


def test_ticket_is_not_used_near_its_end_or_in_another_life(waiting):
    approve(waiting, FIRST)
    assert starts(waiting.plan(TIMES.validity_ms - 200)) == []
    later = replace(listed(FIRST), life=TargetLife(FIRST.name, 2))
    waiting.update_targets([later, listed(SECOND)], 1)
    approve(waiting, FIRST, sent_ms=5_000)
    assert starts(waiting.plan(5_001)) == []
    assert later.life not in waiting.advice.step(STEP).tickets


def test_unanswered_start_is_stopped_when_its_ticket_has_ended(waiting):
    approve(waiting, FIRST)
    for order in waiting.plan(2):
        waiting.handle_order_result(order.life, order.order, Lost("lost"), 3)
    orders = waiting.plan(TIMES.validity_ms)
    assert all(isinstance(order.order, StopOrder) for order in orders)
    assert len(orders) == 2


def test_rejected_ticket_is_void_and_the_target_open_to_other_queues(waiting):
    approve(waiting, FIRST)
    for order in waiting.plan(2):
        waiting.handle_order_result(order.life, order.order, Declined("ticket"), 3)
    add(waiting, PLAIN, QUEUE, LARGE, 2)
    assert {life for _, life, _ in starts(waiting.plan(4))} == {FIRST, SECOND}


def test_busy_service_is_left_alone_for_a_while(waiting):
    asked = waiting.approvals.next_request(1)
    waiting.approvals.settle(ApprovalSettled(asked, Busy(), 1), 2)
    assert waiting.approvals.next_request(100) is None
    assert waiting.approvals.next_request(300) is not None


def test_tickets_that_end_before_their_answer_are_not_requested_at_once(waiting):
    """A queue with a short validity must not keep the service busy for nothing."""
    asked = waiting.approvals.next_request(1)
    tickets = {life.name: "ticket" for life in asked.lives}
    for number, pause_ms in enumerate((200, 400, 800)):
        now_ms = 10_000 * (number + 1)
        settled = ApprovalSettled(asked, Approved(tickets), now_ms - TIMES.validity_ms)
        waiting.approvals.settle(settled, now_ms)
        assert waiting.plan(now_ms) == []
        assert waiting.approvals.next_request(now_ms + pause_ms - 1) is None
        assert waiting.approvals.next_request(now_ms + pause_ms + 200) is not None


def test_queue_that_needs_approval_is_kept_in_the_row_of_a_job():
    """Earlier versions wrote rows without the times, which must stay readable."""
    spec = JobSpec(APPROVED, "approved", "pool", "text", (Step(1, CORE),))
    stored = JobRow(spec, Progress(), 1, VersionedQueue(APPROVED_QUEUE, 3))
    text = encode_job(stored)
    assert decode_job("key", text).unwrap().queue.queue.approval == TIMES
    earlier = text.replace(",[100,10,5000]]", "]")
    assert earlier != text
    assert decode_job("key", earlier).unwrap().queue.queue.approval == ApprovalTimes()
    needs_none = earlier.replace("true]", "false]")
    assert decode_job("key", needs_none).unwrap().queue.queue.approval is None


@pytest.mark.parametrize("kind", ["is_lasting", "is_gang"])
def test_lasting_tasks_and_gangs_start_on_approved_targets_only(scheduler, kind):
    """Lasting tasks are spread by a choice of their own, gangs start as a whole."""
    step = replace(Step(2, CORE, 300), **{kind: True})
    spec = JobSpec(APPROVED, APPROVED_QUEUE.name, "pool", "text", (step,))
    key = job_key(APPROVED_QUEUE.name, APPROVED)
    scheduler.add_job(key, JobRow(spec, Progress()), 1, APPROVED_QUEUE, 0)
    scheduler.plan(1)
    approve(scheduler, SECOND, sent_ms=1)
    assert starts(scheduler.plan(2)) == [(APPROVED, SECOND, "ticket-t-2")] * 2
