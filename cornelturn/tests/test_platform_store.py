"""The client of the platform's row store, against the stand-in over HTTP."""

from __future__ import annotations

from collections.abc import AsyncIterator

import pytest
from blacksheep import Request, Response
from result import Err, Ok

from cornelturn.http.routes import add_route, new_application
from cornelturn.http.server import HttpServer
from cornelturn.platform.standin.rows import StoreFault, StoreStandin
from cornelturn.platform.store import PlatformStore
from cornelturn.store.port import HistoryLost, read_table
from cornelturn.store.rows import (
    ABSENT,
    CallTooLarge,
    Check,
    Delete,
    Put,
    TableConflict,
)


@pytest.fixture
async def standin() -> StoreStandin:
    """Return a stand-in that holds its rows in memory."""
    return StoreStandin()


@pytest.fixture
async def store(standin: StoreStandin) -> AsyncIterator[PlatformStore]:
    """Yield a client that is connected to the stand-in."""
    server = HttpServer(standin.application(), "127.0.0.1", 0)
    port = await server.start()
    client = PlatformStore(f"127.0.0.1:{port}")
    yield client
    await client.close()
    server.abort()
    await server.stop()


async def test_write_is_conditional(store: PlatformStore):
    first = (await store.commit(Put("t/p/a", "1", ABSENT))).unwrap()
    match await store.commit(Put("t/p/a", "2", ABSENT)):
        case Err(TableConflict(keys, rows)):
            assert keys == ("t/p/a",)
            assert [(row.value, row.version) for row in rows] == [("1", first.revision)]
        case other:
            pytest.fail(f"expected a conflict, found {other}")
    row = (await store.read("t/p/a")).unwrap()
    assert (row.key, row.value) == ("t/p/a", "1")
    assert (await store.read("t/p/b")).unwrap() is None


async def test_call_refused_for_its_size_is_known_as_such():
    """Guards against a refusal that looks like a store which is away."""
    app = new_application()
    add_route(app, "POST", "/rows-tx", refuse_size)
    server = HttpServer(app, "127.0.0.1", 0)
    client = PlatformStore(f"127.0.0.1:{await server.start()}")
    result = await client.commit(Put("t/p/a", "1", ABSENT))
    await client.close()
    server.abort()
    await server.stop()
    assert result == Err(CallTooLarge("status 413"))


async def refuse_size(request: Request) -> Response:
    return Response(413)


async def test_transaction_applies_all_operations_or_none(store: PlatformStore):
    await store.commit(Put("t/p/a", "1"))
    failed = await store.commit(Put("t/p/b", "1"), Check("t/p/a", 999))
    assert failed.is_err()
    assert (await store.read("t/p/b")).unwrap() is None


async def test_changes_hold_only_the_last_change_of_each_key(store: PlatformStore):
    first = (await store.commit(Put("t/p/a", "1"))).unwrap()
    await store.commit(Delete("t/p/a"))
    await store.commit(Put("t/q/a", "2"))
    await store.commit(Put("t/p/a", "3"))
    await store.commit(Delete("t/q/a"))
    page = (await store.changes("t", first.revision, 0)).unwrap()
    assert [(row.key, row.value) for row in page.rows] == [("t/p/a", "3")]
    assert page.deleted == ("t/q/a",)


async def test_read_of_discarded_history_is_reported_as_lost(
    store: PlatformStore, standin: StoreStandin
):
    first = (await store.commit(Put("t/p/a", "1"))).unwrap()
    await store.commit(Put("t/p/a", "2"))
    standin.discard_history()
    assert await store.changes("t", first.revision, 0) == Err(HistoryLost())
    page = (await read_table(store, "t")).unwrap()
    assert [row.value for row in page.rows] == ["2"]


async def test_scan_reads_all_pages(store: PlatformStore, standin: StoreStandin):
    for number in range(1_203):
        standin.put("t", f"{number:05}", b"x", "p")
    match await store.scan("t", "p"):
        case Ok(page):
            assert len({row.key for row in page.rows}) == 1_203
        case Err(error):
            pytest.fail(error.detail)


async def test_refusal_is_not_in_doubt(store: PlatformStore, standin: StoreStandin):
    standin.fault = StoreFault.BUSY
    match await store.commit(Put("t/p/a", "1")):
        case Err(error):
            assert not error.is_in_doubt
        case Ok(_):
            pytest.fail("expected a refusal")
