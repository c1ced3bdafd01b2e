"""Faults that are injected into simulated days of large fleets."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass

from cornelturn.jobs.rows import JOBS_TABLE, queue_parts
from cornelturn.platform.standin.documents import id_of_queue
from cornelturn.platform.standin.rows import StoreFault
from cornelturn.tests.job_fleet import JobFleet

ROLL_BATCH_SIZE = 4
"""Number of entries that a rolling restart stops together."""

DELISTING_DELAY_S = 3.0
"""How long a lost worker stays on the list of servers."""


@dataclass(frozen=True)
class Trouble:
    """A fault that is injected on a simulated day.

    Parameters
    ----------
    start_s, duration_s : float
        When it begins, and how long it lasts if it ends.
    kind : str
        What happens: one of `KINDS`.
    share : float
        Share of the machines affected, for the kinds that take one.
    """

    start_s: float
    duration_s: float
    kind: str
    share: float = 0.2


KINDS = (
    "freeze_owners",
    "cut_store",
    "cut_all",
    "kill_owners",
    "kill_most",
    "kill_all",
    "rolling_restart",
    "isolate_workers",
    "isolate_workers_kill_owner",
    "isolate_workers_freeze_owner",
    "crash_workers",
    "lose_workers",
    "lose_workers_lose_owner",
    "lose_owners",
    "delay_worker_starts",
    "store_busy",
    "store_silent",
    "store_answers_lost",
    "store_silent_workers_delisted",
    "store_parts_unavailable",
    "discard_history",
)


@dataclass(repr=False)
class TroubleInjector:
    """Injects faults into a fleet; the generator chooses what they affect."""

    fleet: JobFleet
    rng: random.Random

    async def inject(self, trouble: Trouble) -> None:
        """Let a fault begin, and return once it is over."""
        match trouble.kind:
            case "freeze_owners":
                await self._freeze_owners(trouble)
            case "cut_store":
                await self._cut(
                    self._sample_entries(trouble.share), ["store"], trouble.duration_s
                )
            case "cut_all":
                others = [entry.label for entry in self.fleet.entries.values()]
                names = self._sample_entries(trouble.share)
                await self._cut(
                    names, ["store", "machines", *others], trouble.duration_s
                )
            case "kill_owners":
                await self._kill(
                    sorted(set(self.fleet.owners().values())), trouble.duration_s
                )
            case "kill_most":
                await self._kill(self._sample_entries(0.6), trouble.duration_s)
            case "kill_all":
                await self._kill(list(self.fleet.entries), trouble.duration_s)
            case "rolling_restart":
                await self._restart_in_batches(trouble.duration_s)
            case "isolate_workers":
                await self._isolate_workers(trouble)
            case "isolate_workers_kill_owner":
                isolating = asyncio.create_task(self._isolate_workers(trouble))
                await asyncio.sleep(0.2)
                await self._kill(self._active_owners()[:1], trouble.duration_s)
                await isolating
            case "isolate_workers_freeze_owner":
                isolating = asyncio.create_task(self._isolate_workers(trouble))
                await asyncio.sleep(0.2)
                await self._freeze(self._active_owners()[:1], trouble.duration_s)
                await isolating
            case "crash_workers":
                for name in self._sample_workers(trouble.share):
                    await self.fleet.restart_worker(name)
            case "lose_workers":
                await self._lose_workers(trouble.share)
            case "lose_workers_lose_owner":
                losing = asyncio.create_task(self._lose_workers(trouble.share))
                await asyncio.sleep(0.2)
                self._lose_owners(1)
                await losing
            case "lose_owners":
                self._lose_owners(2)
            case "delay_worker_starts":
                await self._delay_worker_starts(trouble)
            case "store_parts_unavailable":
                await self._refuse_parts(trouble)
            case "discard_history":
                self.fleet.store.discard_history()
            case _:
                await self._fail_store(trouble)

    async def _refuse_parts(self, trouble: Trouble) -> None:
        """Make some parts of the store's tables unavailable; the others are served."""
        store = self.fleet.store
        parts = {(table, part) for table, part, _ in store.rows if part}
        for pool in self.fleet.pools:
            parts.update((JOBS_TABLE, part) for part in queue_parts(id_of_queue(pool)))
        refused = self.rng.sample(sorted(parts), round(len(parts) * trouble.share))
        store.unavailable_parts.update(refused)
        await asyncio.sleep(trouble.duration_s)
        store.unavailable_parts.difference_update(refused)

    async def _freeze_owners(self, trouble: Trouble) -> None:
        """Freeze the owner of a pool, then its successor, three times in a row."""
        pool = self.rng.choice(self.fleet.pools)
        freezing = []
        for _ in range(3):
            owner = self.fleet.owners().get(pool)
            if owner is not None and not self.fleet.is_paused(owner):
                freezing.append(
                    asyncio.create_task(self._freeze([owner], trouble.duration_s))
                )
            await asyncio.sleep(trouble.duration_s)
        await asyncio.gather(*freezing)

    async def _freeze(self, names: list[str], duration_s: float) -> None:
        network = self.fleet.network
        labels = [self.fleet.entries[name].label for name in names]
        network.loop.paused.update(labels)
        await asyncio.sleep(duration_s)
        for label in labels:
            if label not in network.dead:
                network.loop.resume(label)

    async def _cut(
        self, names: list[str], others: list[str], duration_s: float
    ) -> None:
        entries = self.fleet.entries
        labels = [entries[name].label for name in names]
        pairs = {frozenset((label, other)) for label in labels for other in others}
        pairs = {pair for pair in pairs if len(pair) == 2}
        self.fleet.network.cut_pairs |= pairs
        await asyncio.sleep(duration_s)
        self.fleet.network.cut_pairs -= pairs

    async def _kill(self, names: list[str], duration_s: float) -> None:
        names = [name for name in names if name in self.fleet.entries]
        for name in names:
            self.fleet.kill_entry(name)
        await asyncio.sleep(duration_s)
        for name in names:
            await self._restart(name)

    async def _restart(self, name: str) -> None:
        """Start an entry again unless another trouble has done so already."""
        if name not in self.fleet.entries:
            await self.fleet.add_entry(name)

    async def _restart_in_batches(self, gap_s: float) -> None:
        """Stop and restart all entries in batches."""
        names = list(self.fleet.entries)
        stops = []
        for first in range(0, len(names), ROLL_BATCH_SIZE):
            for name in names[first : first + ROLL_BATCH_SIZE]:
                if name in self.fleet.entries and not self.fleet.is_paused(name):
                    stops.append(asyncio.create_task(self._stop(name)))
            await asyncio.sleep(min(gap_s, 1.0))
        await asyncio.gather(*stops)

    async def _stop(self, name: str) -> None:
        leaving = self.fleet.entries.pop(name, None)
        if leaving is None:
            return
        await leaving.stop()
        self.fleet.network.kill(leaving.label)
        await self._restart(name)

    async def _isolate_workers(self, trouble: Trouble) -> None:
        names = self._sample_workers(trouble.share)
        for name in names:
            self.fleet.isolate_worker(name)
        await asyncio.sleep(trouble.duration_s)
        for name in names:
            self.fleet.reconnect_worker(name)

    async def _lose_workers(self, share: float) -> None:
        """Lose workers permanently: isolated and crashed at once, delisted later."""
        names = self._sample_workers(share)
        for name in names:
            self.fleet.isolate_worker(name)
            self.fleet.workers[name].crash()
        await asyncio.sleep(DELISTING_DELAY_S)
        for name in names:
            self.fleet.store.remove("servers", name)

    def _lose_owners(self, count: int) -> None:
        for name in list(dict.fromkeys(self._active_owners()))[:count]:
            self.fleet.kill_entry(name)

    async def _delay_worker_starts(self, trouble: Trouble) -> None:
        workers = [
            self.fleet.workers[name] for name in self._sample_workers(trouble.share)
        ]
        for worker in workers:
            worker.start_delay_ms = 3_000
        await asyncio.sleep(trouble.duration_s)
        for worker in workers:
            worker.start_delay_ms = 0

    async def _fail_store(self, trouble: Trouble) -> None:
        store = self.fleet.store
        store.lost_write_delay_ms = self.rng.choice((0, 2_000))
        store.fault = {
            "store_busy": StoreFault.BUSY,
            "store_silent": StoreFault.SILENT,
            "store_answers_lost": StoreFault.LOST_ANSWERS,
            "store_silent_workers_delisted": StoreFault.SILENT,
        }[trouble.kind]
        lapsed = (
            self._sample_workers(trouble.share)
            if trouble.kind == "store_silent_workers_delisted"
            else []
        )
        for name in lapsed:
            store.remove("servers", name)
        await asyncio.sleep(trouble.duration_s)
        store.fault = StoreFault.NONE
        await asyncio.sleep(1.0 if lapsed else 0.0)
        for name in lapsed:
            if not self.fleet.workers[name].has_crashed:
                store.put("servers", name, self.fleet.workers[name].row_value())

    def _active_owners(self) -> list[str]:
        return [
            owner
            for owner in self.fleet.owners().values()
            if not self.fleet.is_paused(owner)
        ]

    def _sample_entries(self, share: float) -> list[str]:
        """Return a random share of the entries, with up to two owners among them."""
        owners = self._active_owners()
        names = [name for name in self.fleet.entries if name not in owners]
        count = max(1, round(share * len(self.fleet.entries)))
        chosen = self.rng.sample(names, min(len(names), count))
        sampled_owners = self.rng.sample(owners, min(len(owners), 2))
        return sorted({*sampled_owners, *chosen[: max(0, count - len(sampled_owners))]})

    def _sample_workers(self, share: float) -> list[str]:
        names = [
            name
            for name, worker in self.fleet.workers.items()
            if not worker.has_crashed
        ]
        return self.rng.sample(names, max(1, round(share * len(names))))
