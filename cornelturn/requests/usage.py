"""Usage counts: requests completed on time and late, by member and queue."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec
from result import Err, Ok

from cornelturn.events.log import log_warning
from cornelturn.events.mailbox import Mailbox
from cornelturn.store.rows import Put
from cornelturn.store.table import Table

USAGE_PREFIX = "usage/"
WRITE_INTERVAL_S = 5.0


@dataclass(frozen=True, slots=True)
class UsageKey:
    """A member's requests in one queue."""

    member: str
    queue: str


@dataclass(frozen=True, slots=True)
class UsageCount:
    """Completions of one member in one queue since the entry started."""

    member: str
    queue: str
    on_time: int
    late: int


@dataclass(frozen=True, slots=True)
class RequestCompleted:
    """A request completed."""

    key: UsageKey
    is_on_time: bool


@dataclass(frozen=True, slots=True)
class UsageWriteDue:
    """Timer: write the counts."""


UsageMessage = RequestCompleted | UsageWriteDue


@dataclass(slots=True)
class UsageCounter:
    """Counts of one incarnation of an entry, written as one cumulative row.

    As the row is cumulative, a repeated write cannot count a request twice.
    """

    entry: str
    incarnation: int
    table: Table
    mailbox: Mailbox[UsageMessage] = field(default_factory=Mailbox)
    counts: dict[UsageKey, UsageCount] = field(default_factory=dict)
    is_changed: bool = False

    async def run(self) -> None:
        """Handle messages until cancelled."""
        async for message in self.mailbox.messages():
            match message:
                case RequestCompleted(key, is_on_time):
                    self.count(key, is_on_time)
                case UsageWriteDue():
                    await self.write()

    def count(self, key: UsageKey, is_on_time: bool) -> None:
        """Count one completion."""
        previous = self.counts.get(key) or UsageCount(key.member, key.queue, 0, 0)
        self.counts[key] = UsageCount(
            key.member,
            key.queue,
            previous.on_time + is_on_time,
            previous.late + (not is_on_time),
        )
        self.is_changed = True

    async def write(self) -> None:
        """Write the counts if they have changed."""
        if not self.is_changed:
            return
        self.is_changed = False
        text = msgspec.json.encode(tuple(self.counts.values())).decode()
        key = f"{USAGE_PREFIX}{self.entry}/{self.incarnation}"
        match await self.table.commit(Put(key, text)):
            case Err(_):
                self.is_changed = True
                log_warning("usage_not_written", entry=self.entry)
            case Ok(_):
                pass


async def read_usage(table: Table) -> list[UsageCount] | None:
    """Return the sums over all entries, None if the table is unavailable."""
    match await table.scan(USAGE_PREFIX):
        case Err(_):
            return None
        case Ok(page):
            pass
    sums: dict[UsageKey, UsageCount] = {}
    for row in page.rows:
        for count in msgspec.json.decode(row.value, type=tuple[UsageCount, ...]):
            key = UsageKey(count.member, count.queue)
            previous = sums.get(key) or UsageCount(count.member, count.queue, 0, 0)
            sums[key] = UsageCount(
                count.member,
                count.queue,
                previous.on_time + count.on_time,
                previous.late + count.late,
            )
    return sorted(sums.values(), key=lambda count: (count.member, count.queue))
