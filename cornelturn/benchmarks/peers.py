"""What an entry that owns nothing costs, by part and by number of entries.

Run ``python -m cornelturn.benchmarks.peers``. Each row gives the processor time and
the bytes that one entry spends in a second, in which every peer does to it what it
does to that peer.
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
from cornelturn.entry.job_process import JOB_HEARTBEAT_INTERVAL_S, job_membership
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
SIZES = (9, 43, 97, 280)
OWNERS = 5
TARGETS_A_POOL = 36
WARM_S = 50
MEASURED_S = 36
ROUNDS = 20


@dataclass(slots=True)
class Cost:
    """What a part spent in the time measured.

    Parameters
    ----------
    processor_s : float
        Processor time.
    sent, received : int
        Bytes.
    frames : int
        Frames sent and received.
    """

    processor_s: float = 0.0
    sent: int = 0
    received: int = 0
    frames: int = 0

    def show(self, entries: int, part: str, seconds: float) -> None:
        """Print the cost of a second."""
        print(
            f"{entries:4d} entries  {part:16s} {self.processor_s / seconds:8.5f} core"
            f"  {self.sent / seconds / 1_000:8.2f} KB sent"
            f"  {self.received / seconds / 1_000:8.2f} KB received"
            f"  {self.frames / seconds:6.1f} frames"
        )


def peer(number: int) -> PeerAddress:
    """Return the address of the n-th entry."""
    return PeerAddress(
        f"10.1.{number // 256}.{number % 256}:8623",
        1_796_380_776_243,
        f"tcp://10.1.{number // 256}.{number % 256}:8700",
    )


def counter() -> Counter:
    """Return a counter of messages that nobody reads."""
    return Counter("messages", "Messages", ["direction"], registry=CollectorRegistry())


@dataclass(slots=True)
class QuietLink:
    """Stands for a link: it keeps the messages of a peer for the benchmark."""

    address: str
    messages: list[InnerMessage] = field(default_factory=list)

    @property
    def mailbox(self) -> QuietLink:
        """Return what messages are posted to."""
        return self

    def post(self, message: InnerMessage) -> None:
        """Keep a message."""
        self.messages.append(message)


@dataclass(slots=True)
class QuietHub(Hub):
    """Hub whose links have no sockets."""

    def _open_link(self, peer: PeerAddress) -> None:
        self.links[peer.name] = QuietLink(peer.address)
        self._send_heartbeat(peer.name)

    def _close_link(self, peer: str) -> None:
        self.links.pop(peer, None)


@dataclass(slots=True)
class BeatTrial:
    """One entry whose peers send it what it sends them.

    Parameters
    ----------
    used : int
        Peers to which it sends a job each second.
    """

    entries: int
    used: int = 0
    time: ManualTime = field(default_factory=ManualTime)
    cost: Cost = field(default_factory=Cost)
    codecs: dict[str, Codec] = field(default_factory=dict)
    hub: QuietHub = field(init=False)

    def __post_init__(self) -> None:
        own = peer(0)
        self.hub = QuietHub(
            membership=job_membership(own),
            codec=Codec(own.name, own.incarnation, KEY),
            clock=self.time.clock(),
            message_counter=counter(),
            deliver=lambda _: None,
            publish=lambda _: None,
            on_superseded=lambda: None,
        )

    def run(self) -> Cost:
        """Return the cost of the seconds that are measured."""
        peers = tuple(peer(number) for number in range(1, self.entries))
        self.codecs = {one.name: Codec(one.name, one.incarnation, KEY) for one in peers}
        self.hub._handle(LocalStatusChanged(0, (), True))
        self.hub._handle(PeersDiscovered(peers))
        for second in range(WARM_S + MEASURED_S):
            if second == WARM_S:
                self.cost = Cost()
            self._second(peers)
        return self.cost

    def _second(self, peers: tuple[PeerAddress, ...]) -> None:
        self.time.advance_ms(JOB_HEARTBEAT_INTERVAL_S * MILLISECONDS_PER_SECOND)
        self._measure(lambda: self.hub._handle(HeartbeatsDue()))
        for one in peers[: self.used]:
            message = JobChanged("pool", "key", "text", 1)
            self.hub._handle(SendTo(one.name, message))
        for one in peers:
            link = self.hub.links.get(one.name)
            if link is not None and link.messages:
                self._exchange(one, link)

    def _exchange(self, one: PeerAddress, link: QuietLink) -> None:
        messages, link.messages = link.messages, []
        own = self.hub.membership.own
        data = self._measure(lambda: self.hub.codec.encode(one.name, messages))
        replies = [
            self._mirrored(one, message)
            for message in messages
            if isinstance(message, Heartbeat)
        ]
        answer = self.codecs[one.name].encode(own.name, replies)
        batch = self._measure(lambda: self.hub.codec.decode(answer)).ok_value
        self._measure(lambda: self.hub._handle(BatchReceived(batch)))
        self.cost.sent += len(data)
        self.cost.received += len(answer)
        self.cost.frames += 2

    def _mirrored(self, one: PeerAddress, beat: Heartbeat) -> Heartbeat:
        """Return the heartbeat that a peer sends in the place of this entry."""
        known = tuple(self.hub.membership.own if k == one else k for k in beat.known)
        return mirrored(beat, one, known)

    def _measure(self, work: Callable[[], object]) -> object:
        started_s = time.process_time()
        result = work()
        self.cost.processor_s += time.process_time() - started_s
        return result


def mirrored(
    beat: Heartbeat, sender: PeerAddress, known: tuple[PeerAddress, ...]
) -> Heartbeat:
    """Return a heartbeat as if another entry had sent it."""
    return replace(
        beat,
        peer=sender,
        echo=beat.sequence,
        receiver_incarnation=beat.peer.incarnation,
        known=known,
    )


async def link_cost(peers: int) -> Cost:
    """Return the cost of a frame to each of some peers, and of one from each.

    The frames pass real sockets of this machine; encoding is left out as far as it
    can be, since the message is empty.
    """
    received = 0

    def receive(_: object) -> None:
        nonlocal received
        received += 1

    codec = Codec("receiver", 1, KEY)
    listener = Listener("tcp://127.0.0.1:0", codec, receive)
    address = listener.open()
    links = [Link("receiver", address, codec) for _ in range(peers)]
    tasks = [asyncio.create_task(listener.run())]
    tasks += [asyncio.create_task(link.run()) for link in links]

    async def send_round(expected: int) -> None:
        for link in links:
            link.mailbox.post(FleetChanged())
        while received < expected:
            await asyncio.sleep(0.01)

    await send_round(peers)
    started_s = time.process_time()
    for number in range(ROUNDS):
        await send_round(peers * (number + 2))
    cost = Cost((time.process_time() - started_s) / ROUNDS, frames=2 * peers)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return cost


def counts_cost() -> Cost:
    """Return the cost of a second's counts, taken in from the owner of each pool."""
    own = peer(0)
    codec = Codec(own.name, own.incarnation, KEY)
    service = JobService(LeaseStore(1), ManualTime().clock(), lambda _: None)
    queues = tuple(QueueCount(f"queue-{number}", 12) for number in range(2))
    frames = [
        codec.encode(own.name, [PoolCounts(f"pool-{number}", 3, queues)])
        for number in range(OWNERS)
    ]
    rounds = MEASURED_S * MILLISECONDS_PER_SECOND // COUNTS_INTERVAL_MS
    cost = Cost(frames=rounds * OWNERS, received=rounds * sum(map(len, frames)))
    started_s = time.process_time()
    for _ in range(rounds):
        for data in frames:
            for message in codec.decode(data).ok_value.messages:
                service.update_counts(message)
    cost.processor_s = time.process_time() - started_s
    return cost


@dataclass(slots=True)
class LeaseStore:
    """Store in memory in which every other entry renews its lease each second."""

    entries: int
    revision: int = 1
    rows: dict[str, Row] = field(default_factory=dict)
    changed: dict[str, Row] = field(default_factory=dict)
    sent: int = 0
    received: int = 0
    writes: int = 0
    reads: int = 0

    def renew_others(self, renewals: int) -> None:
        """Write the lease of every other entry."""
        for number in range(1, self.entries):
            one = peer(number)
            text = encode_lease(LeaseRow(one, renewals))
            self._put(Put(entry_key(one.name), text))

    async def commit(self, *operations: Operation) -> Result[Committed, object]:
        """Write the rows."""
        self.writes += 1
        for operation in operations:
            self.sent += len(operation.value)
            self._put(operation)
        return Ok(Committed(self.revision))

    async def read(self, key: str) -> Result[Row | None, object]:
        """Return a row."""
        return Ok(self.rows.get(key))

    async def parts(self, table: str) -> Result[list[str], object]:
        """Return the one part that stands for all."""
        return Ok([""])

    async def scan(self, table: str, part: str) -> Result[Page, object]:
        """Return all rows."""
        self.reads += 1
        self.changed = {}
        return Ok(Page(self.revision, tuple(self.rows.values())))

    async def changes(
        self, table: str, after: int, wait_ms: int
    ) -> Result[Page, object]:
        """Return the rows that have changed since the last call."""
        self.reads += 1
        found, self.changed = tuple(self.changed.values()), {}
        self.received += sum(len(row.value) for row in found)
        return Ok(Page(self.revision, found))

    def _put(self, put: Put) -> None:
        self.revision += 1
        row = Row(put.key, self.revision, "", put.value)
        self.rows[put.key] = row
        self.changed[put.key] = row


def hold_duties(store: LeaseStore, duties: int = OWNERS) -> None:
    """Write duties of an owner each, with the targets of their pools."""
    for number in range(duties):
        targets = tuple(
            HeldTarget(TargetLife(f"worker-{number}-{at}", 5), f"10.9.{number}.{at}:80")
            for at in range(TARGETS_A_POOL)
        )
        row = DutyRow(peer(number + 1).name, peer(0).incarnation, 1, targets)
        duty = f"pool-{number}"
        store._put(Put(duty_key(duty), encode_duty(row)))


async def look_cost(entries: int) -> Cost:
    """Return the cost of the looks at the table of members, without the call."""
    store = LeaseStore(entries)
    hold_duties(store)
    manual = ManualTime()
    peers = frozenset(peer(number).name for number in range(1, entries))
    keeper = DutyKeeper(
        own=peer(0),
        store=store,
        clock=manual.clock(),
        required_duties=lambda: frozenset(f"pool-{number}" for number in range(OWNERS)),
        reachable_entries=lambda: LiveEntries(peers, peers).peers,
        on_peers_read=lambda _: None,
        on_event=lambda _: None,
    )
    task = asyncio.create_task(keeper.run())
    spent_s = 0.0
    for number in range(MEASURED_S):
        store.renew_others(number)
        manual.advance_ms(MILLISECONDS_PER_SECOND)
        started_s = time.process_time()
        keeper.mailbox.post(ReconcileDue())
        while not keeper.mailbox.queue.empty():
            await asyncio.sleep(0)
        await asyncio.sleep(0)
        spent_s += time.process_time() - started_s
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    return Cost(spent_s, store.sent, store.received)


def show(entries: int) -> None:
    """Print the costs of an entry among some entries."""
    idle = BeatTrial(entries).run()
    idle.show(entries, "beats, idle", MEASURED_S)
    beats = BeatTrial(entries, OWNERS).run()
    beats.show(entries, "beats, 5 owners", MEASURED_S)
    frames = max(1, round(beats.frames / MEASURED_S / 2))
    links = asyncio.run(link_cost(frames))
    links.show(entries, "links", 1)
    counts = counts_cost()
    counts.show(entries, "counts", MEASURED_S)
    looks = asyncio.run(look_cost(entries))
    looks.show(entries, "looks", MEASURED_S)
    total_s = (beats.processor_s + counts.processor_s + looks.processor_s) / MEASURED_S
    total_s += links.processor_s
    print(f"{entries:4d} entries  all              {total_s:8.5f} core")


def main() -> None:
    """Print the costs at each size."""
    logging.set_verbosity(logging.ERROR)
    for entries in SIZES:
        show(entries)


if __name__ == "__main__":
    main()
