"""Measures what peers cost an entry without duties, by part and number of entries.

Run ``python -m cornelturn.benchmarks.peers``. Each row gives the processor time and
the traffic of one entry per second. Each peer sends the entry the same heartbeats and
frames that the entry sends it.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from absl import logging
from prometheus_client import CollectorRegistry, Counter
from result import Ok, Result

from cornelturn.clock import MILLISECONDS_PER_SECOND, ManualTime
from cornelturn.entry.job_membership import JOB_HEARTBEAT_INTERVAL_S, job_membership
from cornelturn.fleet.lease import LeaseRow, encode_lease
from cornelturn.jobs.service import JobService
from cornelturn.ownership.duties import (
    DutyRow,
    HeldTarget,
    duty_key,
    encode_duty,
    entry_key,
)
from cornelturn.ownership.keeper import DutyKeeper
from cornelturn.ownership.messages import ReconcileDue
from cornelturn.peering.codec import Codec
from cornelturn.peering.hub import (
    BatchReceived,
    HeartbeatsDue,
    Hub,
    LiveEntries,
    LocalStatusChanged,
    PeersDiscovered,
    SendTo,
)
from cornelturn.peering.links import Link, Listener
from cornelturn.peering.messages import (
    FleetChanged,
    Heartbeat,
    InnerMessage,
    JobChanged,
    PeerAddress,
    PoolCounts,
    QueueCount,
)
from cornelturn.scheduling.reporting import COUNTS_INTERVAL_MS
from cornelturn.store.rows import Committed, Operation, Page, Put, Row
from cornelturn.targets.model import TargetLife

KEY = bytes(16)
ENTRY_COUNTS = (9, 43, 97, 280)
POOL_OWNERS = 5
TARGETS_PER_POOL = 36
WARM_UP_S = 50
MEASURED_S = 36
ROUNDS = 20


@dataclass(slots=True)
class Cost:
    """Cost of a part during the measured time.

    Parameters
    ----------
    processor_s : float
        Processor time.
    sent_bytes, received_bytes : int
        Bytes.
    frames : int
        Frames sent and received.
    """

    processor_s: float = 0.0
    sent_bytes: int = 0
    received_bytes: int = 0
    frames: int = 0

    def print_per_second(self, entry_count: int, part: str, duration_s: float) -> None:
        """Print the cost per second."""
        print(
            f"{entry_count:4d} entries  {part:16s}"
            f" {self.processor_s / duration_s:8.5f} core"
            f"  {self.sent_bytes / duration_s / 1_000:8.2f} KB sent"
            f"  {self.received_bytes / duration_s / 1_000:8.2f} KB received"
            f"  {self.frames / duration_s:6.1f} frames"
        )


def peer_address(number: int) -> PeerAddress:
    """Return the address of an entry by its number."""
    return PeerAddress(
        f"10.1.{number // 256}.{number % 256}:8623",
        1_796_380_776_243,
        f"tcp://10.1.{number // 256}.{number % 256}:8700",
    )


def make_message_counter() -> Counter:
    """Return a message counter that is not exported."""
    return Counter("messages", "Messages", ["direction"], registry=CollectorRegistry())


@dataclass(slots=True)
class RecordingLink:
    """Replacement for a link that records the messages to a peer."""

    address: str
    messages: list[InnerMessage] = field(default_factory=list)

    @property
    def mailbox(self) -> RecordingLink:
        """Return the object to which messages are posted, the link itself."""
        return self

    def post(self, message: InnerMessage) -> None:
        """Record a message."""
        self.messages.append(message)


@dataclass(slots=True)
class SocketlessHub(Hub):
    """Hub whose links have no sockets."""

    def _open_link(self, peer: PeerAddress) -> None:
        self.links[peer.name] = RecordingLink(peer.address)
        self._send_heartbeat(peer.name)

    def _close_link(self, peer: str) -> None:
        self.links.pop(peer, None)


@dataclass(slots=True)
class HeartbeatBenchmark:
    """Measures the messages between an entry and peers that mirror its heartbeats.

    Parameters
    ----------
    job_receivers : int
        Number of peers to which the entry sends a job each second.
    """

    entry_count: int
    job_receivers: int = 0
    time: ManualTime = field(default_factory=ManualTime)
    cost: Cost = field(default_factory=Cost)
    codecs: dict[str, Codec] = field(default_factory=dict)
    hub: SocketlessHub = field(init=False)

    def __post_init__(self) -> None:
        own = peer_address(0)
        self.hub = SocketlessHub(
            membership=job_membership(own),
            codec=Codec(own.name, own.incarnation, KEY),
            clock=self.time.clock(),
            message_counter=make_message_counter(),
            deliver=lambda _: None,
            publish=lambda _: None,
            on_superseded=lambda: None,
        )

    def run(self) -> Cost:
        """Run the warm-up and the measured time; return the cost of the latter."""
        peers = tuple(peer_address(number) for number in range(1, self.entry_count))
        self.codecs = {
            peer.name: Codec(peer.name, peer.incarnation, KEY) for peer in peers
        }
        self.hub._handle(LocalStatusChanged(0, (), True))
        self.hub._handle(PeersDiscovered(peers))
        for second in range(WARM_UP_S + MEASURED_S):
            if second == WARM_UP_S:
                self.cost = Cost()
            self._run_second(peers)
        return self.cost

    def _run_second(self, peers: tuple[PeerAddress, ...]) -> None:
        self.time.advance_ms(JOB_HEARTBEAT_INTERVAL_S * MILLISECONDS_PER_SECOND)
        self._measure(lambda: self.hub._handle(HeartbeatsDue()))
        for peer in peers[: self.job_receivers]:
            message = JobChanged("pool", "key", "text", 1)
            self.hub._handle(SendTo(peer.name, message))
        for peer in peers:
            link = self.hub.links.get(peer.name)
            if link is not None and link.messages:
                self._exchange(peer, link)

    def _exchange(self, peer: PeerAddress, link: RecordingLink) -> None:
        messages, link.messages = link.messages, []
        own = self.hub.membership.own
        data = self._measure(lambda: self.hub.codec.encode(peer.name, messages))
        replies = [
            self._mirror_heartbeat(peer, message)
            for message in messages
            if isinstance(message, Heartbeat)
        ]
        answer = self.codecs[peer.name].encode(own.name, replies)
        batch = self._measure(lambda: self.hub.codec.decode(answer)).ok_value
        self._measure(lambda: self.hub._handle(BatchReceived(batch)))
        self.cost.sent_bytes += len(data)
        self.cost.received_bytes += len(answer)
        self.cost.frames += 2

    def _mirror_heartbeat(self, peer: PeerAddress, heartbeat: Heartbeat) -> Heartbeat:
        """Return the heartbeat that a peer would send in the state of this entry."""
        known = tuple(
            self.hub.membership.own if address == peer else address
            for address in heartbeat.known
        )
        return mirror_heartbeat(heartbeat, peer, known)

    def _measure(self, work: Callable[[], object]) -> object:
        started_s = time.process_time()
        result = work()
        self.cost.processor_s += time.process_time() - started_s
        return result


def mirror_heartbeat(
    heartbeat: Heartbeat, sender: PeerAddress, known: tuple[PeerAddress, ...]
) -> Heartbeat:
    """Return a copy of a heartbeat, as if another entry had sent it to its sender."""
    return replace(
        heartbeat,
        peer=sender,
        echo=heartbeat.sequence,
        receiver_incarnation=heartbeat.peer.incarnation,
        known=known,
    )


async def measure_link_cost(peer_count: int) -> Cost:
    """Return the cost of sending a frame to each peer and receiving one from each.

    The frames pass through real loopback sockets. The message is empty, so that the
    cost of encoding is as small as possible.
    """
    received_count = 0

    def receive(_: object) -> None:
        nonlocal received_count
        received_count += 1

    codec = Codec("receiver", 1, KEY)
    listener = Listener("tcp://127.0.0.1:0", codec, receive)
    address = listener.open()
    links = [Link("receiver", address, codec) for _ in range(peer_count)]
    tasks = [asyncio.create_task(listener.run())]
    tasks += [asyncio.create_task(link.run()) for link in links]

    async def send_round(expected_count: int) -> None:
        for link in links:
            link.mailbox.post(FleetChanged())
        while received_count < expected_count:
            await asyncio.sleep(0.01)

    await send_round(peer_count)
    started_s = time.process_time()
    for number in range(ROUNDS):
        await send_round(peer_count * (number + 2))
    cost = Cost((time.process_time() - started_s) / ROUNDS, frames=2 * peer_count)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return cost


def measure_counts_cost() -> Cost:
    """Return the cost of receiving the queue counts of all pool owners."""
    own = peer_address(0)
    codec = Codec(own.name, own.incarnation, KEY)
    service = JobService(LeaseStore(1), ManualTime().clock(), lambda _: None)
    queues = tuple(QueueCount(f"queue-{number}", 12) for number in range(2))
    frames = [
        codec.encode(own.name, [PoolCounts(f"pool-{number}", 3, queues)])
        for number in range(POOL_OWNERS)
    ]
    rounds = MEASURED_S * MILLISECONDS_PER_SECOND // COUNTS_INTERVAL_MS
    cost = Cost(
        frames=rounds * POOL_OWNERS, received_bytes=rounds * sum(map(len, frames))
    )
    started_s = time.process_time()
    for _ in range(rounds):
        for data in frames:
            for message in codec.decode(data).ok_value.messages:
                service.update_counts(message)
    cost.processor_s = time.process_time() - started_s
    return cost


@dataclass(slots=True)
class LeaseStore:
    """In-memory store in which every other entry renews its lease each second."""

    entry_count: int
    revision: int = 1
    rows: dict[str, Row] = field(default_factory=dict)
    changed: dict[str, Row] = field(default_factory=dict)
    sent_bytes: int = 0
    received_bytes: int = 0
    writes: int = 0
    reads: int = 0

    def renew_other_leases(self, renewals: int) -> None:
        """Renew the lease of every other entry."""
        for number in range(1, self.entry_count):
            address = peer_address(number)
            text = encode_lease(LeaseRow(address, renewals))
            self._put(Put(entry_key(address.name), text))

    async def commit(self, *operations: Operation) -> Result[Committed, object]:
        """Write rows without checking their versions."""
        self.writes += 1
        for operation in operations:
            self.sent_bytes += len(operation.value)
            self._put(operation)
        return Ok(Committed(self.revision))

    async def read(self, key: str) -> Result[Row | None, object]:
        """Return a row, None if it does not exist."""
        return Ok(self.rows.get(key))

    async def parts(self, table: str) -> Result[list[str], object]:
        """Return the single part of each table."""
        return Ok([""])

    async def scan(self, table: str, part: str) -> Result[Page, object]:
        """Return all rows of the store."""
        self.reads += 1
        self.changed = {}
        return Ok(Page(self.revision, tuple(self.rows.values())))

    async def changes(
        self, table: str, after: int, wait_ms: int
    ) -> Result[Page, object]:
        """Return the rows that have changed since the last scan or call."""
        self.reads += 1
        changed_rows, self.changed = tuple(self.changed.values()), {}
        self.received_bytes += sum(len(row.value) for row in changed_rows)
        return Ok(Page(self.revision, changed_rows))

    def _put(self, put: Put) -> None:
        self.revision += 1
        row = Row(put.key, self.revision, "", put.value)
        self.rows[put.key] = row
        self.changed[put.key] = row


def write_duties(store: LeaseStore, duty_count: int = POOL_OWNERS) -> None:
    """Write duties, each with its own holder and the targets of its pool."""
    for number in range(duty_count):
        targets = tuple(
            HeldTarget(
                TargetLife(f"worker-{number}-{index}", 5), f"10.9.{number}.{index}:80"
            )
            for index in range(TARGETS_PER_POOL)
        )
        row = DutyRow(
            peer_address(number + 1).name, peer_address(0).incarnation, 1, targets
        )
        duty = f"pool-{number}"
        store._put(Put(duty_key(duty), encode_duty(row)))


async def measure_reconcile_cost(entry_count: int) -> Cost:
    """Return the cost of reading and reconciling leases and duties, without HTTP."""
    store = LeaseStore(entry_count)
    write_duties(store)
    manual = ManualTime()
    peers = frozenset(peer_address(number).name for number in range(1, entry_count))
    keeper = DutyKeeper(
        own=peer_address(0),
        store=store,
        clock=manual.clock(),
        required_duties=lambda: frozenset(
            f"pool-{number}" for number in range(POOL_OWNERS)
        ),
        reachable_entries=lambda: LiveEntries(peers, peers).peers,
        on_peers_read=lambda _: None,
        on_event=lambda _: None,
    )
    task = asyncio.create_task(keeper.run())
    processor_s = 0.0
    for number in range(MEASURED_S):
        store.renew_other_leases(number)
        manual.advance_ms(MILLISECONDS_PER_SECOND)
        started_s = time.process_time()
        keeper.mailbox.post(ReconcileDue())
        while not keeper.mailbox.queue.empty():
            await asyncio.sleep(0)
        await asyncio.sleep(0)
        processor_s += time.process_time() - started_s
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    return Cost(processor_s, store.sent_bytes, store.received_bytes)


def print_costs(entry_count: int) -> None:
    """Print the costs of an entry in a fleet of a given size."""
    idle = HeartbeatBenchmark(entry_count).run()
    idle.print_per_second(entry_count, "beats, idle", MEASURED_S)
    heartbeats = HeartbeatBenchmark(entry_count, POOL_OWNERS).run()
    heartbeats.print_per_second(entry_count, "beats, 5 owners", MEASURED_S)
    frames = max(1, round(heartbeats.frames / MEASURED_S / 2))
    links = asyncio.run(measure_link_cost(frames))
    links.print_per_second(entry_count, "links", 1)
    counts = measure_counts_cost()
    counts.print_per_second(entry_count, "counts", MEASURED_S)
    reconciles = asyncio.run(measure_reconcile_cost(entry_count))
    reconciles.print_per_second(entry_count, "looks", MEASURED_S)
    total_s = (
        heartbeats.processor_s + counts.processor_s + reconciles.processor_s
    ) / MEASURED_S
    total_s += links.processor_s
    print(f"{entry_count:4d} entries  all              {total_s:8.5f} core")


def main() -> None:
    """Print the costs for each number of entries."""
    logging.set_verbosity(logging.ERROR)
    for entry_count in ENTRY_COUNTS:
        print_costs(entry_count)


if __name__ == "__main__":
    main()
