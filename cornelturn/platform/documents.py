"""Wire formats of the platform's documents and their conversion to the core types.

The documents are jobs, the configuration, workers, waves and machines. The platform's
words (service, worker, zone) are translated here; other packages do not use them.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Annotated

import msgspec
from msgspec import Meta
from result import Err, Ok, Result

from cornelturn.clock import MILLISECONDS_PER_SECOND
from cornelturn.jobs.model import JobSpec, Recurrence, Resources, Step
from cornelturn.model.decoding import Amount, Count, DocumentError, try_decode
from cornelturn.model.documents import (
    ConfigurationRow,
    OperatorRow,
    OtherRow,
    WaveRow,
)
from cornelturn.model.organisations import (
    DEFAULT_WEIGHT,
    NO_ORGANISATION,
    Organisation,
    key_digest,
)
from cornelturn.model.routes import (
    ApprovalTimes,
    CallerLimits,
    JobPool,
    JobQueue,
    RoutingTable,
)
from cornelturn.model.upkeep import Machine, MachineState, UpkeepWave
from cornelturn.store.rows import Row
from cornelturn.targets.address import MAX_QUOTED_CHARS, TargetAddress, parse_address
from cornelturn.targets.model import ListedTarget, TargetLife

CONFIGURATION_KEY = "op//config"
OPERATOR_TABLE = "op"
WAVE_PREFIX = "op//wave/"
TARGETS_TABLE = "servers"
STATUS_TABLE = "status"
MAX_STEPS = 100
MAX_TASKS = 10_000
MAX_OCCURRENCES = 100_000

MAX_SLACK_FACTOR = 1e6
MAX_WEIGHT = 1e9
MAX_DURATION_S = 1e9
MAX_APPROVAL_MS = 1e9


class WireStep(msgspec.Struct, frozen=True):
    """A step of a job; fields whose value is 0, false or empty may be missing."""

    count: Annotated[int, Meta(ge=1, le=MAX_TASKS)]
    cpu: Amount = 0
    mem_mb: Amount = 0
    gpu: Amount = 0
    estimated_ms: Count = 0
    after: tuple[Count, ...] = ()
    requires: str = ""
    affinity: str = ""
    anti_affinity: Count = 0
    gang: bool = False
    same_rack: bool = False
    checkpointing: bool = False
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: Count = 0
    # A flag, despite its name; numbers are accepted as well.
    fill_count: bool | Count = False
    max_unavailable: Count = 0


class WireJob(msgspec.Struct, frozen=True):
    """Request body of a job submission."""

    spec: Annotated[str, Meta(max_length=4_000)]
    phases: Annotated[tuple[WireStep, ...], Meta(min_length=1, max_length=MAX_STEPS)]
    repeat_count: Annotated[int, Meta(ge=0, le=MAX_OCCURRENCES)] = 0
    start_at_ms: Count = 0
    interval_ms: Count = 0


class WireRoute(msgspec.Struct, frozen=True):
    """A route; the rest of the code calls it a queue."""

    name: str
    host: str
    path_prefix: str
    service: str
    priority: Count = 0
    max_attempts: Count = 1
    slack_factor: Annotated[float, Meta(ge=0, le=MAX_SLACK_FACTOR)] = 1.0
    target_latency_ms: Count = 0
    hint: dict[str, float] | None = None
    public: bool = False


class WireService(msgspec.Struct, frozen=True):
    """A service; the rest of the code calls it a pool."""

    name: str
    enforce_capacity: bool = False
    standby: bool = False


class WireLimits(msgspec.Struct, frozen=True):
    """Limits of callers' requests."""

    max_header_bytes: Count = 16_384
    max_body_bytes: Count = 262_144
    header_timeout_ms: Count = 3_000
    idle_timeout_ms: Count = 15_000


class WireCap(msgspec.Struct, frozen=True):
    """Limit of what a tenant has running; 0 is no limit."""

    cpu: Amount = 0
    mem_mb: Amount = 0
    gpu: Amount = 0


class WireTenant(msgspec.Struct, frozen=True):
    """A tenant; the rest of the code calls it an organisation."""

    name: str
    api_keys: tuple[str, ...] = ()
    weight: Annotated[float, Meta(ge=0, le=MAX_WEIGHT)] = 0.0
    cap: WireCap = WireCap()


class WireConfiguration(msgspec.Struct, frozen=True):
    """The operator's complete configuration."""

    version: Count
    routes: tuple[WireRoute, ...] = ()
    services: tuple[WireService, ...] = ()
    limits: WireLimits = WireLimits()
    tenants: tuple[WireTenant, ...] | None = None


class WireCapacity(msgspec.Struct, frozen=True):
    """Total resources of a worker."""

    cpu: Amount
    mem_mb: Amount
    gpu: Amount = 0


class WireWorker(msgspec.Struct, frozen=True):
    """Value of the row of a worker in the list of workers, written by the worker."""

    service: str
    addr: str
    state: str
    capacity: WireCapacity
    zone: str = ""
    labels: tuple[str, ...] = ()
    born: Count = 0


class WireWave(msgspec.Struct, frozen=True):
    """A wave of upkeep; at most ``cap`` machines may be down at once."""

    rollout_batch: Count
    machines: tuple[str, ...]
    duration_s: Annotated[float, Meta(ge=0, le=MAX_DURATION_S)]
    cap: Count


class WireMachine(msgspec.Struct, frozen=True):
    """A machine; ``id`` is the name of the worker that runs on it, if any."""

    host_id: str
    pool: str
    state: str
    id: str | None = None


class WireMachines(msgspec.Struct, frozen=True):
    """A page of the list of machines."""

    machines: tuple[WireMachine, ...]
    next_token: str | int | None = None


class WireWaveStatus(msgspec.Struct, frozen=True):
    """Progress of a wave, as published to the operator."""

    state: str


class WireState(msgspec.Struct, frozen=True):
    """Response to a query of a job's state."""

    state: str


class WirePending(msgspec.Struct, frozen=True):
    """Response to a query of the number of pending jobs of a queue."""

    pending: int


JOB_DECODER = msgspec.json.Decoder(WireJob)
CONFIGURATION_DECODER = msgspec.json.Decoder(WireConfiguration)
WORKER_DECODER = msgspec.json.Decoder(WireWorker)
WAVE_DECODER = msgspec.json.Decoder(WireWave)
MACHINES_DECODER = msgspec.json.Decoder(WireMachines)


def decode_job_body(
    body: bytes,
    job: str,
    queue: str,
    pool: str,
    organisation: str = NO_ORGANISATION,
    queue_id: str = "",
) -> Result[JobSpec, DocumentError]:
    """Decode the body of a job submission."""
    decoded_job = try_decode(JOB_DECODER.decode, body)
    return decoded_job.and_then(
        lambda wire: _job_from_wire(
            wire, JobSpec(job, queue, pool, "", (), None, organisation, queue_id)
        )
    )


def _job_from_wire(wire: WireJob, submitted: JobSpec) -> Result[JobSpec, DocumentError]:
    """Return a job with the body of its submission, which is checked."""
    for number, step in enumerate(wire.phases):
        if any(earlier >= number for earlier in step.after):
            return Err(DocumentError(f"step {number}: expected earlier steps in after"))
    recurrence = None
    if wire.repeat_count > 0:
        recurrence = Recurrence(wire.repeat_count, wire.start_at_ms, wire.interval_ms)
    steps = tuple(_step_from_wire(step) for step in wire.phases)
    return Ok(replace(submitted, spec=wire.spec, steps=steps, recurrence=recurrence))


def _step_from_wire(wire: WireStep) -> Step:
    return Step(
        count=wire.count,
        need=Resources(wire.cpu, wire.mem_mb, wire.gpu),
        estimated_ms=wire.estimated_ms,
        after=wire.after,
        required_label=wire.requires,
        near_rack=wire.affinity,
        max_per_target=wire.anti_affinity,
        is_gang=wire.gang,
        is_one_rack=wire.same_rack,
        is_checkpointing=wire.checkpointing,
        may_run_copies=wire.speculative,
        is_lasting=wire.long_running,
        image=wire.image,
        tail_limit_ms=wire.target_ms,
        is_filling=bool(wire.fill_count),
        max_unavailable=wire.max_unavailable,
    )


def decode_configuration(text: str) -> Result[RoutingTable, DocumentError]:
    """Decode the operator's configuration into a routing table."""
    return try_decode(CONFIGURATION_DECODER.decode, text).map(_routing_table_from_wire)


def _routing_table_from_wire(wire: WireConfiguration) -> RoutingTable:
    queues = tuple(
        JobQueue(
            name=route.name,
            host=route.host,
            path_prefix=route.path_prefix,
            pool=route.service,
            priority=route.priority,
            max_attempts=route.max_attempts,
            slack_factor=route.slack_factor,
            slack_ms=route.target_latency_ms,
            approval=_approval_from_wire(route.hint),
            is_public=route.public,
        )
        for route in wire.routes
    )
    pools = tuple(
        JobPool(service.name, service.enforce_capacity, service.standby)
        for service in wire.services
    )
    limits = CallerLimits(*msgspec.structs.astuple(wire.limits))
    return RoutingTable(
        wire.version,
        queues,
        pools,
        limits,
        organisations=tuple(map(_organisation_from_wire, wire.tenants or ())),
        requires_keys=wire.tenants is not None,
    )


def _approval_from_wire(hint: dict[str, float] | None) -> ApprovalTimes | None:
    if not hint:
        return None
    names = ("decision_ms", "period_ms", "validity_ms")
    times = (min(max(0.0, hint.get(name, 0.0)), MAX_APPROVAL_MS) for name in names)
    return ApprovalTimes(*map(round, times))


def _organisation_from_wire(wire: WireTenant) -> Organisation:
    cap = Resources(wire.cap.cpu, wire.cap.mem_mb, wire.cap.gpu)
    digests = frozenset(map(key_digest, wire.api_keys))
    return Organisation(wire.name, wire.weight or DEFAULT_WEIGHT, cap, digests)


def decode_target(row: Row) -> Result[ListedTarget, DocumentError]:
    """Decode a row of the list of workers into a target."""
    decoded_worker = try_decode(WORKER_DECODER.decode, row.value)
    return decoded_worker.and_then(lambda wire: _target_from_wire(row, wire))


def _target_from_wire(
    row: Row, wire: WireWorker
) -> Result[ListedTarget, DocumentError]:
    if wire.state not in ("ready", "draining"):
        shown = wire.state[:MAX_QUOTED_CHARS]
        return Err(DocumentError(f"state: expected ready or draining: {shown}"))
    match parse_address(wire.addr):
        case Ok(address):
            return Ok(_listed_target(row, wire, address))
        case Err(error):
            return Err(DocumentError(f"addr: {error.detail}"))


def _listed_target(row: Row, wire: WireWorker, address: TargetAddress) -> ListedTarget:
    name = row.key.split("/", 2)[2]
    # The last label is the rack; the first is the kind of machine.
    rack = wire.labels[-1] if wire.labels else ""
    return ListedTarget(
        life=TargetLife(name, wire.born),
        pool=wire.service,
        address=address,
        data_centre=wire.zone,
        rack=rack,
        labels=frozenset(wire.labels),
        capacity=Resources(wire.capacity.cpu, wire.capacity.mem_mb, wire.capacity.gpu),
        is_draining=wire.state == "draining",
    )


def decode_wave(text: str) -> Result[UpkeepWave, DocumentError]:
    """Decode the wave of upkeep that the operator requests."""
    return try_decode(WAVE_DECODER.decode, text).map(_wave_from_wire)


def _wave_from_wire(wire: WireWave) -> UpkeepWave:
    duration_ms = round(wire.duration_s * MILLISECONDS_PER_SECOND)
    return UpkeepWave(wire.rollout_batch, wire.machines, duration_ms, wire.cap)


class PlatformDocuments:
    """Decoder of the store rows that the platform's operator and workers write."""

    operator_table = OPERATOR_TABLE
    targets_table = TARGETS_TABLE

    def decode_operator_row(self, row: Row) -> Result[OperatorRow, DocumentError]:
        """Decode a row of the operator's table."""
        if row.key == CONFIGURATION_KEY:
            return Ok(ConfigurationRow(row.value))
        if row.key.startswith(WAVE_PREFIX):
            return decode_wave(row.value).map(WaveRow)
        return Ok(OtherRow())

    def decode_configuration(self, text: str) -> Result[RoutingTable, DocumentError]:
        """Decode the text of a configuration."""
        return decode_configuration(text)

    def decode_target(self, row: Row) -> Result[ListedTarget, DocumentError]:
        """Decode a row of the list of workers into a target."""
        return decode_target(row)


def wave_status_key(number: int) -> str:
    """Return the key of the row that holds the progress of a wave."""
    return f"{STATUS_TABLE}//wave/{number}"


def encode_wave_status(is_completed: bool) -> str:
    """Encode the progress of a wave for the operator."""
    state = "completed" if is_completed else "running"
    return msgspec.json.encode(WireWaveStatus(state)).decode()


def machine_from_wire(wire: WireMachine) -> Machine | None:
    """Convert a machine; return None if its state is unknown to this version."""
    try:
        state = MachineState(wire.state)
    except ValueError:
        return None
    return Machine(wire.host_id, wire.pool, state, wire.id or "")
