"""Maintenance waves: which instance goes next, and how far a wave has come."""

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
    """What happens to tasks that hold up a drain."""

    WAIT = "wait"
    CHECKPOINT = "checkpoint"


@dataclass(frozen=True, slots=True)
class Wave:
    """A maintenance wave over a pool.

    Parameters
    ----------
    pool : str
        The pool.
    number : int
        Number of the wave, rising for each pool.
    state : WaveState
        State.
    policy : DrainPolicy
        What happens to tasks that hold up a drain.
    pending : tuple of str
        Instances still to be taken out.
    done : tuple of str
        Instances that are back.
    elapsed_ms : int
        Time that the wave has run, over all of its controllers.
    note : str
        Why it stands still, empty if it does not.
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
        """Return the reason kept in the rows of its instances."""
        return f"{REASON_PREFIX}{self.pool}:{self.number}"

    def is_open(self) -> bool:
        """Return whether a controller has work to do for it."""
        return self.state in (WaveState.RUNNING, WaveState.PAUSED)


@dataclass(frozen=True, slots=True)
class WaveProgress:
    """How far a wave has come.

    Parameters
    ----------
    total, done, working, pending : int
        Instances.
    estimate_ms : int or None
        Time left at the pace so far, None before the first instance is back.
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
    """Return names ordered by data centre, rack and name."""
    ordered = sorted(
        instances,
        key=lambda instance: (instance.data_centre, instance.rack, instance.name),
    )
    return tuple(instance.name for instance in ordered)


def next_instances(
    wave: Wave, pool_instances: list[Instance], budget: BudgetView
) -> tuple[str, ...]:
    """Return the instances to take out now.

    None while failures use the whole budget. Within the budget the order of the
    wave holds, so that a rack is finished before the next one begins.
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
    """Return whether failures alone leave no room for planned work."""
    return budget.failing > 0 and budget.failing >= budget.pool.max_unavailable


def wave_instances(wave: Wave, instances: list[Instance]) -> list[Instance]:
    """Return the instances that the wave has out of service now."""
    reason = wave.reason()
    return [instance for instance in instances if instance.reason == reason]


def without_departed(wave: Wave, instances: list[Instance]) -> Wave:
    """Return the wave without pending instances that are done or left the pool."""
    remaining = {instance.name for instance in instances if instance.pool == wave.pool}
    remaining -= set(wave.done)
    return replace(
        wave, pending=tuple(name for name in wave.pending if name in remaining)
    )


def wave_progress(wave: Wave, instances: list[Instance]) -> WaveProgress:
    """Return how far a wave has come."""
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
