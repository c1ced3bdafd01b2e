"""Stand-in for the platform's row store and machine service."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from collections.abc import Callable

from review.lib.http import NO_ANSWER, Request, Server

TRANSACTION_S = 0.003
PAGE_ROWS = 500
ROW_BYTES = 65_536
MAX_CALL_BYTES = 1_000_000
MAX_ENTRIES = 100


class Store:
    """Rows in memory with the history of their changes.

    ``is_busy`` makes it answer each call with 503.
    """

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str, str], tuple[str, int]] = {}
        self.history: list[dict] = []
        self.version = 0
        self.is_busy = False
        self.changed = asyncio.Event()
        self.refused_sizes = 0
        self.server = Server(self.handle)
        self.started_s = time.monotonic()

    def put(self, table: str, key: str, value: object, part: str = "") -> None:
        """Write a row as the operator or a worker does."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        row = {"table_name": table, "part": part, "key": key, "value": text}
        self._apply([row], [])

    def remove(self, table: str, key: str, part: str = "") -> None:
        """Remove a row as the platform does."""
        self._apply([], [{"table_name": table, "part": part, "key": key}])

    def read(self, table: str, key: str, part: str = "") -> object:
        """Return the value of a row, None if there is none."""
        row = self.rows.get((table, part, key))
        return json.loads(base64.b64decode(row[0])) if row else None

    def _apply(self, writes: list[dict], removals: list[dict]) -> None:
        self.version += 1
        for row in writes:
            self.rows[_key(row)] = (row["value"], self.version)
            self.history.append({**row, "row_version": self.version})
        for row in removals:
            self.rows.pop(_key(row), None)
            self.history.append({**row, "row_version": self.version, "deleted": True})
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def handle(self, request: Request) -> tuple[int, object]:
        """Answer a call."""
        if self.is_busy:
            return 503, {}
        match request.path:
            case "/rows-tx":
                return await self._transact(request.body)
            case "/rows-get":
                return 200, self._get(request.query)
            case "/rows-parts":
                table = request.query["table_name"]
                names = sorted({part for name, part, _ in self.rows if name == table})
                after = request.query.get("after", "")
                names = [name for name in names if not after or name > after]
                return 200, {
                    "parts": names[:1000],
                    "has_more": len(names) > 1000,
                    **self._head(),
                }
            case "/rows-feed":
                return 200, await self._feed(request.query)
        return 400, {}

    def _head(self) -> dict:
        now_ms = round((time.monotonic() - self.started_s) * 1000)
        return {"row_version": self.version, "now_ms": now_ms}

    async def _transact(self, body: dict) -> tuple[int, object]:
        await asyncio.sleep(TRANSACTION_S)
        writes, removals = body.get("write", []), body.get("remove", [])
        entries = [*body.get("precondition", []), *writes, *removals]
        sizes = [len(base64.b64decode(row["value"])) for row in writes]
        if len(entries) > MAX_ENTRIES or max(sizes, default=0) > ROW_BYTES:
            self.refused_sizes += 1
            return 400, {}
        conditions = body.get("precondition", [])
        found = [
            {**_names(row), "value": value, "row_version": version}
            for row in conditions
            for value, version in [self.rows.get(_key(row), ("", 0))]
        ]
        if any(
            row["row_version"] != wanted["row_version"]
            for row, wanted in zip(found, conditions, strict=True)
        ):
            present = [row for row in found if row["row_version"]]
            return 412, {"rows": present, **self._head()}
        self._apply(writes, removals)
        return 200, self._head()

    def _get(self, query: dict[str, str]) -> dict:
        place = (query["table_name"], query.get("part", ""))
        source, target = query.get("source", ""), query.get("target")
        keys = sorted(
            key[2]
            for key in self.rows
            if key[:2] == place
            and key[2] >= source
            and (target is None or key[2] < target)
        )
        limit = min(int(query.get("limit", PAGE_ROWS)), PAGE_ROWS)
        rows = [
            {
                "table_name": place[0],
                "part": place[1],
                "key": key,
                "value": self.rows[*place, key][0],
                "row_version": self.rows[*place, key][1],
            }
            for key in keys[:limit]
        ]
        return {"rows": rows, "has_more": len(keys) > limit, **self._head()}

    async def _feed(self, query: dict[str, str]) -> dict:
        table, after = query["table_name"], int(query.get("after", 0))
        deadline_s = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            rows = [
                row
                for row in self.history
                if row["row_version"] > after and row["table_name"] == table
            ]
            left_s = deadline_s - time.monotonic()
            if rows or left_s <= 0:
                return {"rows": rows, **self._head()}
            try:
                async with asyncio.timeout(left_s):
                    await self.changed.wait()
            except TimeoutError:
                continue


def _key(row: dict) -> tuple[str, str, str]:
    return row["table_name"], row.get("part", ""), row["key"]


def _names(row: dict) -> dict:
    return {
        "table_name": row["table_name"],
        "part": row.get("part", ""),
        "key": row["key"],
    }


class Machines:
    """Machines that go down for their upkeep, with a fencing token for each.

    ``late`` is called for each order of upkeep. If it returns a function, the order
    gets no answer and is carried out after that has been awaited.
    """

    def __init__(self, on_down, on_up, upkeep_s: float = 2.0) -> None:
        self.machines: dict[str, dict] = {}
        self.fences: dict[str, int] = {}
        self.done: set[str] = set()
        self.on_down = on_down
        self.on_up = on_up
        self.upkeep_s = upkeep_s
        self.note: Callable[[str], None] = lambda text: None
        self.late = lambda name, token: None
        self.begun: list[tuple[str, int]] = []
        self.order_count = 0
        self.tasks: set[asyncio.Task] = set()
        self.server = Server(self.handle)

    async def handle(self, request: Request) -> tuple[int, object]:
        """Answer a call."""
        if request.path == "/machines":
            return 200, {"machines": list(self.machines.values()), "next_token": None}
        name = request.body.get("host_id", "")
        token = int(request.headers.get("cornelturn-fence-token", 0))
        holder = request.headers.get("cornelturn-duty-holder", "")
        if request.path != "/machine-upkeep":
            return 409, {"reason": "busy"}
        self.note(f"upkeep of {name} asked for by {holder}, token {token}")
        self.order_count += 1
        wait = self.late(name, token)
        if wait is not None:
            late_order = self._carry_out_late(name, token, wait)
            self.tasks.add(asyncio.create_task(late_order))
            return NO_ANSWER, {}
        return self.upkeep(name, token)

    async def _carry_out_late(self, name: str, token: int, wait) -> None:
        await wait()
        status, answer = self.upkeep(name, token)
        self.note(f"late order for {name}, token {token}: {status} {answer}")

    def upkeep(self, name: str, token: int) -> tuple[int, object]:
        """Take a machine down for its upkeep."""
        machine = self.machines.get(name)
        if machine is None:
            return 400, {}
        if token < self.fences.get(name, 0):
            return 409, {"reason": "fence"}
        self.fences[name] = token
        if name in self.done:
            return 200, {}
        if machine["state"] != "up":
            return 409, {"reason": "busy"}
        self.done.add(name)
        down = sum(other["state"] == "upkeep" for other in self.machines.values())
        self.begun.append((name, down))
        self.note(f"upkeep of {name} begins while {down} are down")
        machine["state"] = "upkeep"
        self.on_down(name)
        asyncio.get_running_loop().call_later(self.upkeep_s, self._return, name)
        return 200, {}

    def _return(self, name: str) -> None:
        self.on_up(name)
        self.note(f"{name} is back")
