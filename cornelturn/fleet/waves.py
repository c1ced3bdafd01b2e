"""Maintenance waves: their rows, order of instances and progress."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import StrEnum

import msgspec

from cornelturn.fleet.budget import BudgetView
from cornelturn.model.fleet import Instance, InstanceState

WAVE_PREFIX = "wave/"
REASON_PREFIX = "wave:"


class WaveState(StrEnum):
    """State of a maintenance wave."""

    RUNNING = "running"
    PAUSED = "paused"
    CANCELLED = "cancelled"
    DONE = "done"


class DrainPolicy(StrEnum):
    """What to do about tasks that delay a drain."""

    WAIT = "wait"
    CHECKPOINT = "checkpoint"


@dataclass(frozen=True, slots=True)
class Wave:
    """Maintenance wave over the instances of a pool.

    Parameters
    ----------
    pool : str
        The pool.
    number : int
        Number of the wave, increasing within each pool.
    state : WaveState
        State.
    policy : DrainPolicy
        What to do about tasks that delay a drain.
    pending : tuple of str
        Instances that are still to be taken out of service.
    done : tuple of str
        Instances that have returned to service.
    elapsed_ms : int
        Time for which the wave has been running, summed over all its controllers.
    note : str
        Why the wave does not advance, empty if it does.
    """

    pool: str
    number: int
    state: WaveState
    policy: DrainPolicy
    pending: tuple[str, ...]
    done: tuple[str, ...] = ()
    elapsed_ms: int = 0
    note: str = ""

    def reason(self) -> str:
        """Return the reason that is stored in the rows of its instances."""
        return f"{REASON_PREFIX}{self.pool}:{self.number}"

    def is_open(self) -> bool:
        """Return whether a controller must still act on the wave."""
        return self.state in (WaveState.RUNNING, WaveState.PAUSED)


@dataclass(frozen=True, slots=True)
class WaveProgress:
    """Progress of a wave.

    Parameters
    ----------
    total, done, working, pending : int
        Number of instances in all, done, out of service and pending.
    estimate_ms : int or None
        Remaining time at the pace so far, None before the first instance is done.
    """

    total: int
    done: int
    working: int
    pending: int
    estimate_ms: int | None


def new_wave(
    pool: str, number: int, policy: DrainPolicy, instances: list[Instance]
) -> Wave:
    """Return a wave over all instances of a pool, rack by rack."""
    return Wave(pool, number, WaveState.RUNNING, policy, rack_order(instances))


def rack_order(instances: list[Instance]) -> tuple[str, ...]:
    """Return the names of instances, ordered by data centre, rack and name."""
    ordered = sorted(
        instances,
        key=lambda instance: (instance.data_centre, instance.rack, instance.name),
    )
    return tuple(instance.name for instance in ordered)


def next_instances(
    wave: Wave, pool_instances: list[Instance], budget: BudgetView
) -> tuple[str, ...]:
    """Return the instances to take out of service now.

    The result is empty while failures use the whole budget. Within the budget the
    order of the wave is kept, so that a rack is finished before the next one begins.
    """
    if wave.state is not WaveState.RUNNING or is_budget_used_by_failures(budget):
        return ()
    in_service = {
        instance.name
        for instance in pool_instances
        if instance.state is InstanceState.IN_SERVICE
    }
    ready = [name for name in wave.pending if name in in_service]
    return tuple(ready[: budget.remaining()])


def is_budget_used_by_failures(budget: BudgetView) -> bool:
    """Return whether failures alone use up the whole budget."""
    return budget.failing > 0 and budget.failing >= budget.pool.max_unavailable


def wave_instances(wave: Wave, instances: list[Instance]) -> list[Instance]:
    """Return the instances that the wave has taken out of service now."""
    reason = wave.reason()
    return [instance for instance in instances if instance.reason == reason]


def without_departed(wave: Wave, instances: list[Instance]) -> Wave:
    """Return the wave without pending instances that are done or have left the pool."""
    remaining = {instance.name for instance in instances if instance.pool == wave.pool}
    remaining -= set(wave.done)
    return replace(
        wave, pending=tuple(name for name in wave.pending if name in remaining)
    )


def wave_progress(wave: Wave, instances: list[Instance]) -> WaveProgress:
    """Return the progress of a wave."""
    working = len(wave_instances(wave, instances))
    done = len(wave.done)
    pending = len(wave.pending)
    estimate_ms = None
    if done:
        estimate_ms = round(wave.elapsed_ms / done * (working + pending))
    return WaveProgress(done + working + pending, done, working, pending, estimate_ms)


def wave_key(pool: str) -> str:
    """Return the key of the row of the latest wave of a pool."""
    return f"{WAVE_PREFIX}{pool}"


def encode_wave(wave: Wave) -> str:
    """Return the JSON text of a wave."""
    return msgspec.json.encode(wave).decode()


def decode_wave(text: str) -> Wave:
    """Return the wave of a JSON text."""
    return msgspec.json.decode(text, type=Wave)
