"""Validated models of the configuration document that operators write.

Validation reports every error, also those between different parts of the document.
"""

from __future__ import annotations

from collections import Counter
from enum import StrEnum
from typing import Annotated

from pydantic import Field, model_validator

from cornelturn.model.configuration import Configuration
from cornelturn.model.fleet import Pool, PoolSize, Preset, QueueShare
from cornelturn.model.work import Queue, WorkClass
from cornelturn.settings.models import Name, StrictModel

MAX_DEADLINE_MS = 7 * 24 * 3_600_000
SHARE_TOLERANCE = 1e-9


class WorkClassName(StrEnum):
    """Names of the work classes in the document."""

    URGENT = "urgent"
    STANDARD = "standard"
    LONG = "long"


class PoolDocument(StrictModel):
    """A pool, its availability budget and its initial instances."""

    name: Name
    max_unavailable: Annotated[int, Field(ge=0)]
    instances: tuple[Name, ...] = ()


class QueueDocument(StrictModel):
    """A queue and the rules for its requests."""

    name: Name
    pool: Name
    work_class: WorkClassName
    idempotent: bool
    share: Annotated[float, Field(gt=0, le=1)]
    deadline_ms: Annotated[int, Field(gt=0, le=MAX_DEADLINE_MS)]
    run_ms: Annotated[int, Field(gt=0, le=MAX_DEADLINE_MS)]
    overflow: tuple[Name, ...] = ()


class PoolSizeDocument(StrictModel):
    """Desired number of instances of a pool under the preset."""

    pool: Name
    instances: Annotated[int, Field(ge=0)]


class QueueShareDocument(StrictModel):
    """Guaranteed share of a queue under the preset."""

    queue: Name
    share: Annotated[float, Field(gt=0, le=1)]


class PresetDocument(StrictModel):
    """A named set of pool sizes and queue shares."""

    name: Name
    sizes: tuple[PoolSizeDocument, ...] = ()
    shares: tuple[QueueShareDocument, ...] = ()
    maintenance: bool = False


class ConfigurationDocument(StrictModel):
    """The whole document: pools, queues, presets and the preset in force."""

    preset: Name
    pools: Annotated[tuple[PoolDocument, ...], Field(min_length=1)]
    queues: tuple[QueueDocument, ...]
    presets: Annotated[tuple[PresetDocument, ...], Field(min_length=1)]

    @model_validator(mode="after")
    def check_consistency(self) -> ConfigurationDocument:
        """Raise a ValueError that lists every inconsistency in the document."""
        problems = [
            *self._duplicates(),
            *self._unknown_names(),
            *self._instances_in_several_pools(),
            *self._excessive_shares(),
        ]
        if problems:
            raise ValueError("; ".join(problems))
        return self

    def to_configuration(self, generation: int) -> Configuration:
        """Return the document as a configuration of a generation."""
        return Configuration(
            generation=generation,
            preset=self.preset,
            pools=tuple(Pool(pool.name, pool.max_unavailable) for pool in self.pools),
            queues=tuple(_queue(queue) for queue in self.queues),
            presets=tuple(_preset(preset) for preset in self.presets),
        )

    def _duplicates(self) -> list[str]:
        problems: list[str] = []
        for kind, items in (
            ("pool", self.pools),
            ("queue", self.queues),
            ("preset", self.presets),
        ):
            counts = Counter(item.name for item in items)
            problems += [
                f"{kind} {name}: expected once, found {count} times"
                for name, count in counts.items()
                if count > 1
            ]
        return problems

    def _unknown_names(self) -> list[str]:
        pools = {pool.name for pool in self.pools}
        queues = {queue.name for queue in self.queues}
        presets = {preset.name for preset in self.presets}
        problems: list[str] = []
        if self.preset not in presets:
            problems.append(
                f"preset: expected one of {_join_names(presets)}, found {self.preset}"
            )
        for queue in self.queues:
            for pool in (queue.pool, *queue.overflow):
                if pool not in pools:
                    problems.append(
                        f"queue {queue.name}: expected a pool of {_join_names(pools)}, "
                        f"found {pool}"
                    )
        for preset in self.presets:
            unknown = [size.pool for size in preset.sizes if size.pool not in pools]
            unknown += [
                share.queue for share in preset.shares if share.queue not in queues
            ]
            problems += [
                f"preset {preset.name}: expected a known pool or queue, found {name}"
                for name in unknown
            ]
        return problems

    def _instances_in_several_pools(self) -> list[str]:
        counts = Counter(name for pool in self.pools for name in pool.instances)
        return [
            f"instance {name}: expected in one pool, found in {count}"
            for name, count in counts.items()
            if count > 1
        ]

    def excessive_budgets(self) -> list[str]:
        """Return problems of pools whose initial instances could all be unavailable."""
        return [
            f"pool {pool.name}: expected max_unavailable below the "
            f"{len(pool.instances)} instances, found {pool.max_unavailable}"
            for pool in self.pools
            if pool.instances and pool.max_unavailable >= len(pool.instances)
        ]

    def _excessive_shares(self) -> list[str]:
        problems: list[str] = []
        for preset in self.presets:
            preset_shares = {share.queue: share.share for share in preset.shares}
            for pool in self.pools:
                total = sum(
                    preset_shares.get(queue.name, queue.share)
                    for queue in self.queues
                    if queue.pool == pool.name
                )
                if total > 1 + SHARE_TOLERANCE:
                    problems.append(
                        f"preset {preset.name}, pool {pool.name}: expected shares of "
                        f"1 at most, found {total:g}"
                    )
        return problems


def _join_names(names: set[str]) -> str:
    return ", ".join(sorted(names))


def _queue(document: QueueDocument) -> Queue:
    return Queue(
        name=document.name,
        pool=document.pool,
        work_class=WorkClass[document.work_class.name],
        idempotent=document.idempotent,
        share=document.share,
        deadline_ms=document.deadline_ms,
        run_ms=document.run_ms,
        overflow=document.overflow,
    )


def _preset(document: PresetDocument) -> Preset:
    return Preset(
        name=document.name,
        sizes=tuple(PoolSize(size.pool, size.instances) for size in document.sizes),
        shares=tuple(QueueShare(share.queue, share.share) for share in document.shares),
        maintenance=document.maintenance,
    )
