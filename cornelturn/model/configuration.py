"""Versioned configuration of pools, queues and presets, with one preset in force."""

from __future__ import annotations

from dataclasses import dataclass, replace

from cornelturn.model.fleet import Pool, Preset
from cornelturn.model.work import Queue


@dataclass(frozen=True, slots=True)
class Configuration:
    """Everything that operators configure.

    Parameters
    ----------
    generation : int
        Increases by one with every accepted change; 0 before the first.
    preset : str
        Name of the preset in force.
    pools, queues, presets : tuple
        Pools, queues and presets, each with a unique name.
    """

    generation: int = 0
    preset: str = ""
    pools: tuple[Pool, ...] = ()
    queues: tuple[Queue, ...] = ()
    presets: tuple[Preset, ...] = ()

    def queue(self, name: str) -> Queue | None:
        """Return the named queue with its share under the preset in force, if any."""
        for queue in self.queues:
            if queue.name == name:
                return self.with_preset_share(queue)
        return None

    def pool(self, name: str) -> Pool | None:
        """Return the named pool, if any."""
        return next((pool for pool in self.pools if pool.name == name), None)

    def preset_in_force(self) -> Preset | None:
        """Return the preset in force, None before the first configuration."""
        return next(
            (preset for preset in self.presets if preset.name == self.preset), None
        )

    def queues_of(self, pool: str) -> tuple[Queue, ...]:
        """Return the queues of a pool with their shares under the preset in force."""
        return tuple(
            self.with_preset_share(queue) for queue in self.queues if queue.pool == pool
        )

    def with_preset_share(self, queue: Queue) -> Queue:
        """Return the queue with its share under the preset in force."""
        preset = self.preset_in_force()
        if preset is None:
            return queue
        for queue_share in preset.shares:
            if queue_share.queue == queue.name:
                return replace(queue, share=queue_share.share)
        return queue
