"""Faults drawn for the simulation of silent holders."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace

END_MS = 20_000
"""When the simulation ends."""


@dataclass(frozen=True)
class Fault:
    """A fault or a change that affects some of the entries.

    Parameters
    ----------
    affected : frozenset of int
        Numbers of the entries.
    """

    at_ms: int
    for_ms: int
    kind: str
    affected: frozenset[int]


KIND_WEIGHTS = {
    "cut_store": 8,
    "lost_writes": 2,
    "lost_answers": 1,
    "late_store": 2,
    "cut_links": 2,
    "freeze": 2,
    "lose_history": 1,
    "stop": 2,
    "restart": 2,
    "join": 3,
}
"""Relative frequency of each kind of fault."""

GROUPS_MOSTLY_SOUND = ("sound", "sound", "with", "before", "back")
GROUPS_MOSTLY_RECOVERED = ("sound", "with", "before", "back", "back")
"""When entries lose the store: never, with the holder, before it, or until then."""


def draw_faults(rng: random.Random, number: int) -> list[Fault]:
    """Return faults of which the first affects the holder, often with others."""
    began_ms = rng.randint(2_000, 6_000)
    first = _draw_fault(rng, number, rng.choice(("cut_store", "lost_writes")))
    first = replace(first, at_ms=began_ms, for_ms=END_MS, affected=first.affected | {0})
    faults = [first] if rng.random() < 0.9 else []
    for _ in range(rng.randint(0, 6)):
        (kind,) = rng.choices(list(KIND_WEIGHTS), list(KIND_WEIGHTS.values()))
        fault = _draw_fault(rng, number, kind)
        at_ms = max(500, began_ms + rng.randint(-2_000, 6_000))
        faults.append(replace(fault, at_ms=at_ms))
    return faults


def draw_groups(rng: random.Random, number: int) -> list[Fault]:
    """Return faults by which rows of live entries are deleted and entries join.

    Some entries lose the store with the holder, some long before it, and some come back
    once the holder has lost it.
    """
    began_ms = rng.randint(8_500, 10_500)
    faults = [Fault(began_ms, END_MS, "cut_store", frozenset({0}))]
    groups = rng.choice((GROUPS_MOSTLY_SOUND, GROUPS_MOSTLY_RECOVERED))
    for entry_number in range(1, number):
        match rng.choice(groups):
            case "with":
                at_ms, end_ms = began_ms + rng.randint(-500, 500), END_MS
            case "before":
                at_ms, end_ms = rng.randint(1_000, began_ms), END_MS
            case "back":
                at_ms = rng.randint(300, 2_000)
                end_ms = began_ms + rng.randint(-1_000, 2_500)
            case _:
                continue
        cut = Fault(at_ms, end_ms - at_ms, "cut_store", frozenset({entry_number}))
        faults.append(cut)
    for kind in rng.choices(("join", "lose_history", "restart"), (4, 1, 1), k=4):
        at_ms = began_ms + rng.randint(-1_000, 8_000)
        entry_number = rng.randrange(1, number)
        faults.append(Fault(at_ms, 0, kind, frozenset({entry_number})))
    return faults


def draw_split(rng: random.Random, number: int) -> list[Fault]:
    """Return faults by which two halves lose each other, and the store at other times.

    Each entry of the holder's half loses the store at a moment of its own, some of the
    other half do so for a while, and the halves may find each other before the end.
    """
    began_ms = rng.randint(3_000, 6_000)
    half = frozenset(rng.sample(range(1, number), rng.randrange(number))) | {0}
    split_ms = began_ms + rng.randint(-2_000, 2_000)
    faults = [Fault(split_ms, rng.choice((2_500, 5_000, END_MS)), "cut_links", half)]
    for entry_number in range(number):
        is_with_holder = entry_number in half
        if not is_with_holder and rng.random() < 0.5:
            continue
        at_ms = max(500, began_ms + rng.randint(-2_500, 4_000))
        for_ms = rng.choice((1_500, 3_000, 6_000, END_MS))
        affected = frozenset({entry_number})
        faults.append(Fault(at_ms, for_ms, "cut_store", affected))
        if rng.random() < 0.5:
            again_ms = at_ms + for_ms + rng.randint(500, 2_500)
            faults.append(Fault(again_ms, for_ms, "cut_store", affected))
    return faults


def _draw_fault(rng: random.Random, number: int, kind: str) -> Fault:
    affected = frozenset(rng.sample(range(number), rng.randint(1, number)))
    return Fault(0, rng.choice((1_500, 2_500, 4_000, 9_000)), kind, affected)
