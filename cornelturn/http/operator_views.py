"""Bodies of responses to operators, encoded as JSON."""

from __future__ import annotations

import msgspec


class EntryView(msgspec.Struct, frozen=True):
    """One entry in GET /entries."""

    name: str
    incarnation: int
    state: str
    ready: bool
    generation: int


class PoolView(msgspec.Struct, frozen=True):
    """One pool in GET /pools."""

    name: str
    instances: int
    in_service: int
    max_unavailable: int
    unavailable: int
    queues: tuple[str, ...]


class InstanceView(msgspec.Struct, frozen=True):
    """One instance in GET /instances."""

    name: str
    pool: str
    data_centre: str
    rack: str
    state: str
    reason: str
    move_to: str
    leaving: bool
    up: bool
    slots: int


class RequestLine(msgspec.Struct, frozen=True):
    """One request in GET /requests."""

    request: str
    member: str
    queue: str
    state: str
    target: str
    reason: str
    detail: str


class WaveView(msgspec.Struct, frozen=True):
    """Body of responses about maintenance waves."""

    pool: str
    number: int
    state: str
    policy: str
    total: int
    done: int
    working: int
    pending: int
    elapsed_ms: int
    estimate_ms: int | None
    note: str


class ProblemList(msgspec.Struct, frozen=True):
    """Body of a response that lists every error."""

    title: str
    status: int
    problems: tuple[str, ...]


class ConflictView(msgspec.Struct, frozen=True):
    """Body of a 412 response: the configuration that another change put in force."""

    title: str
    status: int
    expected_generation: int
    found_generation: int
    preset: str
