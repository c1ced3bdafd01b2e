"""Tests the messages between the broker and the pools' owners, one failure each."""

from __future__ import annotations

import random

import pytest

from cornelturn.jobs.model import Resources
from cornelturn.model.organisations import Organisation
from cornelturn.peering.quota_messages import QuotaGrant
from cornelturn.quota.amounts import NOTHING, Amount
from cornelturn.quota.cap_log import LOG_INTERVAL_MS, MAX_CHECKED_POSITIONS, CapLog
from cornelturn.quota.ledger import RESEND_MS, QuotaLedger
from cornelturn.quota.split import PoolDemand, split
from cornelturn.tests.quota_model import ORGANISATION, ModelPool, QuotaModel

CAP = 30
ONE = Resources(1)


@pytest.fixture
def model() -> QuotaModel:
    """Return two pools without work, of which the broker has reports."""
    pools = [ModelPool("first", ONE), ModelPool("second", ONE)]
    model = QuotaModel(random.Random(1), [Resources(CAP)], pools)
    for pool in pools:
        pool.seen_broker = 1
    model.exchange(1)
    return model


def grants(model: QuotaModel, pool: ModelPool) -> list[QuotaGrant]:
    """Deliver a report of a pool and return the grants, which stay undelivered."""
    model.now_ms += 200
    model.network.clear()
    model.deliver(pool.report())
    return [message for message in model.network if isinstance(message, QuotaGrant)]


def allotted(pool: ModelPool) -> int:
    return pool.gate.allotted(ORGANISATION).cpu


def test_demand_in_one_pool_gets_the_whole_cap_in_one_exchange(model):
    first, second = model.pools
    first.waiting = 100
    model.exchange(1)
    assert len(first.runs) == CAP
    second.waiting, first.waiting = 100, 0
    for _ in range(CAP):
        first.end(model.rng)
    model.exchange(3)
    assert len(second.runs) == CAP


def test_lost_grant_is_sent_again(model):
    first, _ = model.pools
    first.waiting = 100
    assert grants(model, first)
    assert grants(model, first) == []
    model.now_ms += RESEND_MS
    model.network.clear()
    model.exchange(1)
    assert len(first.runs) == CAP


def test_repeated_and_reordered_grants_are_refused(model):
    first, second = model.pools
    first.waiting = 100
    (raised,) = grants(model, first)
    assert not first.gate.accept(raised)
    model.exchange(1)
    second.waiting = 100
    model.exchange(2)
    assert allotted(first) == CAP // 2
    first.gate.accept(raised)
    assert allotted(first) == CAP // 2


def test_pool_is_not_raised_before_another_has_acknowledged_less(model):
    first, second = model.pools
    first.waiting = 5
    model.exchange(2)
    assert allotted(first) == CAP
    first.waiting, second.waiting = 0, 100
    lowered = grants(model, second)
    assert {grant.pool for grant in lowered} == {"first"}
    assert grants(model, second) == []
    first.gate.accept(lowered[0])
    (raised,) = grants(model, first)
    assert raised.pool == "second"
    assert raised.allotments[0].amount.cpu + allotted(first) == CAP


def test_report_that_arrives_after_a_later_one_is_ignored(model):
    first, _ = model.pools
    early = first.report()
    first.waiting = 100
    model.exchange(1)
    assert not model.ledger.add_report(early, model.now_ms)
    assert model.ledger.committed(ORGANISATION, 0).cpu == CAP


def test_grant_for_an_earlier_owner_is_refused(model):
    first, _ = model.pools
    first.waiting = 100
    (grant,) = grants(model, first)
    first.replace_owner(1, Resources(CAP), 1)
    first.report()
    first.gate.accept(grant)
    assert allotted(first) == 0


def test_grant_of_a_replaced_broker_is_refused(model):
    first, _ = model.pools
    first.waiting = 100
    (grant,) = grants(model, first)
    model.add_broker()
    first.seen_broker = 2
    first.report()
    first.gate.accept(grant)
    assert allotted(first) == 0


def test_new_broker_grants_nothing_before_all_pools_have_reported(model):
    first, second = model.pools
    second.waiting = 100
    model.exchange(1)
    model.add_broker()
    first.seen_broker = second.seen_broker = 2
    first.waiting = 100
    assert grants(model, first) == []
    assert grants(model, second) != []
    assert model.ledger.committed(ORGANISATION, 0).cpu == CAP


def test_new_broker_waits_for_the_owner_that_the_rows_name(model):
    """A paused owner that was replaced may report to a new broker."""
    first, second = model.pools
    model.add_broker()
    first.seen_broker = second.seen_broker = 2
    zombie = first.report()
    first.replace_owner(2, Resources(CAP), 1)
    model.deliver(zombie)
    second.waiting = 100
    assert grants(model, second) == []


def test_owner_starts_up_to_its_allotment_without_a_broker(model):
    first, _ = model.pools
    first.waiting = 100
    model.exchange(1)
    for _ in range(10):
        first.end(model.rng)
    model.start(first)
    assert len(first.runs) == CAP


def test_runs_of_a_replaced_owner_count_until_the_next_one_knows_them(model):
    first, second = model.pools
    first.waiting = 20
    model.exchange(1)
    first.replace_owner(1, Resources(CAP), 1)
    second.waiting = 100
    model.exchange(3)
    assert len(second.runs) == 0
    first.find_runs()
    model.exchange(4)
    assert len(second.runs) == CAP - 20


def test_unknown_runs_keep_a_new_broker_from_raising(model):
    first, second = model.pools
    first.waiting = 20
    model.exchange(1)
    first.replace_owner(2, Resources(CAP), 1)
    model.add_broker()
    second.seen_broker = 2
    second.waiting = 100
    model.exchange(3)
    assert len(second.runs) == 0
    first.find_runs()
    model.exchange(4)
    assert len(second.runs) == CAP - 20


def test_lowered_cap_starts_nothing_before_what_runs_is_below_it(model):
    first, second = model.pools
    first.waiting = second.waiting = 100
    model.exchange(3)
    model.change_cap(Resources(10))
    model.configure(model.ledger, 2)
    for pool in model.pools:
        pool.configure(Resources(10), 2)
    for _ in range(12):
        first.end(model.rng)
    model.exchange(3)
    assert model.running().cpu == CAP - 12
    for _ in range(CAP // 2):
        second.end(model.rng)
    model.exchange(4)
    assert model.running().cpu == 10


def test_raised_cap_is_used_in_one_exchange(model):
    first, _ = model.pools
    first.waiting = 100
    model.exchange(1)
    model.change_cap(Resources(50))
    model.configure(model.ledger, 2)
    first.configure(Resources(50), 2)
    model.exchange(1)
    assert len(first.runs) == 50


def test_cap_that_is_added_waits_for_owners_that_do_not_know_it(model):
    first, second = model.pools
    model.ledger.set_organisations(2, ())
    model.ledger.set_organisations(3, (Organisation(ORGANISATION, cap=ONE),))
    first.configure(ONE, 3)
    first.waiting = 10
    model.exchange(2)
    assert len(first.runs) == 0
    second.configure(ONE, 3)
    model.exchange(2)
    assert len(first.runs) == 1


def test_removed_organisation_has_no_limit(model):
    first, _ = model.pools
    first.gate.set_organisations(2, ())
    first.waiting = 100
    while first.start():
        pass
    assert len(first.runs) == 100


def test_task_larger_than_the_cap_starts_alone(model):
    first, second = model.pools
    first.waiting, first.need = 2, Resources(CAP + 10)
    second.waiting = 10
    model.exchange(1)
    for _ in range(10):
        second.end(model.rng)
    model.exchange(3)
    assert len(first.runs) == 1


def test_large_task_starts_though_another_pool_fills_the_cap_with_small_ones(model):
    first, second = model.pools
    second.waiting = 10_000
    model.exchange(1)
    first.waiting, first.need = 1, Resources(20)
    for _ in range(20):
        for _ in range(3):
            second.end(model.rng)
        model.exchange(1)
    assert len(first.runs) == 1


def test_parts_are_whole_tasks_so_that_nothing_is_stranded():
    share = PoolDemand(NOTHING, Amount(400), Amount(4))
    parts = split(Amount(10), [share, share, share])
    assert sum(part.cpu // 4 for part in parts) == 2


def test_lines_on_an_organisation_at_its_cap_are_bounded(model, monkeypatch):
    events: list[str] = []
    monkeypatch.setattr(
        "cornelturn.quota.cap_log.log_event",
        lambda event, **fields: events.append(event),
    )
    first, log = model.pools[0], CapLog()
    for number in range(100):
        first.waiting = 100 * (number % 2)
        model.exchange(1)
        if not first.waiting:
            for _ in range(CAP):
                first.end(model.rng)
        log.update(model.ledger, model.now_ms)
    assert "organisation_at_cap" in events
    assert "organisation_below_cap" in events
    assert len(events) <= model.now_ms / LOG_INTERVAL_MS + 1


def test_one_update_of_the_log_looks_at_some_organisations_only(monkeypatch):
    """Guards against long turns of the broker's event loop with many organisations."""
    names = [f"org-{number}" for number in range(2 * MAX_CHECKED_POSITIONS)]
    ledger, log = QuotaLedger(1), CapLog()
    ledger.set_organisations(
        1, [Organisation(name, cap=Resources(1_000)) for name in names]
    )
    checked: list[str] = []
    monkeypatch.setattr(
        QuotaLedger, "is_at_cap", lambda _, name, now_ms: bool(checked.append(name))
    )
    log.update(ledger, 0)
    assert len(checked) == MAX_CHECKED_POSITIONS
    log.update(ledger, 0)
    assert checked == names


def test_cap_is_split_if_all_its_shares_are_served_first():
    """Guards against an error that ended the broker when no share was left over."""
    one = PoolDemand(NOTHING, Amount(4), Amount(4), idle_since_ms=0)
    other = PoolDemand(NOTHING, Amount(8), Amount(4), idle_since_ms=1)
    third = PoolDemand(NOTHING, Amount(8), Amount(3), idle_since_ms=2)
    assert sum(amount.cpu for amount in split(Amount(11), [one, other, third])) == 11
