"""Slopes for docs/CAPACITY.md: bytes, processor time and memory of each part.

Run ``python -m cornelturn.benchmarks.slopes``.
"""

from __future__ import annotations

import random
import time
import tracemalloc
from collections.abc import Callable

import msgspec

from cornelturn.benchmarks.simulation import make_instances
from cornelturn.fleet.configuration import encode_configuration
from cornelturn.fleet.registry import decode_instance, encode_instance
from cornelturn.model.configuration import Configuration
from cornelturn.model.fleet import Pool, Preset
from cornelturn.model.ticket import AttemptId, Grant, HeldGrant, Report, ReportKind
from cornelturn.model.ticket import Ticket as ModelTicket
from cornelturn.model.work import Queue, WorkClass
from cornelturn.peering.codec import Codec
from cornelturn.peering.messages import (
    ConfigurationPushed,
    Granted,
    Heartbeat,
    InnerMessage,
    Inventory,
    Offer,
    PeerAddress,
    Reported,
)
from cornelturn.routing.dispatcher import PoolDispatcher
from cornelturn.routing.run_times import RunTimes

KEY = bytes(16)
REPEATS = 2_000
QUEUES_A_POOL = 4


def cost_us(work: Callable[[], object], repeats: int = REPEATS) -> float:
    """Return microseconds of processor time of a call."""
    work()
    started_s = time.process_time()
    for _ in range(repeats):
        work()
    return (time.process_time() - started_s) / repeats * 1e6


def memory_bytes(make: Callable[[], object]) -> int:
    """Return the memory that the result of a call holds."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    kept = make()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return after - before


def ticket(number: int) -> ModelTicket:
    """Return a ticket of usual size."""
    attempt = AttemptId("entry-1", 1_796_380_776_243, number)
    return ModelTicket(attempt, f"{number:032x}", "lookup", "hospital", 2_000)


def heartbeat(peers: int) -> Heartbeat:
    """Return a heartbeat that names some peers."""
    known = tuple(
        PeerAddress(f"entry-{at}", 1_796_380_776_243, f"tcp://127.0.0.1:{7000 + at}")
        for at in range(peers)
    )
    own = PeerAddress("entry-x", 1_796_380_776_243, "tcp://127.0.0.1:7000")
    return Heartbeat(own, 1_000_000, 1_000_000, 1, 1, known, (), True, 1_000_000)


def configuration(pools: int) -> Configuration:
    """Return a configuration with four queues for each pool."""
    queues = tuple(
        Queue(f"queue-{at}", f"pool-{at // 4}", WorkClass.URGENT, True, 0.2, 2_000, 300)
        for at in range(pools * QUEUES_A_POOL)
    )
    presets = (Preset("ordinary"), Preset("peak"), Preset("maintenance"))
    names = tuple(Pool(f"pool-{at}", 3) for at in range(pools))
    return Configuration(1, "ordinary", names, queues, presets)


def show_message(name: str, message: InnerMessage) -> None:
    """Print bytes and codec time of a message in a frame of its own."""
    codec = Codec("entry-x", 1, KEY)
    data = codec.encode("entry-x", [message])
    encode_us = cost_us(lambda: codec.encode("entry-x", [message]))
    decode_us = cost_us(lambda: codec.decode(data))
    print(
        f"{name:34s} {len(data):8d} bytes  encode {encode_us:7.1f} us  "
        f"decode {decode_us:7.1f} us"
    )


def show_messages() -> None:
    """Print the inner messages."""
    one = ticket(1)
    grant = Grant(one.attempt, "phone", "target-1", "http://127.0.0.1:80", 1, 1, 1, 1)
    report = Report(one.attempt, "phone", "target-1", ReportKind.COMPLETED, 300)
    show_message("ticket", Offer("phone", one))
    show_message("grant", Granted(grant))
    show_message("report", Reported(report))
    for peers in (9, 27, 90):
        show_message(f"heartbeat, {peers} peers", heartbeat(peers))
    for held in (10, 100, 1_000):
        grants = tuple(HeldGrant(ticket(at), "target-1", 1, 5) for at in range(held))
        show_message(f"inventory, {held} held", Inventory("phone", (), grants))
    for pools in (5, 114):
        show_message(
            f"configuration, {pools} pools", ConfigurationPushed(configuration(pools))
        )


def show_rows() -> None:
    """Print rows of the table."""
    instance = make_instances("phone", 1)[0]
    text = encode_instance(instance)
    decode_us = cost_us(lambda: decode_instance(text))
    memory = memory_bytes(lambda: [decode_instance(text) for _ in range(1_000)])
    print(
        f"instance row {len(text)} bytes, decode {decode_us:.1f} us, "
        f"{memory / 1_000:.0f} bytes of memory"
    )
    whole = encode_configuration(configuration(114))
    read_us = cost_us(lambda: msgspec.json.decode(whole, type=Configuration), 200)
    print(f"configuration row at 114 pools {len(whole)} bytes, decode {read_us:.0f} us")


def full_dispatcher(targets: int, waiting: int) -> PoolDispatcher:
    """Return a dispatcher whose slots are all in use, with a backlog."""
    dispatcher = PoolDispatcher("phone", random.Random(1))
    day_ms = 86_400_000
    queue = Queue("lookup", "phone", WorkClass.URGENT, True, 1.0, day_ms, 300)
    dispatcher.set_queues((queue,))
    dispatcher.set_instances(make_instances("phone", targets), set(), 0)
    for number in range(targets * 8 + waiting):
        one = ticket(number)
        offered = ModelTicket(one.attempt, one.request, one.queue, one.member, day_ms)
        dispatcher.add_ticket("entry-1", offered, 0)
    return dispatcher


def show_dispatcher() -> None:
    """Print memory and tick time of a dispatcher."""
    empty = memory_bytes(lambda: full_dispatcher(1, 0))
    large = memory_bytes(lambda: full_dispatcher(101, 0))
    print(f"dispatcher: {(large - empty) / 100:.0f} bytes a target with 8 grants")
    backlog = memory_bytes(lambda: full_dispatcher(1, 1_000))
    print(f"dispatcher: {(backlog - empty) / 1_000:.0f} bytes a waiting ticket")
    for targets in (6, 307, 3_070):
        dispatcher = full_dispatcher(targets, 0)
        tick_us = cost_us(lambda one=dispatcher: one.tick(1), 50)
        print(f"dispatcher: tick {tick_us:.0f} us at {targets} targets")

    def learnt() -> list[RunTimes]:
        rng = random.Random(1)
        found = [RunTimes(300) for _ in range(100)]
        for one in found:
            for _ in range(300):
                one.record(rng.lognormvariate(5.7, 0.5))
        return found

    print(f"run times: {memory_bytes(learnt) / 100:.0f} bytes a queue and member")


def main() -> None:
    """Print all slopes."""
    show_messages()
    show_rows()
    show_dispatcher()


if __name__ == "__main__":
    main()
