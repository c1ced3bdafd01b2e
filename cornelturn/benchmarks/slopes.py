"""Measures bytes, processor time and memory per unit for docs/CAPACITY.md.

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
from cornelturn.model.ticket import (
    AttemptId,
    Grant,
    HeldGrant,
    Report,
    ReportKind,
    Ticket,
)
from cornelturn.model.work import Queue, WorkClass
from cornelturn.peering.codec import Codec
from cornelturn.peering.dispatch_messages import Granted, Inventory, Offer, Reported
from cornelturn.peering.messages import (
    ConfigurationPushed,
    Heartbeat,
    InnerMessage,
    PeerAddress,
)
from cornelturn.routing.dispatcher import PoolDispatcher
from cornelturn.routing.run_times import RunTimes

KEY = bytes(16)
REPETITIONS = 2_000
QUEUES_PER_POOL = 4


def cost_us(call: Callable[[], object], repetitions: int = REPETITIONS) -> float:
    """Return the processor time per call in microseconds."""
    call()
    started_s = time.process_time()
    for _ in range(repetitions):
        call()
    return (time.process_time() - started_s) / repetitions * 1e6


def memory_bytes(make: Callable[[], object]) -> int:
    """Return the size of the memory that the result of a call keeps allocated."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    result = make()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del result
    return after - before


def make_ticket(number: int) -> Ticket:
    """Return a ticket of typical size."""
    attempt = AttemptId("entry-1", 1_796_380_776_243, number)
    return Ticket(attempt, f"{number:032x}", "lookup", "hospital", 2_000)


def make_heartbeat(peer_count: int) -> Heartbeat:
    """Return a heartbeat that lists a number of peers."""
    known = tuple(
        PeerAddress(
            f"entry-{number}", 1_796_380_776_243, f"tcp://127.0.0.1:{7000 + number}"
        )
        for number in range(peer_count)
    )
    own = PeerAddress("entry-x", 1_796_380_776_243, "tcp://127.0.0.1:7000")
    return Heartbeat(own, 1_000_000, 1_000_000, 1, 1, known, (), True, 1_000_000)


def make_configuration(pool_count: int) -> Configuration:
    """Return a configuration with `QUEUES_PER_POOL` queues for each pool."""
    queues = tuple(
        Queue(
            f"queue-{number}",
            f"pool-{number // 4}",
            WorkClass.URGENT,
            True,
            0.2,
            2_000,
            300,
        )
        for number in range(pool_count * QUEUES_PER_POOL)
    )
    presets = (Preset("ordinary"), Preset("peak"), Preset("maintenance"))
    pools = tuple(Pool(f"pool-{number}", 3) for number in range(pool_count))
    return Configuration(1, "ordinary", pools, queues, presets)


def print_message(name: str, message: InnerMessage) -> None:
    """Print the size and codec time of a frame with a single message."""
    codec = Codec("entry-x", 1, KEY)
    data = codec.encode("entry-x", [message])
    encode_us = cost_us(lambda: codec.encode("entry-x", [message]))
    decode_us = cost_us(lambda: codec.decode(data))
    print(
        f"{name:34s} {len(data):8d} bytes  encode {encode_us:7.1f} us  "
        f"decode {decode_us:7.1f} us"
    )


def print_messages() -> None:
    """Print the sizes and codec times of inner messages."""
    ticket = make_ticket(1)
    grant = Grant(
        ticket.attempt, "phone", "target-1", "http://127.0.0.1:80", 1, 1, 1, 1
    )
    report = Report(ticket.attempt, "phone", "target-1", ReportKind.COMPLETED, 300)
    print_message("ticket", Offer("phone", ticket))
    print_message("grant", Granted(grant))
    print_message("report", Reported(report))
    for peer_count in (9, 27, 90):
        print_message(f"heartbeat, {peer_count} peers", make_heartbeat(peer_count))
    for held_count in (10, 100, 1_000):
        grants = tuple(
            HeldGrant(make_ticket(number), "target-1", 1, 5)
            for number in range(held_count)
        )
        print_message(f"inventory, {held_count} held", Inventory("phone", (), grants))
    for pool_count in (5, 114):
        print_message(
            f"configuration, {pool_count} pools",
            ConfigurationPushed(make_configuration(pool_count)),
        )


def print_rows() -> None:
    """Print the sizes and decoding times of rows of the store."""
    instance = make_instances("phone", 1)[0]
    text = encode_instance(instance)
    decode_us = cost_us(lambda: decode_instance(text))
    decoded_bytes = memory_bytes(lambda: [decode_instance(text) for _ in range(1_000)])
    print(
        f"instance row {len(text)} bytes, decode {decode_us:.1f} us, "
        f"{decoded_bytes / 1_000:.0f} bytes of memory"
    )
    configuration_text = encode_configuration(make_configuration(114))
    read_us = cost_us(
        lambda: msgspec.json.decode(configuration_text, type=Configuration), 200
    )
    print(
        f"configuration row at 114 pools {len(configuration_text)} bytes, "
        f"decode {read_us:.0f} us"
    )


def make_full_dispatcher(target_count: int, waiting_count: int) -> PoolDispatcher:
    """Return a dispatcher with all slots in use and a backlog of waiting tickets."""
    dispatcher = PoolDispatcher("phone", random.Random(1))
    day_ms = 86_400_000
    queue = Queue("lookup", "phone", WorkClass.URGENT, True, 1.0, day_ms, 300)
    dispatcher.set_queues((queue,))
    dispatcher.set_instances(make_instances("phone", target_count), set(), 0)
    for number in range(target_count * 8 + waiting_count):
        ticket = make_ticket(number)
        day_ticket = Ticket(
            ticket.attempt, ticket.request, ticket.queue, ticket.member, day_ms
        )
        dispatcher.add_ticket("entry-1", day_ticket, 0)
    return dispatcher


def print_dispatcher() -> None:
    """Print the memory and tick time of dispatchers, and the memory of run times."""
    empty_bytes = memory_bytes(lambda: make_full_dispatcher(1, 0))
    large_bytes = memory_bytes(lambda: make_full_dispatcher(101, 0))
    print(
        f"dispatcher: {(large_bytes - empty_bytes) / 100:.0f} "
        "bytes a target with 8 grants"
    )
    backlog_bytes = memory_bytes(lambda: make_full_dispatcher(1, 1_000))
    print(
        f"dispatcher: {(backlog_bytes - empty_bytes) / 1_000:.0f} "
        "bytes a waiting ticket"
    )
    for target_count in (6, 307, 3_070):
        dispatcher = make_full_dispatcher(target_count, 0)
        tick_us = cost_us(lambda dispatcher=dispatcher: dispatcher.tick(1), 50)
        print(f"dispatcher: tick {tick_us:.0f} us at {target_count} targets")

    def make_run_times() -> list[RunTimes]:
        rng = random.Random(1)
        run_times = [RunTimes(300) for _ in range(100)]
        for times in run_times:
            for _ in range(300):
                times.record(rng.lognormvariate(5.7, 0.5))
        return run_times

    print(
        f"run times: {memory_bytes(make_run_times) / 100:.0f} bytes a queue and member"
    )


def main() -> None:
    """Print all measurements."""
    print_messages()
    print_rows()
    print_dispatcher()


if __name__ == "__main__":
    main()
